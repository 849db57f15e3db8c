package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
)

const adviceValidity = 3 * time.Second

// newAdvisedSimulation is a pool of n executors whose queue needs advice.
func newAdvisedSimulation(t *testing.T, n int) *simulation {
	w := newSimulation(t, 1)
	w.plan.SetCatalog(catalog.New(1, []catalog.Queue{{
		Name: "queue", Service: "pool", MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second,
		Advice: &catalog.Advice{DecisionTime: 10 * time.Millisecond, TimePerExecutor: time.Millisecond, Validity: adviceValidity},
	}}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%03d", i)
	}
	w.register(ids...)
	return w
}

// answerAdvice tells the plan that only the executors in may are allowed.
func (w *simulation) answerAdvice(may ...string) {
	asks := w.adviseCalls
	w.adviseCalls = nil
	for _, o := range asks {
		allowed := make(map[string]string)
		for _, id := range o.Executors {
			for _, m := range may {
				if m == id {
					allowed[id] = "ticket-" + id
				}
			}
		}
		w.plan.AdviseDone(w.now, o, allowed, adviceValidity, true)
	}
}

// Guards against a job that never starts in a pool of more executors than one
// call for advice names: the same ones were asked about each time.
func TestAdviceIsAskedForAllExecutors(t *testing.T) {
	w := newAdvisedSimulation(t, 100)
	w.addJob("j", false, step(1))
	for range 20 {
		w.advance(adviseInterval)
		w.answerAdvice("077")
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Executor, "077")
	assert.Equal(t, w.starts[0].Ticket, "ticket-077")
}

// Guards against tasks that wait for the executors of the first answer while
// others have room.
func TestAdviceIsAskedAgainWhenAllowedExecutorsAreFull(t *testing.T) {
	w := newAdvisedSimulation(t, 60)
	all := make([]string, 60)
	for i := range all {
		all[i] = fmt.Sprintf("%03d", i)
	}
	w.addJob("j", false, step(4*40))
	for range 20 {
		w.advance(adviseInterval)
		w.answerAdvice(all...)
	}
	assert.Equal(t, len(w.starts), 4*40)
}

// Guards against a start with a ticket that is over, and against a group that
// does not ask for a new one.
func TestAdviceIsRenewed(t *testing.T) {
	w := newAdvisedSimulation(t, 1)
	first, second := step(1), step(1)
	second.After = []int{0}
	w.addJob("j", false, step(4), first, second)
	w.advance(adviseInterval)
	assert.Equal(t, len(w.adviseCalls), 2, "one call for each step that is ready")
	w.answerAdvice("000")
	w.advance(adviseInterval)
	assert.Equal(t, len(w.starts), 4, "room for four")
	w.advance(2 * adviceValidity)
	w.answerAdvice("000")
	for _, s := range w.starts {
		w.plan.StartDone(w.now, s, w.outcome(Accepted))
	}
	assert.Assert(t, len(w.holds) > 0)
	w.answerHold(w.takeHold(), nil, EndReport{Number: 1, Task: w.starts[0].Task, Attempt: w.starts[0].Attempt, Ending: EndedDone})
	w.starts = nil
	w.advance(adviseInterval)
	assert.Equal(t, len(w.starts), 0, "the ticket of the step that waited is over")
	assert.Equal(t, len(w.adviseCalls), 1)
	w.answerAdvice("000")
	w.advance(adviseInterval)
	assert.Equal(t, len(w.starts), 1)
}

// Guards against a pool that asks without end about executors that are denied or
// full.
func TestAdviceIsNotAskedInVain(t *testing.T) {
	w := newAdvisedSimulation(t, 40)
	w.addJob("j", false, step(1))
	calls := 0
	for range 50 {
		w.advance(adviseInterval)
		calls += len(w.adviseCalls)
		w.answerAdvice()
	}
	assert.Equal(t, calls, 2, "two calls name all 40 executors")
	assert.Equal(t, len(w.starts), 0)
}
