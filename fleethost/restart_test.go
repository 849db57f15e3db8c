package fleethost

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that runs again after its end was acknowledged, because its
// executor had started again under its identifier, at its address. The owner learns of
// that a second later. Until then it must send the later incarnation nothing that was
// meant for the former one: an acknowledgement of the former ends made the later one forget
// its own as they happened, and the owner took these runs for lost.
func TestRestartedExecutorGetsNothingMeantForItsFormerIncarnation(t *testing.T) {
	c := startCluster(t, 1, 2, 60*time.Millisecond)
	next := 0
	submit := func(n int) {
		for range n {
			status, _ := c.call(c.hosts[0], http.MethodPost, jobID(next), testKey, twoStepJob())
			assert.Equal(t, status, http.StatusOK)
			next++
			time.Sleep(30 * time.Millisecond)
		}
	}
	for range 3 {
		submit(20)
		ended := make(chan error, 1)
		go func() { ended <- c.fleet.RestartExecutor("i-0", 600*time.Millisecond, time.Second) }()
		submit(80)
		assert.NilError(t, <-ended)
	}
	for n := range next {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(n)) })
	}
	acknowledged := make(map[string]int)
	for _, r := range c.fleet.Recorder.Runs() {
		if r.Ending == "done" && r.EndAckedInLease {
			acknowledged[r.Task]++
		}
	}
	for task, n := range acknowledged {
		assert.Equal(t, n, 1, "task %s was acknowledged as done %d times", task, n)
	}
}
