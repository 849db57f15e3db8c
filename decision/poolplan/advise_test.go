package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
)

const adviceValidity = 3 * time.Second

// newAdvisedSimulation returns a pool of n executors whose queue needs advice.
func newAdvisedSimulation(t *testing.T, n int) *simulation {
	sim := newSimulation(t, 1)
	sim.plan.SetCatalog(catalog.New(1, []catalog.Queue{{
		Name: "queue", Service: "pool",
		Terms: catalog.Terms{
			MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second,
			Advice: &catalog.Advice{DecisionTime: 10 * time.Millisecond, TimePerExecutor: time.Millisecond, Validity: adviceValidity},
		},
	}}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%03d", i)
	}
	sim.register(ids...)
	return sim
}

// answerAdvice answers all open advice calls; only allowedIDs are allowed.
func (sim *simulation) answerAdvice(allowedIDs ...string) {
	calls := sim.adviseCalls
	sim.adviseCalls = nil
	for _, o := range calls {
		allowed := make(map[string]string)
		for _, id := range o.Executors {
			for _, m := range allowedIDs {
				if m == id {
					allowed[id] = "ticket-" + id
				}
			}
		}
		sim.plan.AdviseDone(sim.now, o, allowed, adviceValidity, true)
	}
}

// Guards against a job that never starts in a pool with more executors than one
// advice call names, because each call named the same ones.
func TestAdviceIsAskedForAllExecutors(t *testing.T) {
	sim := newAdvisedSimulation(t, 100)
	sim.addJob("j", false, step(1))
	for range 20 {
		sim.advance(adviseInterval)
		sim.answerAdvice("077")
	}
	assert.Equal(t, len(sim.starts), 1)
	assert.Equal(t, sim.starts[0].Executor, "077")
	assert.Equal(t, sim.starts[0].Ticket, "ticket-077")
}

// Guards against tasks that wait for the executors of the first answer while
// others have room.
func TestAdviceIsAskedAgainWhenAllowedExecutorsAreFull(t *testing.T) {
	sim := newAdvisedSimulation(t, 60)
	all := make([]string, 60)
	for i := range all {
		all[i] = fmt.Sprintf("%03d", i)
	}
	sim.addJob("j", false, step(4*40))
	for range 20 {
		sim.advance(adviseInterval)
		sim.answerAdvice(all...)
	}
	assert.Equal(t, len(sim.starts), 4*40)
}

// Guards against a start with an expired ticket, and against a group that does
// not ask for a new one.
func TestAdviceIsRenewed(t *testing.T) {
	sim := newAdvisedSimulation(t, 1)
	first, second := step(1), step(1)
	second.After = []int{0}
	sim.addJob("j", false, step(4), first, second)
	sim.advance(adviseInterval)
	assert.Equal(t, len(sim.adviseCalls), 2, "one call for each step that is ready")
	sim.answerAdvice("000")
	sim.advance(adviseInterval)
	assert.Equal(t, len(sim.starts), 4, "room for four")
	sim.advance(2 * adviceValidity)
	sim.answerAdvice("000")
	for _, s := range sim.starts {
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	}
	assert.Assert(t, len(sim.leaseRenewals) > 0)
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, EndReport{Number: 1, Task: sim.starts[0].Task, Attempt: sim.starts[0].Attempt, Ending: EndedDone})
	sim.starts = nil
	sim.advance(adviseInterval)
	assert.Equal(t, len(sim.starts), 0, "the ticket of the step that waited is over")
	assert.Equal(t, len(sim.adviseCalls), 1)
	sim.answerAdvice("000")
	sim.advance(adviseInterval)
	assert.Equal(t, len(sim.starts), 1)
}

// Guards against a pool that keeps asking about executors that are denied or
// full.
func TestAdviceIsNotAskedInVain(t *testing.T) {
	sim := newAdvisedSimulation(t, 40)
	sim.addJob("j", false, step(1))
	calls := 0
	for range 50 {
		sim.advance(adviseInterval)
		calls += len(sim.adviseCalls)
		sim.answerAdvice()
	}
	assert.Equal(t, calls, 2, "two calls name all 40 executors")
	assert.Equal(t, len(sim.starts), 0)
}
