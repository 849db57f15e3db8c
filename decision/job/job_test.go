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
	answer job.Answer
	start  bool
}

// worker starts a token at most once and remembers every token.
type worker struct {
	reachable bool
	tasks     map[string]*task
}

type row struct {
	rec     job.Record
	version int
}

type pendingStart struct{ job, worker, token string }

// model is a platform, workers and schedulers that act on stale copies. A
// scheduler that is never chosen again is a crashed one; one chosen after
// others acted is a frozen one.
type model struct {
	rows    map[string]*row
	copies  [modelSchedulers]map[string]row
	workers map[string]*worker
	// network holds starts that a worker may receive at any later time.
	network []pendingStart
	// reports holds workers' answers that a scheduler may apply later.
	reports map[string][]job.Report
	runs    map[string]int
	notRun  map[string]bool
	seq     int
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
	r.rec = next
	r.version++
	return true
}

func (m *model) start(p pendingStart) {
	w := m.workers[p.worker]
	if _, known := w.tasks[p.token]; known {
		return
	}
	w.tasks[p.token] = &task{answer: job.AnswerRunning, start: true}
	m.runs[p.job]++
}

func (m *model) inspect(c row) (job.Report, bool) {
	w := m.workers[c.rec.Worker]
	if w == nil || !w.reachable {
		return job.Report{}, false
	}
	known := w.tasks[c.rec.Token]
	if known == nil {
		known = &task{answer: job.AnswerNever}
		w.tasks[c.rec.Token] = known
	}
	return job.Report{Token: c.rec.Token, Answer: known.answer}, true
}

// act lets one scheduler take one step on its possibly stale copy. The reply
// to its commit may be lost, so that its copy stays old after the effect.
func (m *model) act(t *rapid.T, s int, id string) {
	c, ok := m.copies[s][id]
	if !ok {
		return
	}
	next, verdict := c.rec, job.Verdict{}
	switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
	case c.rec.State == job.Queued && step < 4:
		m.seq++
		w := fmt.Sprint("w", rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
		next, verdict = job.Place(c.rec, w, fmt.Sprint("t", m.seq), job.Holder{Host: fmt.Sprint(s)})
	case step == 0:
		next, verdict = job.Cancel(c.rec)
	case step == 1:
		next, verdict = job.Adopt(c.rec, job.Holder{Host: fmt.Sprint(s)})
	case step == 2 && c.rec.Worker != "" && !m.workers[c.rec.Worker].reachable:
		next, verdict = job.LeaseLost(c.rec, c.rec.Token)
	case step == 3 && len(m.reports[id]) > 0:
		late := rapid.SampledFrom(m.reports[id]).Draw(t, "report")
		next, verdict = job.Worker(c.rec, late)
	default:
		if report, ok := m.inspect(c); ok {
			m.reports[id] = append(m.reports[id], report)
			next, verdict = job.Worker(c.rec, report)
		}
	}
	if !verdict.Changed || !m.commit(id, c.version, next) {
		return
	}
	if next.State == job.Placed && c.rec.State == job.Queued {
		m.network = append(m.network, pendingStart{id, next.Worker, next.Token})
	}
	if rapid.Bool().Draw(t, "replyLost") {
		return
	}
	m.copies[s][id] = row{next, c.version + 1}
}

func (m *model) check(t *rapid.T) {
	for id, r := range m.rows {
		if !r.rec.Idempotent && m.runs[id] > 1 {
			t.Fatalf("non-idempotent job %s ran %d times", id, m.runs[id])
		}
		if (r.rec.State == job.Queued || r.rec.Ended()) && (r.rec.Holder != job.Holder{} || len(r.rec.MayRenew) > 0) {
			t.Fatalf("job %s does not run and has a right: %+v", id, r.rec)
		}
		m.notRun[id] = m.notRun[id] || r.rec.NotRun()
		if m.notRun[id] && m.runs[id] > 0 {
			t.Fatalf("job %s was said to be not run and ran", id)
		}
	}
}

