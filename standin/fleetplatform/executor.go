package fleetplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run that an executor began.
type Run struct {
	Executor string
	Task     string
	Attempt  int
	Began    time.Time
	// Ended is zero while the run goes on.
	Ended time.Time
	How   string
	// Noted tells that the end was acknowledged, and that the executor's lease was
	// not over in between. Another end does not count: whoever holds the executor
	// may have given the run up by then.
	Noted bool
}

// Executor runs tasks under leases. Each task takes Work.
type Executor struct {
	ID        string
	StartedMs int64
	Work      time.Duration

	mu           sync.Mutex
	begun        time.Time
	fencingToken int64
	lease        int64
	runs         map[string]*Run
	ends         []endRow
	number       int64
	past         map[string]int
	mute         bool
	record       *Record
	ended        chan struct{}
}

type endRow struct {
	number int64
	run    *Run
	// lapsed tells that the lease was over after the end.
	lapsed bool
}

// Record collects the runs of all executors, for checks.
type Record struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns copies of all runs.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// NewExecutor returns one life of an executor.
func NewExecutor(id string, work time.Duration, record *Record) *Executor {
	now := time.Now()
	return &Executor{
		ID: id, StartedMs: now.UnixMilli(), Work: work, begun: now, record: record,
		runs: make(map[string]*Run), past: make(map[string]int), ended: make(chan struct{}),
	}
}

// SetMute makes the executor carry out orders without answering them.
func (e *Executor) SetMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
}

// clock is the executor's clock in milliseconds.
func (e *Executor) clock() int64 { return time.Since(e.begun).Milliseconds() + 1000 }

// Register adds the executor's calls to a mux.
func (e *Executor) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/run-start", e.guard(e.serveStart))
	mux.HandleFunc("POST /fuchsiafront/run-stop", e.guard(e.serveStop))
	mux.HandleFunc("POST /fuchsiafront/hold", e.guard(e.serveRenewLease))
	mux.HandleFunc("POST /fuchsiafront/pace", e.guard(e.serveThrottle))
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	LeaseUntil   int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	LastSeen     int64  `json:"last-seen"`
	WaitMs       int64  `json:"wait-ms"`
}

// guard decodes an order and refuses those of other lives and older owners.
func (e *Executor) guard(serve func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Fuchsiafront-Expected-Executor") != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		refused := o.FencingToken < e.fencingToken
		e.fencingToken = max(e.fencingToken, o.FencingToken)
		mute := e.mute
		e.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !refused {
			status, body = serve(o)
		}
		if mute {
			panic(http.ErrAbortHandler)
		}
		body["clock-ms"] = e.clock()
		answer(w, status, body)
	}
}

func (e *Executor) serveStart(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if o.LeaseUntil <= e.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.lease = max(e.lease, o.LeaseUntil)
	if run := e.runs[o.Task]; run != nil && run.Attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.past[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	run := &Run{Executor: e.ID, Task: o.Task, Attempt: o.Attempt, Began: time.Now()}
	e.runs[o.Task] = run
	e.record.mu.Lock()
	e.record.runs = append(e.record.runs, run)
	e.record.mu.Unlock()
	time.AfterFunc(e.Work, func() { e.end(run, "done") })
	return http.StatusOK, map[string]any{}
}

// end lists the end of a run unless it has ended already.
func (e *Executor) end(run *Run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if e.runs[run.Task] == run {
		e.finish(run, how)
	}
}

// finish lists the end of a run. The caller holds the lock.
func (e *Executor) finish(run *Run, how string) {
	delete(e.runs, run.Task)
	e.past[run.Task] = max(e.past[run.Task], run.Attempt)
	e.record.mu.Lock()
	run.Ended, run.How = time.Now(), how
	e.record.mu.Unlock()
	e.number++
	e.ends = append(e.ends, endRow{number: e.number, run: run})
	close(e.ended)
	e.ended = make(chan struct{})
}

// expire ends everything once the lease is over. The caller holds the lock.
func (e *Executor) expire() {
	if e.clock() <= e.lease {
		return
	}
	for _, run := range e.runs {
		e.finish(run, "lapsed")
	}
	for i := range e.ends {
		e.ends[i].lapsed = true
	}
}

func (e *Executor) serveStop(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.runs[o.Task]; run != nil && run.Attempt == o.Attempt {
		e.finish(run, "stopped")
	}
	e.past[o.Task] = max(e.past[o.Task], o.Attempt)
	return http.StatusOK, map[string]any{}
}

func (e *Executor) serveThrottle(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }

func (e *Executor) serveRenewLease(o order) (int, map[string]any) {
	e.mu.Lock()
	e.expire()
	e.lease = max(e.lease, o.LeaseUntil)
	e.acknowledge(o.LastSeen)
	ended := e.ended
	listed := len(e.ends) > 0
	e.mu.Unlock()
	if !listed && o.WaitMs > 0 {
		t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-ended:
		case <-t.C:
		}
	}
	return http.StatusOK, e.report()
}

// acknowledge forgets the ends up to a number. The caller holds the lock.
func (e *Executor) acknowledge(number int64) {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	for len(e.ends) > 0 && e.ends[0].number <= number {
		e.ends[0].run.Noted = !e.ends[0].lapsed
		e.ends = e.ends[1:]
	}
}

func (e *Executor) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := int(time.Since(run.Began) * 100 / max(e.Work, 1))
		running = append(running, []any{run.Task, run.Attempt, "", min(percent, 99)})
	}
	for _, end := range e.ends {
		finished = append(finished, []any{end.number, end.run.Task, end.run.Attempt, end.run.How, ""})
	}
	return map[string]any{"running": running, "finished": finished, "born": e.StartedMs}
}

// Entry returns the executor's entry in the registry.
func (e *Executor) Entry(service, address string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"warmup-left-ms": 0, "sequence": sequence, "born": e.StartedMs, "clock-ms": e.clock(), "machine": "m-" + e.ID,
		"capacity": map[string]any{"cpu": 4000, "mem-mb": 8192, "gpu": 0}, "labels": []string{"a", "r1-1"},
	}
}

// JobOf returns the job of a task.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// Overlaps returns the tasks that had two runs at the same time.
func Overlaps(runs []Run) []string {
	var found []string
	for i := range runs {
		for k := i + 1; k < len(runs); k++ {
			a, b := &runs[i], &runs[k]
			if a.Task == b.Task && a.before(b) && b.before(a) {
				found = append(found, a.Task+" attempts "+strconv.Itoa(a.Attempt)+" and "+strconv.Itoa(b.Attempt))
			}
		}
	}
	return found
}

// before reports whether r began before o ended.
func (r *Run) before(o *Run) bool { return o.Ended.IsZero() || r.Began.Before(o.Ended) }
