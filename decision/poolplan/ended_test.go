package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that runs again: it was complete and saved while all jobs
// were read anew, with its progress from before the save (soak, seed 10).
func TestEndedJobIsNotAddedAgain(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	s := w.takeStart()
	w.plan.StartDone(w.now, s, w.outcome(Accepted))
	w.now = w.now.Add(time.Second)
	w.answerHold(Hold{Target: s.Target}, nil, EndReport{Number: 1, Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	for _, save := range w.plan.Saves(10) {
		w.plan.SaveDone(w.now, save, true)
	}
	w.addJob("a", false, step(1))
	w.advance(time.Second)
	assert.Equal(t, len(w.starts), 0)
}
