package fleethost

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

// moveQueue sends the queue to the other service under another name, and waits until
// the change is in force on all hosts.
func (c *cluster) moveQueue(version int) {
	const newKey = "key-moved"
	c.fleet.ConfigureQueue(version, "moved", c.fleet.OtherService, testHost, testPrefix, testKey, newKey)
	for _, h := range c.hosts {
		c.eventually("the new configuration is in force", func() bool {
			status, _ := c.call(h, http.MethodGet, jobID(0xffff), newKey, nil)
			return status == http.StatusGone
		})
	}
}

func (c *cluster) state(h *host, id string) string {
	status, answer := c.call(h, http.MethodGet, id, testKey, nil)
	if status != http.StatusOK {
		return http.StatusText(status)
	}
	state, _ := answer["state"].(string)
	return state
}

// Guards against jobs that no count of pending jobs includes any more, because their
// queue was renamed and moved after they were accepted.
func TestPendingJobsOfMovedQueue(t *testing.T) {
	c := startCluster(t, 2, 0, time.Second)
	for n := range 5 {
		status, _ := c.call(c.hosts[0], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	pendingIs := func(want float64) func() bool {
		return func() bool {
			for _, h := range c.hosts {
				if _, answer := c.call(h, http.MethodGet, "", testKey, nil); answer["pending"] != want {
					return false
				}
			}
			return true
		}
	}
	c.eventually("all jobs are pending", pendingIs(5))
	c.moveQueue(2)
	c.eventually("the jobs in the former pool are pending", pendingIs(5))
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(5), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the jobs in both pools are pending", pendingIs(6))
	// The owners of the pools change.
	c.hosts[0].stop()
	assert.NilError(t, <-c.hosts[0].ended)
	c.hosts[0].ended <- nil
	c.hosts = append(c.hosts[1:], c.startHost("h2"))
	for n := range 3 {
		c.eventually("a job is cancelled", func() bool {
			status, _ := c.call(c.hosts[0], http.MethodDelete, jobID(n), testKey, nil)
			return status == http.StatusOK
		})
	}
	c.eventually("cancelled jobs are not pending", pendingIs(3))
	for n := 3; n < 6; n++ {
		status, _ := c.call(c.hosts[0], http.MethodDelete, jobID(n), testKey, nil)
		assert.Equal(t, status, http.StatusOK)
	}
	c.eventually("no job is pending", pendingIs(0))
}

// Guards against a job that runs a second time because its submission arrives again
// after the operator has sent its queue to another service: in each of its states, and
// on each host, the identifier stands for the job that was accepted first.
func TestRepeatedSubmissionAfterQueueMoved(t *testing.T) {
	c := startCluster(t, 2, 3, 1500*time.Millisecond)
	for _, id := range []string{"o-1", "o-2", "o-3"} {
		c.fleet.AddOtherExecutor(id, 100*time.Millisecond)
	}
	completed, running, cancelled := jobID(1), jobID(2), jobID(3)
	submit := func(h *host, id string) {
		status, _ := c.call(h, http.MethodPost, id, testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	for _, id := range []string{completed, cancelled} {
		submit(c.hosts[0], id)
	}
	status, _ := c.call(c.hosts[0], http.MethodDelete, cancelled, testKey, nil)
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the first job is completed", func() bool { return c.completed(c.hosts[0], completed) })
	submit(c.hosts[0], running)
	c.eventually("the second job runs", func() bool { return c.state(c.hosts[0], running) == "running" })
	c.moveQueue(2)
	want := map[string]string{completed: "completed", running: "running", cancelled: "cancelled"}
	for id, state := range want {
		for _, h := range c.hosts {
			submit(h, id)
			assert.Equal(t, c.state(h, id), state, "job %s", id)
		}
	}
	c.eventually("the job that was under way is completed", func() bool { return c.completed(c.hosts[1], running) })
	submit(c.hosts[1], jobID(4))
	c.eventually("a new job of the moved queue is completed", func() bool { return c.completed(c.hosts[0], jobID(4)) })
	runs := c.fleet.Recorder.Runs()
	for _, r := range runs {
		old := fleetplatform.JobOf(r.Task) != jobID(4)
		assert.Equal(t, old, r.Executor[0] == 'i', "%s ran on %s", r.Task, r.Executor)
	}
	assert.Equal(t, len(fleetplatform.Overlaps(runs)), 0)
	status, _ = c.call(c.hosts[1], http.MethodDelete, running, testKey, nil)
	assert.Equal(t, status, http.StatusOK, "a job in the former pool can be cancelled")
}
