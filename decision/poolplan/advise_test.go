package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
)

const adviceValid = 3 * time.Second

// advisedWorld is a pool of n executors whose queue needs advice.
func advisedWorld(t *testing.T, n int) *world {
	w := newWorld(t, 1)
	w.plan.SetCatalog(catalog.New(1, []catalog.Queue{{
		Name: "queue", Service: "pool", MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second,
		Advice: &catalog.Advice{DecisionTime: 10 * time.Millisecond, TimePerExecutor: time.Millisecond, Validity: adviceValid},
	}}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%03d", i)
	}
	w.register(ids...)
	return w
}

// answer tells the plan that only the executors in may are allowed.
func (w *world) answer(may ...string) {
	asks := w.asks
	w.asks = nil
	for _, o := range asks {
		allowed := make(map[string]string)
		for _, id := range o.Executors {
			for _, m := range may {
				if m == id {
					allowed[id] = "ticket-" + id
				}
			}
		}
		w.plan.AdviseDone(w.now, o, allowed, adviceValid, true)
	}
}

// Guards against a job that never starts in a pool of more executors than one
// call for advice names: the same ones were asked about each time.
func TestAdviceIsAskedForAllExecutors(t *testing.T) {
	w := advisedWorld(t, 100)
	w.job("j", false, step(1))
	for range 20 {
		w.pass(advisePause)
		w.answer("077")
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Executor, "077")
	assert.Equal(t, w.starts[0].Ticket, "ticket-077")
}

// Guards against tasks that wait for the executors of the first answer while
// others have room.
func TestAdviceIsAskedAgainWhenAllowedExecutorsAreFull(t *testing.T) {
	w := advisedWorld(t, 60)
	all := make([]string, 60)
	for i := range all {
		all[i] = fmt.Sprintf("%03d", i)
	}
	w.job("j", false, step(4*40))
	for range 20 {
		w.pass(advisePause)
		w.answer(all...)
	}
	assert.Equal(t, len(w.starts), 4*40)
}

// Guards against a start with a ticket that is over, and against a group that
// does not ask for a new one.
func TestAdviceIsRenewed(t *testing.T) {
	w := advisedWorld(t, 1)
	first, second := step(1), step(1)
	second.After = []int{0}
	w.job("j", false, step(4), first, second)
	w.pass(advisePause)
	assert.Equal(t, len(w.asks), 2, "one call for each step that is ready")
	w.answer("000")
	w.pass(advisePause)
	assert.Equal(t, len(w.starts), 4, "room for four")
	w.pass(2 * adviceValid)
	w.answer("000")
	for _, s := range w.starts {
		w.plan.StartDone(w.now, s, w.outcome(Accepted))
	}
	assert.Assert(t, len(w.holds) > 0)
	w.report(w.takeHold(), nil, EndReport{Number: 1, Task: w.starts[0].Task, Attempt: w.starts[0].Attempt, Ending: EndedDone})
	w.starts = nil
	w.pass(advisePause)
	assert.Equal(t, len(w.starts), 0, "the ticket of the step that waited is over")
	assert.Equal(t, len(w.asks), 1)
	w.answer("000")
	w.pass(advisePause)
	assert.Equal(t, len(w.starts), 1)
}

// Guards against a pool that asks without end about executors that are denied or
// full.
func TestAdviceIsNotAskedInVain(t *testing.T) {
	w := advisedWorld(t, 40)
	w.job("j", false, step(1))
	calls := 0
	for range 50 {
		w.pass(advisePause)
		calls += len(w.asks)
		w.answer()
	}
	assert.Equal(t, calls, 2, "two calls name all 40 executors")
	assert.Equal(t, len(w.starts), 0)
}