// settle heals all faults and lets one scheduler bring every job to an end.
func (m *model) settle(t *rapid.T) {
	for _, w := range m.workers {
		w.reachable = true
	}
	for id, r := range m.rows {
		for round := 0; !r.rec.Ended(); round++ {
			if round > 50 {
				t.Fatalf("job %s never ends: %+v", id, r.rec)
			}
			if r.rec.State == job.Queued {
				m.seq++
				token := fmt.Sprint("t", m.seq)
				r.rec, _ = job.Place(r.rec, fmt.Sprint("w", round%modelWorkers), token, job.Holder{})
				m.start(pendingStart{id, r.rec.Worker, token})
			}
			report, _ := m.inspect(*r)
			if report.Answer == job.AnswerRunning {
				m.workers[r.rec.Worker].tasks[r.rec.Token].answer = job.AnswerSucceeded
			}
			r.rec, _ = job.Worker(r.rec, report)
			m.check(t)
		}
	}
	for _, p := range m.network {
		m.start(p)
	}
}

// Guards against a second run of a non-idempotent job, a lost job, and a
// false "not run", under stale schedulers, late starts and lost replies.
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
					m.act(t, s, id)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.network) == 0 {
					t.Skip()
				}
				// The message stays, so that it may arrive again.
				m.start(m.network[rapid.IntRange(0, len(m.network)-1).Draw(t, "message")])
			},
			"reach": func(t *rapid.T) {
				w := m.workers[fmt.Sprint("w", rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))]
				w.reachable = !w.reachable
			},
			"endTask": func(t *rapid.T) {
				r := m.rows[anyJob(t)]
				if w := m.workers[r.rec.Worker]; w != nil && w.tasks[r.rec.Token] != nil && w.tasks[r.rec.Token].start {
					w.tasks[r.rec.Token].answer = job.Answer(rapid.IntRange(int(job.AnswerSucceeded), int(job.AnswerLeaseExpired)).Draw(t, "end"))
				}
			},
			"": m.check,
		})
		m.settle(t)
		m.check(t)
	})
}

// Guards against a job that fails everywhere and is retried for ever.
func TestSetAsideAfterThreeWorkers(t *testing.T) {
	r := job.Submit("team", "id", "queue", "hash", true)
	for i := range job.MaxFailedWorkers {
		assert.Equal(t, r.State, job.Queued)
		token := fmt.Sprint(i)
		r, _ = job.Place(r, "w"+token, token, job.Holder{})
		r, _ = job.Worker(r, job.Report{Token: token, Answer: job.AnswerFailed})
	}
	assert.Equal(t, r.State, job.SetAside)
	assert.Equal(t, r.Reason, fault.ReasonFailedOnWorkers)
	assert.Assert(t, !r.NotRun())
}

// Guards against a right that is freed, or a second start, while an earlier
// holder that was adopted from may still renew the task lease.
func TestEarlierHolderMayRenew(t *testing.T) {
	h1, h2 := job.Holder{Host: "h1"}, job.Holder{Host: "h2"}
	for _, idempotent := range []bool{false, true} {
		r, _ := job.Place(job.Submit("team", "id", "queue", "hash", idempotent), "w", "t", h1)
		r, _ = job.Adopt(r, h2)
		r, _ = job.LeaseLost(r, "t")
		r, _ = job.LeaseEnded(r, "t")
		assert.Equal(t, r.Holder, h2)
		assert.Equal(t, r.State == job.Queued, false)
		r, _ = job.StopRenewing(r, h1)
		r, _ = job.LeaseLost(r, "t")
		r, _ = job.LeaseEnded(r, "t")
		assert.Equal(t, r.Holder, job.Holder{})
		assert.Equal(t, r.State == job.Queued, idempotent)
	}
}
