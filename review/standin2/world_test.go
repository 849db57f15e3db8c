//go:build review

// Package standin2 plays one case of the review: it starts the daemon as separate
// processes against stand-ins of the platform's store, executors and list of
// machines, with the clients and the check of the case.
package standin2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// world is everything around the daemon.
type world struct {
	store   *Store
	trouble bool
	temp    string
	record  *os.File
	started time.Time
	cut     func(host string, x *executor) bool

	mu        sync.Mutex
	fences    map[int64]string
	owners    map[string]string
	executors map[string]*executor
	runs      []*run
	jobs      map[string]*jobInfo
	broken    []string
	maximum   map[string]int
	hosts     []*host
	stop      chan struct{}
	closing   bool
	machines  string
	sequence  int
	// onRun is called under the lock when a run begins.
	onRun func(*run)
	// onEnd is called under the lock when an end is listed.
	onEnd func(*run)
}

type jobInfo struct {
	id, tenant, prefix string
	steps              []step
	accepted           time.Time
	begun              bool
}

type step struct {
	Count          int   `json:"count"`
	CPU            int   `json:"cpu"`
	MemMB          int   `json:"mem-mb"`
	EstimateMs     int   `json:"estimate-ms,omitempty"`
	After          []int `json:"after,omitempty"`
	LongRunning    bool  `json:"long-running,omitempty"`
	AntiAffinity   int   `json:"anti-affinity,omitempty"`
	MaxUnavailable int   `json:"max-unavailable,omitempty"`
}

func newWorld(dir string) *world {
	temp, err := os.MkdirTemp("", "stand")
	check(err)
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	return &world{
		store: newStore(), trouble: os.Getenv("TROUBLE") != "0", temp: temp, record: record, started: time.Now(), fences: map[int64]string{}, owners: map[string]string{},
		executors: map[string]*executor{}, jobs: map[string]*jobInfo{}, maximum: map[string]int{}, stop: make(chan struct{}),
	}
}

// current is the world of the case, once there is one.
var current *world

// check ends the case, and all processes that it started, if err is set.
func check(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.killHosts()
	}
	os.Exit(2)
}

// killHosts ends all processes of the daemon.
func (w *world) killHosts() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	// A process that ended by itself may just be starting again.
	time.Sleep(400 * time.Millisecond)
	for _, h := range w.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Signal(syscall.SIGKILL)
		}
	}
}

func (w *world) since() float64 { return time.Since(w.started).Seconds() }

func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.since(), fmt.Sprintf(format, args...))
}

// breakRule records a broken rule. The caller holds w.mu.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logf("BROKEN %s", text)
}

func (w *world) hostOf(fence int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fences[fence]
}

func serve(h http.Handler) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }
}

var (
	portsMu  sync.Mutex
	portUsed = map[int]bool{}
)

// freeAddress returns an address below the ports that the system gives to clients, so
// that no connection takes it before the daemon listens.
func freeAddress() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		port := 12000 + rand.Intn(18000)
		if portUsed[port] {
			continue
		}
		portUsed[port] = true
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

