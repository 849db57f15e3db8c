package fleetplatform

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// SpecFails is the text of jobs whose tasks fail failAfter after each start.
const (
	SpecFails = "fails"
	failAfter = 10 * time.Millisecond
)

// specTakes begins the text of jobs whose tasks take the duration that follows.
const specTakes = "takes "

// SpecTakes returns the text of jobs whose tasks each take d.
func SpecTakes(d time.Duration) string { return specTakes + d.String() }

const (
	// initialClockMs is what the clock of an executor shows when it starts.
	initialClockMs = 1000
	// initialUptime is how long the executors of a new fleet have been running, so that
	// their clocks are far ahead of those after a restart.
	initialUptime = 10 * time.Minute
)

// Executor is one incarnation of an executor, which runs tasks under leases. Tasks take
// TaskDuration unless the text of their job says otherwise.
type Executor struct {
	ID string
	// StartedMs is the time of day at which it started, as it reports it.
	StartedMs    int64
	TaskDuration time.Duration

	// startedAt and maxLease do not change.
	startedAt time.Time
	maxLease  time.Duration

	mu           sync.Mutex
	crashed      bool
	highestToken int64
	leaseUntilMs int64
	// leaseTimer ends the lease.
	leaseTimer    *time.Timer
	runs          map[runKey]*Run
	unackedEnds   []endReport
	lastEndNumber int64
	// ackedThrough is the highest number that was acknowledged. It may be higher than
	// that of any end so far: ends up to it are forgotten as they happen.
	ackedThrough int64
	// ackToken is the fencing token of the acknowledgement of ackedThrough.
	ackToken      int64
	endedAttempts map[string]int
	loseReplies   bool
	refusesStarts bool
	recorder      *RunRecorder
	runEnded      chan struct{}
}

// runKey identifies a run at an executor.
type runKey struct {
	task    string
	attempt int
}

type endReport struct {
	number int64
	run    *Run
	// leaseExpired is set when the lease expired after the end.
	leaseExpired bool
}

// newExecutor returns an executor that has been running for uptime and grants leases of
// at most maxLease.
func newExecutor(id string, taskDuration, uptime, maxLease time.Duration, recorder *RunRecorder) *Executor {
	startedAt := time.Now().Add(-uptime)
	e := &Executor{
		ID: id, StartedMs: startedAt.UnixMilli(), TaskDuration: taskDuration, startedAt: startedAt, maxLease: maxLease, recorder: recorder,
		runs: make(map[runKey]*Run), endedAttempts: make(map[string]int), runEnded: make(chan struct{}),
	}
	e.leaseTimer = time.AfterFunc(maxLease, e.leasePassed)
	return e
}

// crash ends the executor: it does nothing from now on.
func (e *Executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	e.leaseTimer.Stop()
	for _, run := range e.runs {
		e.recordEnd(run, "gone")
	}
	e.crashed = true
	close(e.runEnded)
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
func (e *Executor) clockMs() int64 { return time.Since(e.startedAt).Milliseconds() + initialClockMs }

// Paths of the orders to executors.
const (
	pathStart      = "/fuchsiafront/run-start"
	pathStop       = "/fuchsiafront/run-stop"
	pathRenewLease = "/fuchsiafront/hold"
	pathThrottle   = "/fuchsiafront/pace"
)

// order is an order to an executor.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	SpecText     string `json:"spec"`
	LeaseUntilMs int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	AckedEnd     int64  `json:"last-seen"`
	WaitMs       int64  `json:"wait-ms"`

	path, executor string
	// late is set when the order is carried out late.
	late bool
}

// readOrder decodes the order of a request.
func readOrder(r *http.Request) (*order, error) {
	o := &order{path: r.URL.Path, executor: r.Header.Get("X-Fuchsiafront-Expected-Executor")}
	return o, json.NewDecoder(r.Body).Decode(o)
}

