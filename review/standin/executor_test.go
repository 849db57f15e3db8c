//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat-ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// holdMax is hold-max-ms of the settings.
	holdMax = 10 * time.Second
	// maxEndsListed is the number of ends in one response to a hold.
	maxEndsListed = 500
	// stopTime is how long a stop takes; stop-timeout-ms is 200.
	stopTime = 100 * time.Millisecond
	// executorCPU is an executor's capacity in thousandths of a core.
	executorCPU = 16000
	// lapseCheckInterval is the time between checks of an executor's lease.
	lapseCheckInterval = 20 * time.Millisecond
)

// behaviour is what the work items of a spec do. The spec texts of a case are the
// keys of fleet.behaviours.
type behaviour struct {
	// duration is how long a work item takes; zero means until it is stopped.
	duration time.Duration
	// ending is how it ends, "done" or "failed".
	ending string
	// failsOnce makes the first attempt of the first work item of a step end failed.
	failsOnce bool
}

func (b behaviour) endingOf(o order) string {
	if b.failsOnce && o.Attempt == 1 && strings.HasSuffix(o.Task, ".0") {
		return "failed"
	}
	return b.ending
}

// fleet holds the executors of all services of a case.
type fleet struct {
	store      *store
	record     *recorder
	behaviours map[string]behaviour

	mu        sync.Mutex
	executors map[string]*executor
}

func newFleet(s *store, record *recorder, behaviours map[string]behaviour) *fleet {
	return &fleet{store: s, record: record, behaviours: behaviours, executors: make(map[string]*executor)}
}

// executor is one life of an executor.
type executor struct {
	fleet               *fleet
	id, service, kind   string
	address             string
	startedAt           time.Time
	server              *http.Server
	stopped             chan struct{}
	mu                  sync.Mutex
	up                  bool
	highestToken        int64
	deadlineMs          int64
	running             map[string]*run
	finished            []*run
	lastEnd             int64
	highestEndedAttempt map[string]int
	runEnded            chan struct{}
	sequence            int
}

// start starts a life of an executor. An empty address means a free one.
func (f *fleet) start(id, service, kind, address string) *executor {
	if address == "" {
		address = loopbackIP() + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	e := &executor{
		fleet: f, id: id, service: service, kind: kind, address: listener.Addr().String(), startedAt: time.Now(),
		stopped: make(chan struct{}), up: true, running: make(map[string]*run), highestEndedAttempt: make(map[string]int), runEnded: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Fuchsiafront-Executor-Id", e.id)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /fuchsiafront/run-start", e.orderHandler(e.serveStart))
	mux.HandleFunc("POST /fuchsiafront/run-stop", e.orderHandler(e.serveStop))
	mux.HandleFunc("POST /fuchsiafront/hold", e.orderHandler(e.serveHold))
	mux.HandleFunc("POST /fuchsiafront/pace", e.orderHandler(func(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	f.mu.Lock()
	f.executors[id] = e
	f.mu.Unlock()
	f.record.log("executor %s of %s starts at %s, born %d", id, service, e.address, e.bornMs())
	e.beat()
	go e.keepAlive()
	return e
}

// crash ends an executor's process: all that runs ends, and nothing is reported.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, r := range e.running {
		e.fleet.record.endRun(r, "crashed")
	}
	e.running = make(map[string]*run)
	e.mu.Unlock()
	close(e.stopped)
	_ = e.server.Close()
	e.fleet.record.log("executor %s of %s crashes", e.id, e.service)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.executors {
		_ = e.server.Close()
	}
}

// keepAlive writes the entry of the registry and ends runs whose lease is over.
func (e *executor) keepAlive() {
	beat, lapse := time.NewTicker(heartbeatInterval), time.NewTicker(lapseCheckInterval)
	defer beat.Stop()
	defer lapse.Stop()
	for {
		select {
		case <-e.stopped:
			return
		case <-beat.C:
			e.beat()
		case <-lapse.C:
			e.mu.Lock()
			e.lapse()
			e.mu.Unlock()
		}
	}
}

func (e *executor) beat() {
	e.mu.Lock()
	e.sequence++
	entry := e.entry()
	e.mu.Unlock()
	e.fleet.store.put("servers", e.id, entry)
}

func (e *executor) bornMs() int64 { return e.startedAt.UnixMilli() }

func (e *executor) clockMs() int64 { return time.Since(e.startedAt).Milliseconds() + 1 }

func (e *executor) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
		"sequence": e.sequence, "born": e.bornMs(), "clock-ms": e.clockMs(), "machine": "m-" + e.id,
		"capacity": map[string]any{"cpu": executorCPU, "mem-mb": 65536, "gpu": 0}, "labels": []string{e.kind, "r1-1"},
	}
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

// orderHandler refuses orders for another executor and those with a lower fence
// number than the highest seen.
func (e *executor) orderHandler(serve func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Fuchsiafront-Expected-Executor") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		fenced := o.Token < e.highestToken
		e.highestToken = max(e.highestToken, o.Token)
		e.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !fenced {
			status, body = serve(o)
		}
		body["clock-ms"] = e.clockMs()
		writeJSON(w, status, body)
	}
}

