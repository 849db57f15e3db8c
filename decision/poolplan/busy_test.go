package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against starts of a job that has ended, in a pool that is too busy to
// renew its list of groups at every step.
func TestBusyPoolStartsNothingOfEndedJobs(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	for i := range 2 * smallPoolJobs {
		w.addJob(fmt.Sprintf("%02d", i), false, step(1))
	}
	w.step()
	first := w.takeStart()
	assert.Equal(t, len(w.starts), 3, "the executor has room for four")
	w.plan.StartDone(w.now, first, w.outcome(Accepted))
	for i := range 2 * smallPoolJobs {
		w.plan.CancelJob(w.now, fmt.Sprintf("%02d", i))
	}
	w.starts = nil
	w.advance(time.Millisecond)
	w.answerHold(w.takeHold(), nil, EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedStopped})
	w.advance(time.Millisecond)
	assert.Equal(t, len(w.starts), 0)
}
