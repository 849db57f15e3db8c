//go:build review

package standin3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a platform with its executors, the processes of the system, and what clients,
// executors and platform have seen.
type world struct {
	store   *store
	server  *httptest.Server
	folder  string
	nodes   []*node
	client  *http.Client
	began   time.Time
	outcome func(e *executor, k runKey, spec string) (time.Duration, string)

	mu        sync.Mutex
	executors []*executor
	moves     int
	runs      []*run
	record    io.Writer
	accepted  map[string]time.Time
}

// started has the processes that this program has started and not ended.
var started = make(map[*exec.Cmd]bool)

// fatal ends the program when the case cannot run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	for command := range started {
		_ = command.Process.Kill()
	}
	os.Exit(2)
}

// listen listens on a port of a loopback address that other runs of this program do not
// use, so that none of them takes the port before a process does.
func listen() net.Listener {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+pid>>16&31, pid>>8&255, 1+pid&127))
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

func newWorld(record io.Writer) *world {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	w := &world{store: newStore(), folder: folder, client: &http.Client{Timeout: 3 * time.Second}, began: time.Now(), record: record, accepted: make(map[string]time.Time)}
	mux := http.NewServeMux()
	w.store.register(mux)
	mux.HandleFunc("GET /fuchsiafront/machines", w.serveMachines)
	mux.HandleFunc("POST /fuchsiafront/machine-move", w.serveMove)
	mux.HandleFunc("POST /fuchsiafront/machine-upkeep", func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, http.StatusConflict, map[string]any{"reason": "wave"})
	})
	w.server = httptest.NewServer(mux)
	return w
}

func (w *world) address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.record, line)
}

func (w *world) since(t time.Time) float64 { return t.Sub(w.began).Seconds() }

func (w *world) recordStart(r *run) {
	w.note("run began: %s attempt %d on %s%s", r.task, r.attempt, r.executor.id, lateMark(r.late))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

func (w *world) recordEnd(r *run, how string) {
	w.mu.Lock()
	r.ended, r.how = time.Now(), how
	w.mu.Unlock()
	w.note("run ended %s: %s attempt %d on %s", how, r.task, r.attempt, r.executor.id)
}

func (w *world) recordNoted(r *run) {
	w.mu.Lock()
	r.noted = time.Now()
	w.mu.Unlock()
	w.note("end taken note of: %s attempt %d on %s", r.task, r.attempt, r.executor.id)
}

// seen returns copies of all runs so far, in the order of their starts.
func (w *world) seen() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []run
	for _, r := range w.runs {
		all = append(all, *r)
	}
	return all
}

func (w *world) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	machines := []map[string]any{}
	w.mu.Lock()
	executors := append([]*executor(nil), w.executors...)
	w.mu.Unlock()
	for _, e := range executors {
		e.mu.Lock()
		state, id := "up", e.id
		if e.gone {
			state, id = "moving", ""
		}
		machines = append(machines, map[string]any{
			"machine": e.machine, "pool": e.service, "state": state, "zone": e.zone, "labels": e.labels,
			"capacity": map[string]int{"cpu": e.cpu, "mem-mb": e.memMB, "gpu": 0}, "id": id,
		})
		e.mu.Unlock()
	}
	respond(rw, http.StatusOK, map[string]any{"machines": machines, "next-token": nil})
}

