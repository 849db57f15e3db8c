package fleetplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task that an executor started.
type Run struct {
	Executor string
	Task     string
	Attempt  int
	Start    time.Time
	// End is zero while the run is in progress.
	End    time.Time
	Ending string
	// EndAckedInLease is set when the end was acknowledged before the executor's
	// lease expired. Ends acknowledged later do not count: the host that holds the
	// executor may have given up the run by then.
	EndAckedInLease bool
}

// SpecFails is the text of jobs whose tasks fail failAfter after each start.
const (
	SpecFails = "fails"
	failAfter = 10 * time.Millisecond
)

// Executor runs tasks under leases. Each task takes TaskDuration.
type Executor struct {
	ID           string
	StartedMs    int64
	TaskDuration time.Duration

	mu            sync.Mutex
	startedAt     time.Time
	highestToken  int64
	leaseUntilMs  int64
	runs          map[string]*Run
	unackedEnds   []endReport
	lastEndNumber int64
	// ackedThrough is the highest number that was acknowledged. It may be higher than
	// that of any end so far: ends up to it are forgotten as they happen.
	ackedThrough  int64
	endedAttempts map[string]int
	loseReplies   bool
	refusesStarts bool
	recorder      *RunRecorder
	runEnded      chan struct{}
}

type endReport struct {
	number int64
	run    *Run
	// leaseExpired is set when the lease expired after the end.
	leaseExpired bool
}

// RunRecorder records the runs of all executors for checks.
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

// NewExecutor returns one incarnation of an executor.
func NewExecutor(id string, taskDuration time.Duration, recorder *RunRecorder) *Executor {
	now := time.Now()
	return &Executor{
		ID: id, StartedMs: now.UnixMilli(), TaskDuration: taskDuration, startedAt: now, recorder: recorder,
		runs: make(map[string]*Run), endedAttempts: make(map[string]int), runEnded: make(chan struct{}),
	}
}

// SetLoseReplies sets whether the executor carries out orders without replying.
func (e *Executor) SetLoseReplies(lose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseReplies = lose
}

// SetRefuseStarts sets whether the executor answers starts as an unhealthy one does.
func (e *Executor) SetRefuseStarts(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusesStarts = refuse
}

// clockMs returns the executor's clock in milliseconds.
func (e *Executor) clockMs() int64 { return time.Since(e.startedAt).Milliseconds() + 1000 }

// Register adds the executor's handlers to a mux.
func (e *Executor) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/run-start", e.orderHandler(e.serveStart))
	mux.HandleFunc("POST /fuchsiafront/run-stop", e.orderHandler(e.serveStop))
	mux.HandleFunc("POST /fuchsiafront/hold", e.orderHandler(e.serveRenewLease))
	mux.HandleFunc("POST /fuchsiafront/pace", e.orderHandler(e.serveThrottle))
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	SpecText     string `json:"spec"`
	LeaseUntilMs int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	AckedEnd     int64  `json:"last-seen"`
	WaitMs       int64  `json:"wait-ms"`
}

// orderHandler decodes orders and refuses those for another executor and those
// of earlier owners, which have a lower fencing token.
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
		refused := o.FencingToken < e.highestToken
		e.highestToken = max(e.highestToken, o.FencingToken)
		loseReply := e.loseReplies
		e.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !refused {
			status, body = serve(o)
		}
		if loseReply {
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
	if e.refusesStarts {
		return http.StatusServiceUnavailable, map[string]any{}
	}
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
	if o.SpecText == SpecFails {
		time.AfterFunc(failAfter, func() { e.endRun(run, "failed") })
		return http.StatusOK, map[string]any{}
	}
	time.AfterFunc(e.TaskDuration, func() { e.endRun(run, "done") })
	return http.StatusOK, map[string]any{}
}

// endRun records the end of a run unless it has already ended.
func (e *Executor) endRun(run *Run, ending string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	if e.runs[run.Task] == run {
		e.recordEnd(run, ending)
	}
}

// recordEnd records the end of a run and wakes waiting holds. The caller holds
// e.mu.
func (e *Executor) recordEnd(run *Run, ending string) {
	delete(e.runs, run.Task)
	e.endedAttempts[run.Task] = max(e.endedAttempts[run.Task], run.Attempt)
	e.recorder.mu.Lock()
	run.End, run.Ending = time.Now(), ending
	e.recorder.mu.Unlock()
	e.lastEndNumber++
	e.unackedEnds = append(e.unackedEnds, endReport{number: e.lastEndNumber, run: run})
	e.forgetAckedEnds()
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}

// expireLease ends all runs if the lease has expired. The caller holds e.mu.
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
	runEnded := e.runEnded
	hasUnackedEnds := len(e.unackedEnds) > 0
	e.mu.Unlock()
	if !hasUnackedEnds && o.WaitMs > 0 {
		t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-runEnded:
		case <-t.C:
		}
	}
	return http.StatusOK, e.report()
}

// acknowledge drops the ends up to number. The caller holds e.mu.
func (e *Executor) acknowledge(number int64) {
	e.ackedThrough = max(e.ackedThrough, number)
	e.forgetAckedEnds()
}

// forgetAckedEnds drops the ends that have been acknowledged. The caller holds e.mu.
func (e *Executor) forgetAckedEnds() {
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	for len(e.unackedEnds) > 0 && e.unackedEnds[0].number <= e.ackedThrough {
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
	for _, ended := range e.unackedEnds {
		finished = append(finished, []any{ended.number, ended.run.Task, ended.run.Attempt, ended.run.Ending, ""})
	}
	return map[string]any{"running": running, "finished": finished, "born": e.StartedMs}
}

// RegistryEntry returns the executor's entry for the registry.
func (e *Executor) RegistryEntry(service, address string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"warmup-left-ms": 0, "sequence": sequence, "born": e.StartedMs, "clock-ms": e.clockMs(), "machine": "m-" + e.ID,
		"capacity": map[string]any{"cpu": 4000, "mem-mb": 8192, "gpu": 0}, "labels": []string{"a", "r1-1"},
	}
}

// JobOf returns the job that a task belongs to.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// Overlaps describes each pair of runs of the same task that ran at the same
// time.
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

// startedBeforeEndOf reports whether r started before other ended.
func (r *Run) startedBeforeEndOf(other *Run) bool {
	return other.End.IsZero() || r.Start.Before(other.End)
}
