//go:build review

package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	daemonPath  = "target/fuchsiafrontd"
	clientHost  = "jobs.example"
	queuePrefix = "/q/"
	tenantKey   = "key-1"
	// callTimeout is the clients' time budget.
	callTimeout = 3 * time.Second
	// readyTimeout bounds the start of the daemons.
	readyTimeout = 20 * time.Second
	// stopTimeout is longer than grace-s.
	stopTimeout = 7 * time.Second
)

// errNotRun means that a case could not be carried out.
var errNotRun = errors.New("the case could not run")

// settingsFormat is the settings file of one daemon, with the bounds of the small
// site that the claims name.
const settingsFormat = `node-name = %q
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = %q
zone = "z1"
region = "r1"
port-range = [%s,%s]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
control-mode = "invocation"
advice = ""
[zones]
z1 = "r1"
[bind-addrs]
frontend = %q
ready = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
bandwidth-mbps = %g
disk-mb = 0
[bounds]
contact-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
hold-max-ms = 10000
stop-timeout-ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
migrate-s = 1.5
maintenance-s = 2
fencing-enabled = true
lease-ms = 3000
[platform]
address = %q
form = "table"
writes-per-s = 800
reads-per-s = 2000
txn-ms = 8.0
partition-writes-s = 150
row-bytes = 65536
across = false
history-s = 20
[cloud-api]
address = %q
rate-per-s = 64.0
duties = []
duty-per-s = 64.0
`

// deployment is the platform's stand-in and the daemons of one case.
type deployment struct {
	record  *recorder
	store   *store
	fleet   *fleet
	trouble bool
	folder  string
	server  *http.Server
	// linkMbps is the bandwidth of the daemons' links.
	linkMbps float64
	daemons  []*daemon
	client   *http.Client
}

type daemon struct {
	name, frontend, ready string
	settings, log         string
	link                  *link
	command               *exec.Cmd
	ended                 chan struct{}
}

// start starts the process of a daemon.
func (m *daemon) start() error {
	output, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(daemonPath)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFRONT_BOOT=" + m.settings}
	m.command.Stdout, m.command.Stderr = output, output
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.command, m.ended)
	return nil
}

func newDeployment(record *recorder, behaviours map[string]behaviour, trouble bool) (*deployment, string, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, "", err
	}
	s := newStore(record)
	d := &deployment{record: record, store: s, fleet: newFleet(s, record, behaviours), trouble: trouble, folder: folder, client: &http.Client{Timeout: callTimeout}}
	mux := http.NewServeMux()
	s.register(mux)
	mux.HandleFunc("GET /fuchsiafront/machines", d.fleet.serveMachines)
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }
	mux.HandleFunc("POST /fuchsiafront/machine-move", refuse)
	mux.HandleFunc("POST /fuchsiafront/machine-upkeep", refuse)
	listener, err := net.Listen("tcp", loopbackIP()+":0")
	if err != nil {
		return nil, "", err
	}
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return d, listener.Addr().String(), nil
}

// startDaemons starts n daemons as separate processes and waits until they are ready.
func (d *deployment) startDaemons(n int, platform string) error {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprintf("edge-%d", i+1)
		frontend, ready, metrics := addresses[3*i], addresses[3*i+1], addresses[3*i+2]
		m := &daemon{name: name, frontend: frontend, ready: ready, settings: filepath.Join(d.folder, name+".toml"), log: filepath.Join(d.folder, name+".log")}
		link, err := newLink(platform, d.linkMbps)
		if err != nil {
			return err
		}
		m.link = link
		if err := os.WriteFile(m.settings, fmt.Appendf(nil, settingsFormat, m.name, loopbackIP(), portOf(metrics), portOf(metrics), m.frontend, m.ready, d.linkMbps, link.address(), platform), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		d.daemons = append(d.daemons, m)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range d.daemons {
		for !d.isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready within %v", errNotRun, m.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.log("%d daemons are ready", n)
	return nil
}

func (d *deployment) isReady(m *daemon) bool {
	resp, err := d.client.Get("http://" + m.ready + "/fuchsiafront/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// killDaemons ends the daemons at once.
func (d *deployment) killDaemons() {
	for _, m := range d.daemons {
		_ = m.command.Process.Kill()
	}
}

// close ends all processes that the case started and removes its folder.
func (d *deployment) close() {
	for _, m := range d.daemons {
		_ = m.command.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopTimeout)
	for _, m := range d.daemons {
		select {
		case <-m.ended:
		case <-timeout:
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	for _, m := range d.daemons {
		_ = m.link.listener.Close()
	}
	d.fleet.stopAll()
	_ = d.server.Close()
	if keep := os.Getenv("REVIEW_KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs of the daemons:", d.folder)
	}
}

// loopbackIP returns a loopback address that only this process uses: on a shared
// one, another process could take a port between its choice and its use.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
}

// freeAddresses returns n addresses with different free ports.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", loopbackIP()+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// route is a route of the configuration.
func route(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": clientHost, "path-prefix": queuePrefix, "service": service, "kind": "unsafe", "public": false,
		"priority": 0, "max-attempts": 3, "slack-factor": 1.6, "target-latency-ms": 600, "timeout-ms": 3000,
	}
}

// configure writes a configuration; the store's answer is its confirmation.
func (d *deployment) configure(version int, services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false})
	}
	d.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]any{},
		"tenants": []map[string]any{{"name": "tenant-1", "api-keys": []string{tenantKey}, "priority": 1, "weight": 100, "maximum": map[string]any{"cpu": 1_000_000, "mem-mb": 2_000_000, "gpu": 0}}},
	})
	encoded, _ := json.Marshal(routes)
	d.record.log("the operator writes version %d of the configuration, confirmed: routes %s", version, encoded)
}

// call makes one call of a client and returns the status, zero if there was no
// answer, and the body.
func (d *deployment) call(m *daemon, method, id string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, "http://"+m.frontend+queuePrefix+id, reader)
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("Authorization", "Token "+tenantKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Fuchsiafront-Deadline-Ms", "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.log("%s %s at %s: no answer (%v)", method, id, m.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	d.record.log("%s %s at %s: %d %v", method, id, m.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// job is the body of a job.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"phases"`
}

type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	MemoryMB     int   `json:"mem-mb"`
	EstimateMs   int   `json:"estimate-ms,omitempty"`
	After        []int `json:"after,omitempty"`
	AntiAffinity int   `json:"anti-affinity,omitempty"`
	LongRunning  bool  `json:"long-running,omitempty"`
}

// submit hands a job in and reports whether it was accepted.
func (d *deployment) submit(m *daemon, id string, j job) bool {
	status, _ := d.call(m, http.MethodPost, id, j)
	return status/100 == 2
}

func (d *deployment) state(m *daemon, id string) string {
	status, answer := d.call(m, http.MethodGet, id, nil)
	if state, ok := answer["state"].(string); ok {
		return state
	}
	return fmt.Sprintf("status %d", status)
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+uint64(n)) }

// running returns how many work items of a job are in progress.
func (d *deployment) running(id string) int {
	n := 0
	for _, r := range d.record.snapshot() {
		if jobOf(r.Task) == id && r.End.IsZero() {
			n++
		}
	}
	return n
}

// await waits until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: not within %v: %s", errNotRun, limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// owner returns the daemon that owns a pool, by the system's row in the store.
func (d *deployment) owner(pool string) (*daemon, error) {
	for _, m := range d.daemons {
		if bytes.Contains(d.store.ownerOf(pool), []byte(`"`+m.name+`"`)) {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%w: pool %s has no owner", errNotRun, pool)
}