// carryOut carries out an order, unless it is for another executor or of an earlier
// owner, which has a lower fencing token.
func (e *Executor) carryOut(o *order) (status int, body map[string]any) {
	if o.executor != e.ID {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	e.expireLease()
	status, body = http.StatusConflict, map[string]any{"reason": "fence"}
	if o.FencingToken >= e.highestToken {
		e.highestToken = o.FencingToken
		status, body = e.serve(o)
	}
	body["clock-ms"] = e.clockMs()
	return status, body
}

// serve carries out an order that is not refused. The caller holds e.mu.
func (e *Executor) serve(o *order) (status int, body map[string]any) {
	switch o.path {
	case pathStart:
		return e.serveStart(o)
	case pathStop:
		return e.serveStop(o)
	case pathRenewLease:
		return e.serveRenewLease(o)
	case pathThrottle:
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

// replies reports whether the executor replies to orders.
func (e *Executor) replies() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.loseReplies && !e.crashed
}

func (e *Executor) serveStart(o *order) (int, map[string]any) {
	if e.refusesStarts {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.LeaseUntilMs <= e.clockMs() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extendLease(o.LeaseUntilMs)
	if e.runs[runKey{o.Task, o.Attempt}] != nil {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.endedAttempts[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	duration, ending := e.outcomeOf(o.SpecText)
	run := &Run{Executor: e.ID, ExecutorStartedMs: e.StartedMs, Task: o.Task, Attempt: o.Attempt, Late: o.late, StartToken: o.FencingToken, Start: time.Now(), duration: duration}
	e.runs[runKey{o.Task, o.Attempt}] = run
	e.recorder.add(run)
	time.AfterFunc(duration, func() { e.endRun(run, ending) })
	return http.StatusOK, map[string]any{}
}

// outcomeOf returns when and how the tasks of a job with a text end.
func (e *Executor) outcomeOf(specText string) (time.Duration, string) {
	if specText == SpecFails {
		return failAfter, "failed"
	}
	if text, ok := strings.CutPrefix(specText, specTakes); ok {
		if d, err := time.ParseDuration(text); err == nil {
			return d, "done"
		}
	}
	return e.TaskDuration, "done"
}

// endRun records the end of a run unless it has already ended.
func (e *Executor) endRun(run *Run, ending string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	if e.runs[runKey{run.Task, run.Attempt}] == run {
		e.recordEnd(run, ending)
	}
}

// recordEnd records the end of a run and wakes waiting holds. The caller holds
// e.mu.
func (e *Executor) recordEnd(run *Run, ending string) {
	delete(e.runs, runKey{run.Task, run.Attempt})
	e.endedAttempts[run.Task] = max(e.endedAttempts[run.Task], run.Attempt)
	e.recorder.end(run, ending)
	e.lastEndNumber++
	e.unackedEnds = append(e.unackedEnds, endReport{number: e.lastEndNumber, run: run})
	e.forgetAckedEnds()
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}

// extendLease extends the lease to a time on the executor's clock. A lease that is longer
// than the maximum is shortened to that. The caller holds e.mu.
func (e *Executor) extendLease(untilMs int64) {
	now := e.clockMs()
	untilMs = min(untilMs, now+e.maxLease.Milliseconds())
	if untilMs <= e.leaseUntilMs {
		return
	}
	e.leaseUntilMs = untilMs
	e.leaseTimer.Reset(time.Duration(untilMs+1-now) * time.Millisecond)
}

// leasePassed ends all runs if the lease has expired.
func (e *Executor) leasePassed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
}

// expireLease ends all runs if the lease has expired. The caller holds e.mu.
func (e *Executor) expireLease() {
	if e.crashed || e.clockMs() <= e.leaseUntilMs {
		return
	}
	for _, run := range e.runs {
		e.recordEnd(run, "lapsed")
	}
	for i := range e.unackedEnds {
		e.unackedEnds[i].leaseExpired = true
	}
}

func (e *Executor) serveStop(o *order) (int, map[string]any) {
	if run := e.runs[runKey{o.Task, o.Attempt}]; run != nil {
		e.recordEnd(run, "stopped")
	}
	e.endedAttempts[o.Task] = max(e.endedAttempts[o.Task], o.Attempt)
	return http.StatusOK, map[string]any{}
}

// serveRenewLease releases e.mu while it waits for an end.
func (e *Executor) serveRenewLease(o *order) (int, map[string]any) {
	e.extendLease(o.LeaseUntilMs)
	e.acknowledge(o.AckedEnd, o.FencingToken)
	if len(e.unackedEnds) == 0 && o.WaitMs > 0 {
		runEnded := e.runEnded
		e.mu.Unlock()
		t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		select {
		case <-runEnded:
		case <-t.C:
		}
		t.Stop()
		e.mu.Lock()
	}
	return http.StatusOK, e.report()
}

// acknowledge drops the ends up to number. The caller holds e.mu.
func (e *Executor) acknowledge(number, fencingToken int64) {
	if number > e.ackedThrough {
		e.ackedThrough, e.ackToken = number, fencingToken
	}
	e.forgetAckedEnds()
}

// forgetAckedEnds drops the ends that have been acknowledged. The caller holds e.mu.
func (e *Executor) forgetAckedEnds() {
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	for len(e.unackedEnds) > 0 && e.unackedEnds[0].number <= e.ackedThrough {
		run := e.unackedEnds[0].run
		run.EndAckedInLease, run.AckToken, run.AckedAt = !e.unackedEnds[0].leaseExpired, e.ackToken, time.Now()
		e.unackedEnds = e.unackedEnds[1:]
	}
}

// report returns what the executor says of itself. The caller holds e.mu.
func (e *Executor) report() map[string]any {
	e.expireLease()
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := int(time.Since(run.Start) * 100 / max(run.duration, 1))
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
		"service": service, "address": address, "zone": ZoneOf(e.ID), "version": "v1", "slots": 8, "state": "ready",
		"warmup-left-ms": 0, "sequence": sequence, "born": e.StartedMs, "clock-ms": e.clockMs(), "machine": "m-" + e.ID,
		"capacity": map[string]any{"cpu": 4000, "mem-mb": 8192, "gpu": 0}, "labels": []string{"a", "r1-1"},
	}
}