// extend extends the lease, which never shortens. The caller holds e.mu.
func (e *executor) extend(deadlineMs int64) {
	e.deadlineMs = max(e.deadlineMs, min(deadlineMs, e.clockMs()+holdMax.Milliseconds()))
}

// lapse ends all runs if the lease is over. The caller holds e.mu.
func (e *executor) lapse() {
	if e.clockMs() <= e.deadlineMs {
		return
	}
	for _, r := range e.running {
		e.end(r, "lapsed")
	}
	for _, r := range e.finished {
		e.fleet.record.markLapsed(r)
	}
}

func (e *executor) serveStart(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	if o.DeadlineMs <= e.clockMs() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extend(o.DeadlineMs)
	if r := e.running[o.Task]; r != nil && r.Attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.highestEndedAttempt[o.Task] || e.running[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	b, known := e.fleet.behaviours[o.Spec]
	if !known {
		e.fleet.record.log("executor %s is told to start %s with a spec that no client sent: %q", e.id, o.Task, o.Spec)
		return http.StatusBadRequest, map[string]any{}
	}
	r := e.fleet.record.startRun(e, o.Task, o.Attempt)
	r.expected = b.duration
	e.running[o.Task] = r
	if b.duration > 0 {
		time.AfterFunc(b.duration, func() { e.endIfRunning(r, b.endingOf(o)) })
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) endIfRunning(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	if e.running[r.Task] == r {
		e.end(r, how)
	}
}

// end ends a run and lists the end. The caller holds e.mu.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.Task)
	e.highestEndedAttempt[r.Task] = max(e.highestEndedAttempt[r.Task], r.Attempt)
	e.lastEnd++
	r.number = e.lastEnd
	e.fleet.record.endRun(r, how)
	e.finished = append(e.finished, r)
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}

func (e *executor) serveStop(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highestEndedAttempt[o.Task] = max(e.highestEndedAttempt[o.Task], o.Attempt)
	if r := e.running[o.Task]; r != nil && r.Attempt == o.Attempt {
		time.AfterFunc(stopTime, func() { e.endIfRunning(r, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) serveHold(o order) (int, map[string]any) {
	e.mu.Lock()
	e.lapse()
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	for len(e.finished) > 0 && e.finished[0].number <= o.LastSeen {
		e.fleet.record.markNoted(e.finished[0])
		e.finished = e.finished[1:]
	}
	ended, listed := e.runEnded, len(e.finished)
	e.mu.Unlock()
	if listed == 0 && o.WaitMs > 0 {
		t := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		defer t.Stop()
		select {
		case <-ended:
		case <-t.C:
		}
	}
	return http.StatusOK, e.lists()
}

func (e *executor) lists() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.Task, r.Attempt, "", e.percent(r), 0})
	}
	for _, r := range e.finished[:min(len(e.finished), maxEndsListed)] {
		finished = append(finished, []any{r.number, r.Task, r.Attempt, r.How, ""})
	}
	return map[string]any{"running": running, "finished": finished, "born": e.bornMs()}
}

// percent returns the progress of a run: a work item that lasts is at work after a
// short startup.
func (e *executor) percent(r *run) int {
	if r.expected <= 0 {
		return min(int(time.Since(r.Start)*100/(300*time.Millisecond)), 100)
	}
	return min(int(time.Since(r.Start)*100/r.expected), 99)
}

// serveMachines lists the machines; moves and upkeep are never possible here,
// because each service's machines are of a kind of their own.
func (f *fleet) serveMachines(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := []map[string]any{}
	for id, e := range f.executors {
		machines = append(machines, map[string]any{
			"machine": "m-" + id, "pool": e.service, "state": "up", "zone": "z1", "id": id, "labels": []string{e.kind, "r1-1"},
			"capacity": map[string]any{"cpu": executorCPU, "mem-mb": 65536, "gpu": 0},
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next-token": ""})
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (r *run) String() string {
	return fmt.Sprintf("%s attempt %d on %s (born %d)", r.Task, r.Attempt, r.Executor, r.bornMs)
}
