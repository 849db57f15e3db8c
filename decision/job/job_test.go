package job_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
)

const (
	modelJobs       = 2
	modelWorkers    = 2
	modelSchedulers = 2
)

type task struct {
	state   job.TaskState
	started bool
}

// worker starts a token at most once and remembers every token.
type worker struct {
	reachable bool
	tasks     map[string]*task
}

type row struct {
	record  job.Record
	version int
}

type pendingStart struct{ job, worker, token string }

// model is a platform, workers, and schedulers that act on stale copies. A
// scheduler that is never chosen again models a crashed one; one chosen after
// others acted models a frozen one.
type model struct {
	rows    map[string]*row
	copies  [modelSchedulers]map[string]row
	workers map[string]*worker
	// inFlight holds starts that a worker may receive at any later time.
	inFlight []pendingStart
	// reports holds workers' reports that a scheduler may apply later.
	reports   map[string][]job.Report
	runs      map[string]int
	notRun    map[string]bool
	lastToken int
}

func newModel() *model {
	m := &model{rows: map[string]*row{}, workers: map[string]*worker{}, runs: map[string]int{}, notRun: map[string]bool{}, reports: map[string][]job.Report{}}
	for i := range m.copies {
		m.copies[i] = map[string]row{}
	}
	for i := range modelWorkers {
		m.workers[fmt.Sprint("w", i)] = &worker{reachable: true, tasks: map[string]*task{}}
	}
	return m
}

func (m *model) commit(id string, version int, next job.Record) bool {
	r := m.rows[id]
	if r.version != version {
		return false
	}
	r.record = next
	r.version++
	return true
}

func (m *model) start(p pendingStart) {
	w := m.workers[p.worker]
	if _, known := w.tasks[p.token]; known {
		return
	}
	w.tasks[p.token] = &task{state: job.TaskRunning, started: true}
	m.runs[p.job]++
}

func (m *model) inspect(c row) (job.Report, bool) {
	w := m.workers[c.record.Worker]
	if w == nil || !w.reachable {
		return job.Report{}, false
	}
	knownTask := w.tasks[c.record.Token]
	if knownTask == nil {
		knownTask = &task{state: job.TaskNeverStarted}
		w.tasks[c.record.Token] = knownTask
	}
	return job.Report{Token: c.record.Token, TaskState: knownTask.state}, true
}