func (w *world) serveMove(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	var e *executor
	for _, x := range w.executors {
		if x.machine == body.Machine {
			e = x
		}
	}
	w.moves++
	number := w.moves
	w.mu.Unlock()
	switch {
	case e == nil:
		rw.WriteHeader(http.StatusBadRequest)
	case e.service == body.Pool:
		respond(rw, http.StatusOK, map[string]any{})
	case e.gone:
		respond(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		w.note("machine %s moves from %s to %s", e.machine, e.service, body.Pool)
		e.leave()
		e.service = body.Pool
		time.AfterFunc(migrateTime, func() {
			w.mu.Lock()
			for i, x := range w.executors {
				if x == e {
					w.executors = append(w.executors[:i], w.executors[i+1:]...)
					break
				}
			}
			w.mu.Unlock()
			w.addExecutor(fmt.Sprintf("%s-m%d", e.id, number), body.Pool, e.machine, e.cpu, e.labels...)
		})
		respond(rw, http.StatusOK, map[string]any{})
	}
}

// node is a process of the system.
type node struct {
	w                 *world
	name, jobs, ready string
	settings          string
	command           *exec.Cmd
	log               *os.File
}

func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

const settingsFormat = `node-name = %q
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = %q
zone = "z1"
region = "r"
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
control-mode = "invocation"
[bind-addrs]
frontend = %q
ready = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
[bounds]
contact-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
quota-overage = 0.1
hold-max-ms = 6000
stop-timeout-ms = 200
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote-factor = 3
checkpoint-interval-s = 2
restore-ms = 250
notice-ms = 4500
migrate-s = 1.5
maintenance-s = 2
fencing-enabled = true
lease-ms = 3000
pace-ms = 100
impact-ms = 4000
[platform]
address = %q
form = "table"
writes-per-s = 600
reads-per-s = 2000
txn-ms = 8.0
partition-writes-s = 150
row-bytes = 65536
across = false
history-s = 20
[cloud-api]
address = %q
rate-per-s = 64.0
duty-per-s = 64.0
`

// addNode starts a process with the command of the deploy file.
func (w *world) addNode(name string) *node {
	n := &node{w: w, name: name, jobs: freeAddress(), ready: freeAddress()}
	n.settings = filepath.Join(w.folder, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, strings.Split(n.jobs, ":")[0], n.jobs, n.ready, w.address(), w.address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		fatal("log: %v", err)
	}
	n.log = log
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

func (n *node) start() {
	n.command = exec.Command("target/fuchsiafrontd")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.folder, "FUCHSIAFRONT_BOOT=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		fatal("start of %s: %v", n.name, err)
	}
	started[n.command] = true
	n.w.note("process %s started", n.name)
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	delete(started, n.command)
	n.w.note("process %s killed", n.name)
}

// awaitReady waits until all processes report themselves ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for {
			resp, err := w.client.Get("http://" + n.ready + "/fuchsiafront/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fatal("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all processes ready")
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// Where clients address the queues, and their key.
const (
	host = "jobs.example"
	key  = "key-of-tenant-1"
)

// call performs one call of a client at a process and returns status and body; status zero
// means no answer.
func (w *world) call(n *node, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.jobs+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fatal("request: %v", err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Fuchsiafront-Deadline-Ms", "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		w.note("client: %s %s at %s: no answer", method, path, n.name)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, string(answer)
}

// submit hands a job in until it is accepted.
func (w *world) submit(prefix, id, body string) {
	for try := range 20 {
		w.note("client: job %s: %s", id, body)
		if status, _ := w.call(w.nodes[try%len(w.nodes)], http.MethodPost, prefix+id, body); status == http.StatusOK {
			w.accepted[id] = time.Now()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fatal("job %s was not accepted", id)
}

// state asks for the state of a job until it is answered.
func (w *world) state(prefix, id string) string {
	for try := range 20 {
		if status, body := w.call(w.nodes[try%len(w.nodes)], http.MethodGet, prefix+id, ""); status == http.StatusOK {
			var answer struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(body), &answer) == nil {
				return answer.State
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "unknown"
}

type service struct {
	name    string
	standby bool
}

// config is a configuration of one tenant. Each service has a queue of its name.
type config struct {
	version     int
	services    []service
	maximumCPU  int
	maxAttempts int
}

// configure writes a configuration and returns when it was confirmed.
func (w *world) configure(c config) time.Time {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, s := range c.services {
		if !s.standby {
			routes = append(routes, map[string]any{
				"name": "r-" + s.name, "host": host, "path-prefix": "/" + s.name + "/", "kind": "unsafe", "service": s.name, "max-attempts": c.maxAttempts,
				"slack-factor": 1.6, "target-latency-ms": 600, "timeout-ms": 3000, "priority": 0, "public": false,
			})
		}
		services = append(services, map[string]any{"name": s.name, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": s.standby})
	}
	at := w.store.put("op", "config", map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api-keys": []string{key}, "priority": 1, "weight": 77, "maximum": map[string]int{"cpu": c.maximumCPU, "mem-mb": 0, "gpu": 0}}},
	})
	w.note("operator: version %d confirmed, maximum of tenant-1 %d", c.version, c.maximumCPU)
	return at
}