// addExecutor starts an executor and its reports to the store.
func (w *world) addExecutor(service, machine, zone, rack string, cpu int) *executor {
	w.mu.Lock()
	w.sequence++
	id := fmt.Sprintf("i-%s-%03d", service, w.sequence)
	w.mu.Unlock()
	x := &executor{w: w, id: id, machine: machine, service: service, zone: zone, rack: rack, cpu: cpu, born: time.Now(), up: true, runs: map[string]*run{}, ended: map[string]int{}, wake: make(chan struct{})}
	x.address, x.close = serve(x.handler())
	w.mu.Lock()
	w.executors[id] = x
	w.mu.Unlock()
	go x.leaseLoop(w.stop)
	go func() {
		for silent := 0; ; {
			if x.mute == nil || !x.mute() {
				silent = 0
				w.store.put("servers", "", x.id, x.entry())
			} else if silent++; silent == 3 {
				w.store.remove("servers", "", x.id)
			}
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return x
}

// beginRun records a run and checks that no other run of the work item is at work.
func (w *world) beginRun(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Start = time.Now()
	id, rest, _ := strings.Cut(r.Task, ".")
	j := w.jobs[id]
	if j != nil {
		var k, s, i int
		if _, err := fmt.Sscanf(rest, "%d.%d.%d", &k, &s, &i); err == nil && s < len(j.steps) {
			r.cpu, r.tenant = j.steps[s].CPU, j.tenant
		}
		j.begun = true
	}
	w.logf("run   %s attempt %d begins on %s, started by %s", r.Task, r.Attempt, r.Executor, r.Host)
	total := r.cpu
	for _, o := range w.runs {
		if o.Task == r.Task && o.live() {
			w.breakRule("TWICE: %s attempt %d begins on %s (started by %s) while attempt %d runs on %s (started by %s)", r.Task, r.Attempt, r.Executor, r.Host, o.Attempt, o.Executor, o.Host)
		}
		if o.Task == r.Task && o.How == "done" && o.Noted {
			w.breakRule("TWICE: %s attempt %d begins on %s after attempt %d ended done on %s, which was taken note of", r.Task, r.Attempt, r.Executor, o.Attempt, o.Executor)
		}
		if o.live() && o.tenant == r.tenant {
			total += o.cpu
		}
	}
	if limit := w.maximum[r.tenant]; limit > 0 && total > limit*11/10+r.cpu {
		w.breakRule("QUOTA: the start of %s by %s brings what %s has running to %d thousandths of a core; its maximum is %d, with the overage and one work item %d", r.Task, r.Host, r.tenant, total, limit, limit*11/10+r.cpu)
	}
	w.runs = append(w.runs, r)
	if w.onRun != nil {
		w.onRun(r)
	}
}

func (w *world) endRun(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.End, r.How = time.Now(), how
	w.logf("run   %s attempt %d ends %s on %s", r.Task, r.Attempt, how, r.Executor)
	if w.onEnd != nil {
		w.onEnd(r)
	}
}

// note records that last-seen has reached an end.
func (w *world) note(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Noted = !r.lapsed
}

// serveMachines serves the list of machines. Moves are accepted as the pages say.
func (w *world) serveMachines() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fuchsiafront/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := []map[string]any{}
		for _, x := range w.executors {
			list = append(list, map[string]any{"machine": x.machine, "pool": x.service, "state": "up", "zone": x.zone, "labels": []string{"a", x.rack}, "capacity": map[string]any{"cpu": x.cpu, "mem-mb": 65536, "gpu": 0}, "id": x.id})
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
	})
	// No machine is due for upkeep, and no machine is free to move.
	busy := func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /fuchsiafront/machine-move", busy)
	mux.HandleFunc("POST /fuchsiafront/machine-upkeep", busy)
	w.machines, _ = serve(mux)
}

// host is one process of the daemon.
type host struct {
	w           *world
	name        string
	zone        string
	jobs, ready string
	settings    string
	command     *exec.Cmd
	exited      chan struct{}
}

const settingsText = `node-name = "%s"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "r"
port-range = [%s,%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
control-mode = "invocation"
[bind-addrs]
frontend = "%s"
ready = "%s"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
bandwidth-mbps = 1000.0
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
notice-ms = 4500
migrate-s = 1.5
maintenance-s = 2
fencing-enabled = true
lease-ms = 3000
[platform]
address = "%s"
form = "table"
writes-per-s = 600
reads-per-s = 2000
txn-ms = 8.0
partition-writes-s = 150
row-bytes = 65536
across = false
history-s = 20
[cloud-api]
address = "%s"
rate-per-s = 64.0
duty-per-s = 64.0
`

func (w *world) addHost(name, zone string) *host {
	h := &host{w: w, name: name, zone: zone, jobs: freeAddress(), ready: freeAddress(), settings: filepath.Join(w.temp, name+".toml")}
	store, _ := serve(w.store.handler(name))
	_, port, _ := net.SplitHostPort(freeAddress())
	text := fmt.Sprintf(settingsText, name, zone, port, port, h.jobs, h.ready, store, w.machines)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	w.hosts = append(w.hosts, h)
	h.run()
	return h
}

