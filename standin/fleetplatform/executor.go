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
	Start    time.Time
	// End is zero while the run goes on.
	End    time.Time
	Ending string
	// EndAckedInLease tells that the end was acknowledged, and that the executor's lease was
	// not over in between. Another end does not count: whoever holds the executor
	// may have given the run up by then.
	EndAckedInLease bool
}

// Executor runs tasks under leases. Each task takes Work.
type Executor struct {
	ID           string
	StartedMs    int64
	TaskDuration time.Duration

	mu            sync.Mutex
	startedAt     time.Time
	fencingToken  int64
	leaseUntilMs  int64
	runs          map[string]*Run
	unackedEnds   []endReport
	lastEndNumber int64
	endedAttempts map[string]int
	loseReplies   bool
	recorder      *RunRecorder
	runEnded      chan struct{}
}

type endReport struct {
	number int64
	run    *Run
	// leaseExpired tells that the lease was over after the end.
	leaseExpired bool
}

// RunRecorder collects the runs of all executors, for checks.
type RunRecorder struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns copies of all runs.
func (r *RunRecorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// NewExecutor returns one life of an executor.
func NewExecutor(id string, work time.Duration, record *RunRecorder) *Executor {
	now := time.Now()
	return &Executor{
		ID: id, StartedMs: now.UnixMilli(), TaskDuration: work, startedAt: now, recorder: record,
		runs: make(map[string]*Run), endedAttempts: make(map[string]int), runEnded: make(chan struct{}),
	}
}

// SetLoseReplies makes the executor carry out orders without answering them.
func (e *Executor) SetLoseReplies(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseReplies = mute
}

// clockMs is the executor's clock in milliseconds.
func (e *Executor) clockMs() int64 { return time.Since(e.startedAt).Milliseconds() + 1000 }

// Register adds the executor's calls to a mux.
func (e *Executor) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/run-start", e.orderHandler(e.serveStart))
	mux.HandleFunc("POST /fuchsiafront/run-stop", e.orderHandler(e.serveStop))
	mux.HandleFunc("POST /fuchsiafront/hold", e.orderHandler(e.serveRenewLease))
	mux.HandleFunc("POST /fuchsiafront/pace", e.orderHandler(e.serveThrottle))
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	LeaseUntilMs int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	AckedEnd     int64  `json:"last-seen"`
	WaitMs       int64  `json:"wait-ms"`
}

// orderHandler decodes an order and refuses those of other lives and older owners.
func (e *Executor) orderHandler(serve func(order) (int, map[string]any)) http.HandlerFunc {
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
		mute := e.loseReplies
		e.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !refused {
			status, body = serve(o)
		}
		if mute {
			panic(http.ErrAbortHandler)
		}
		body["clock-ms"] = e.clockMs()
		writeJSON(w, status, body)
	}
}

func (e *Executor) serveStart(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	if o.LeaseUntilMs <= e.clockMs() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.leaseUntilMs = max(e.leaseUntilMs, o.LeaseUntilMs)
	if run := e.runs[o.Task]; run != nil && run.Attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.endedAttempts[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	run := &Run{Executor: e.ID, Task: o.Task, Attempt: o.Attempt, Start: time.Now()}
	e.runs[o.Task] = run
	e.recorder.mu.Lock()
	e.recorder.runs = append(e.recorder.runs, run)
	e.recorder.mu.Unlock()
	time.AfterFunc(e.TaskDuration, func() { e.endRun(run, "done") })
	return http.StatusOK, map[string]any{}
}

// endRun lists the end of a run unless it has ended already.
func (e *Executor) endRun(run *Run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	if e.runs[run.Task] == run {
		e.recordEnd(run, how)
	}
}

// recordEnd lists the end of a run. The caller holds the lock.
func (e *Executor) recordEnd(run *Run, how string) {
	delete(e.runs, run.Task)
	e.endedAttempts[run.Task] = max(e.endedAttempts[run.Task], run.Attempt)
	e.recorder.mu.Lock()
	run.End, run.Ending = time.Now(), how
	e.recorder.mu.Unlock()
	e.lastEndNumber++
	e.unackedEnds = append(e.unackedEnds, endReport{number: e.lastEndNumber, run: run})
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}

// expireLease ends everything once the lease is over. The caller holds the lock.
func (e *Executor) expireLease() {
	if e.clockMs() <= e.leaseUntilMs {
		return
	}
	for _, run := range e.runs {
		e.recordEnd(run, "lapsed")
	}
	for i := range e.unackedEnds {
		e.unackedEnds[i].leaseExpired = true
	}
}

func (e *Executor) serveStop(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.runs[o.Task]; run != nil && run.Attempt == o.Attempt {
		e.recordEnd(run, "stopped")
	}
	e.endedAttempts[o.Task] = max(e.endedAttempts[o.Task], o.Attempt)
	return http.StatusOK, map[string]any{}
}

func (e *Executor) serveThrottle(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }

func (e *Executor) serveRenewLease(o order) (int, map[string]any) {
	e.mu.Lock()
	e.expireLease()
	e.leaseUntilMs = max(e.leaseUntilMs, o.LeaseUntilMs)
	e.acknowledge(o.AckedEnd)
	ended := e.runEnded
	listed := len(e.unackedEnds) > 0
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
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	for len(e.unackedEnds) > 0 && e.unackedEnds[0].number <= number {
		e.unackedEnds[0].run.EndAckedInLease = !e.unackedEnds[0].leaseExpired
		e.unackedEnds = e.unackedEnds[1:]
	}
}

func (e *Executor) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := int(time.Since(run.Start) * 100 / max(e.TaskDuration, 1))
		running = append(running, []any{run.Task, run.Attempt, "", min(percent, 99)})
	}
	for _, end := range e.unackedEnds {
		finished = append(finished, []any{end.number, end.run.Task, end.run.Attempt, end.run.Ending, ""})
	}
	return map[string]any{"running": running, "finished": finished, "born": e.StartedMs}
}

// RegistryEntry returns the executor's entry in the registry.
func (e *Executor) RegistryEntry(service, address string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"warmup-left-ms": 0, "sequence": sequence, "born": e.StartedMs, "clock-ms": e.clockMs(), "machine": "m-" + e.ID,
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
			if a.Task == b.Task && a.startedBeforeEndOf(b) && b.startedBeforeEndOf(a) {
				found = append(found, a.Task+" attempts "+strconv.Itoa(a.Attempt)+" and "+strconv.Itoa(b.Attempt))
			}
		}
	}
	return found
}

// startedBeforeEndOf reports whether r began before o ended.
func (r *Run) startedBeforeEndOf(o *Run) bool { return o.End.IsZero() || r.Start.Before(o.End) }