// step makes one scheduler take one step on its possibly stale copy. The reply
// to its commit may be lost, so that its copy stays old although the commit
// took effect.
func (m *model) step(t *rapid.T, scheduler int, id string) {
	c, ok := m.copies[scheduler][id]
	if !ok {
		return
	}
	next, result := c.record, job.TransitionResult{}
	switch choice := rapid.IntRange(0, 4).Draw(t, "step"); {
	case c.record.State == job.Queued && choice < 4:
		m.lastToken++
		workerName := fmt.Sprint("w", rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
		next, result = job.Place(c.record, workerName, fmt.Sprint("t", m.lastToken), job.Holder{Host: fmt.Sprint(scheduler)})
	case choice == 0:
		next, result = job.Cancel(c.record)
	case choice == 1:
		next, result = job.Adopt(c.record, job.Holder{Host: fmt.Sprint(scheduler)})
	case choice == 2 && c.record.Worker != "" && !m.workers[c.record.Worker].reachable:
		next, result = job.ApplyWorkerUnreachable(c.record, c.record.Token)
	case choice == 3 && len(m.reports[id]) > 0:
		late := rapid.SampledFrom(m.reports[id]).Draw(t, "report")
		next, result = job.ApplyReport(c.record, late)
	default:
		if report, ok := m.inspect(c); ok {
			m.reports[id] = append(m.reports[id], report)
			next, result = job.ApplyReport(c.record, report)
		}
	}
	if !result.Changed || !m.commit(id, c.version, next) {
		return
	}
	if next.State == job.Placed && c.record.State == job.Queued {
		m.inFlight = append(m.inFlight, pendingStart{id, next.Worker, next.Token})
	}
	if rapid.Bool().Draw(t, "replyLost") {
		return
	}
	m.copies[scheduler][id] = row{next, c.version + 1}
}

func (m *model) check(t *rapid.T) {
	for id, r := range m.rows {
		if !r.record.Idempotent && m.runs[id] > 1 {
			t.Fatalf("non-idempotent job %s ran %d times", id, m.runs[id])
		}
		if (r.record.State == job.Queued || r.record.Ended()) && (r.record.Holder != job.Holder{} || len(r.record.PossibleRenewers) > 0) {
			t.Fatalf("job %s is not running but has a right: %+v", id, r.record)
		}
		m.notRun[id] = m.notRun[id] || r.record.NotRun()
		if m.notRun[id] && m.runs[id] > 0 {
			t.Fatalf("job %s ran although its record stated that it did not and never would", id)
		}
	}
}

// finishAllJobs makes all workers reachable and lets one scheduler bring every
// job to an end.
func (m *model) finishAllJobs(t *rapid.T) {
	for _, w := range m.workers {
		w.reachable = true
	}
	for id, r := range m.rows {
		for round := 0; !r.record.Ended(); round++ {
			if round > 50 {
				t.Fatalf("job %s did not end within 50 rounds: %+v", id, r.record)
			}
			if r.record.State == job.Queued {
				m.lastToken++
				token := fmt.Sprint("t", m.lastToken)
				r.record, _ = job.Place(r.record, fmt.Sprint("w", round%modelWorkers), token, job.Holder{})
				m.start(pendingStart{id, r.record.Worker, token})
			}
			report, _ := m.inspect(*r)
			if report.TaskState == job.TaskRunning {
				m.workers[r.record.Worker].tasks[r.record.Token].state = job.TaskSucceeded
			}
			r.record, _ = job.ApplyReport(r.record, report)
			m.check(t)
		}
	}
	for _, p := range m.inFlight {
		m.start(p)
	}
}

// Guards against a second run of a non-idempotent job, a lost job, and a false
// "not run", under stale schedulers, late starts and lost replies.
func TestJobRunsAtMostOnceAndIsNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for i := range modelJobs {
			id := fmt.Sprint("j", i)
			m.rows[id] = &row{job.Submit("team", id, "queue", "hash", i == 0), 1}
		}
		anyJob := func(t *rapid.T) string { return fmt.Sprint("j", rapid.IntRange(0, modelJobs-1).Draw(t, "job")) }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				id := anyJob(t)
				m.copies[rapid.IntRange(0, modelSchedulers-1).Draw(t, "scheduler")][id] = *m.rows[id]
			},
			"act": func(t *rapid.T) {
				s, id := rapid.IntRange(0, modelSchedulers-1).Draw(t, "scheduler"), anyJob(t)
				for range rapid.IntRange(1, 6).Draw(t, "steps") {
					m.step(t, s, id)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip()
				}
				// The message stays in flight, so that it may arrive again.
				m.start(m.inFlight[rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")])
			},
			"reach": func(t *rapid.T) {
				w := m.workers[fmt.Sprint("w", rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))]
				w.reachable = !w.reachable
			},
			"endTask": func(t *rapid.T) {
				r := m.rows[anyJob(t)]
				if w := m.workers[r.record.Worker]; w != nil && w.tasks[r.record.Token] != nil && w.tasks[r.record.Token].started {
					w.tasks[r.record.Token].state = job.TaskState(rapid.IntRange(int(job.TaskSucceeded), int(job.TaskLeaseExpired)).Draw(t, "end"))
				}
			},
			"": m.check,
		})
		m.finishAllJobs(t)
		m.check(t)
	})
}

// Guards against a job that fails on every worker and is retried forever.
func TestSetAsideAfterThreeWorkers(t *testing.T) {
	r := job.Submit("team", "id", "queue", "hash", true)
	for i := range job.MaxFailedWorkers {
		assert.Equal(t, r.State, job.Queued)
		token := fmt.Sprint(i)
		r, _ = job.Place(r, "w"+token, token, job.Holder{})
		r, _ = job.ApplyReport(r, job.Report{Token: token, TaskState: job.TaskFailed})
	}
	assert.Equal(t, r.State, job.SetAside)
	assert.Equal(t, r.Reason, fault.ReasonFailedOnWorkers)
	assert.Assert(t, !r.NotRun())
}

// Guards against freeing a right, or starting the job again, while an earlier
// holder from which the job was adopted may still renew the task lease.
func TestEarlierHolderMayRenew(t *testing.T) {
	h1, h2 := job.Holder{Host: "h1"}, job.Holder{Host: "h2"}
	for _, idempotent := range []bool{false, true} {
		r, _ := job.Place(job.Submit("team", "id", "queue", "hash", idempotent), "w", "t", h1)
		r, _ = job.Adopt(r, h2)
		r, _ = job.ApplyWorkerUnreachable(r, "t")
		r, _ = job.ApplyLeaseEnd(r, "t")
		assert.Equal(t, r.Holder, h2)
		assert.Equal(t, r.State == job.Queued, false)
		r, _ = job.StopRenewing(r, h1)
		r, _ = job.ApplyWorkerUnreachable(r, "t")
		r, _ = job.ApplyLeaseEnd(r, "t")
		assert.Equal(t, r.Holder, job.Holder{})
		assert.Equal(t, r.State == job.Queued, idempotent)
	}
}