func (h *host) run() {
	log, err := os.OpenFile(filepath.Join(h.w.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	// The run line of the deploy file.
	h.command = exec.Command("target/fuchsiafrontd")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFRONT_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	check(h.command.Start())
	exited := make(chan struct{})
	h.exited = exited
	command := h.command
	go func() {
		err := command.Wait()
		log.Close()
		close(exited)
		h.w.mu.Lock()
		ended := h.w.closing
		h.w.mu.Unlock()
		if ended {
			return
		}
		h.w.logf("host  %s ended by itself: %v; it starts again after a short delay", h.name, err)
		time.Sleep(300 * time.Millisecond)
		h.w.mu.Lock()
		closing := h.w.closing
		h.w.mu.Unlock()
		if !closing {
			h.run()
		}
	}()
	h.w.logf("host  %s starts in %s", h.name, h.zone)
}

var client = &http.Client{Timeout: 4 * time.Second}

func (h *host) isReady() bool {
	resp, err := client.Get("http://" + h.ready + "/fuchsiafront/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("host %s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// call makes a client's call and returns the status and the body.
func (h *host) call(method, path, tenant string, body any) (int, []byte) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		check(err)
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+h.jobs+path, r)
	check(err)
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Token key-"+tenant)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Fuchsiafront-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

var jobNumber int

// submit hands a job in at one of the hosts until one has accepted it.
func (w *world) submit(hosts []*host, service, tenant, spec string, steps ...step) *jobInfo {
	w.mu.Lock()
	jobNumber++
	number := jobNumber
	j := &jobInfo{id: fmt.Sprintf("%016x", 0xa000000000000000+uint64(number)), tenant: tenant, prefix: "/" + service + "/", steps: steps}
	w.jobs[j.id] = j
	w.mu.Unlock()
	for try := range 6 {
		h := hosts[(number+try)%len(hosts)]
		status, _ := h.call("POST", j.prefix+j.id, tenant, map[string]any{"spec": spec, "phases": steps})
		w.logf("job   %s (%s, %s, %q) handed in at %s: %d", j.id, service, tenant, spec, h.name, status)
		if status == http.StatusOK {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	return j
}

// configure writes the operator's configuration.
func (w *world) configure(services []string, tenants map[string]int) {
	routes, list, ts := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, s := range services {
		routes = append(routes, map[string]any{"name": "q-" + s, "host": "jobs.example", "path-prefix": "/" + s + "/", "service": s, "max-attempts": 4, "slack-factor": 1.6, "target-latency-ms": 600, "timeout-ms": 3000, "priority": 0})
		list = append(list, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 64, "admission-check": false})
	}
	for t, max := range tenants {
		ts = append(ts, map[string]any{"name": t, "api-keys": []string{"key-" + t}, "weight": 4, "maximum": map[string]any{"cpu": max, "mem-mb": 0, "gpu": 0}})
		w.maximum[t] = max
	}
	w.store.put("op", "", "config", map[string]any{"version": 3, "routes": routes, "services": list, "tenants": ts, "limits": map[string]any{}})
}

// watchOwners follows which host owns which pool. A claim's version is the fence
// number of the owner's orders.
func (w *world) watchOwners(host string, t *txBody, version int64) {
	for i := range t.Sets {
		r := &t.Sets[i]
		if r.Table != "owners" {
			continue
		}
		var rec struct {
			Holder   string `json:"holder"`
			Term     int    `json:"term"`
			Renewals int64  `json:"renewals"`
			Released bool   `json:"released"`
		}
		if json.Unmarshal(r.Value, &rec) != nil || rec.Renewals > 0 || rec.Released {
			continue
		}
		w.mu.Lock()
		w.fences[version] = host
		w.owners[r.Part] = host
		w.mu.Unlock()
		w.logf("pool  %s is owned by %s, term %d, fence number %d", r.Part, host, rec.Term, version)
	}
}

// finish ends all processes and returns the exit status of the case.
func (w *world) finish() int {
	w.killHosts()
	for _, h := range w.hosts {
		<-h.exited
	}
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("%d runs, %d jobs; %d writes to the store, %d of them not answered", len(w.runs), len(w.jobs), w.store.writes, w.store.lost)
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs:", w.temp)
	}
	if len(w.broken) > 0 {
		fmt.Printf("broken %d times; first: %s\n", len(w.broken), w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// TestMain plays the case that the command line names. The files are test files, so
// that CI and the default test run leave them out.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*world){"twice": caseTwice, "quota": caseQuota, "pending": casePending}
	c := cases[os.Args[1]]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	current = w
	w.store.after = w.watchOwners
	w.serveMachines()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.finish()
		os.Exit(2)
	}()
	c(w)
	os.Exit(w.finish())
}
