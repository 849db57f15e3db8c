package fleethost

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an overloaded pool whose summary does not reach the host that accepts
// jobs, against a refused job that runs, and against one that is refused for good.
func TestOverloadIsRefusedEarly(t *testing.T) {
	c := startCluster(t, 0, 1, time.Second)
	c.options = []Option{WithEarlyRefusal(true)}
	c.hosts = append(c.hosts, c.startHost("h0"), c.startHost("h1"))
	for _, h := range c.hosts {
		c.eventually("the host accepts jobs", func() bool {
			status, _ := c.call(h, http.MethodGet, "", testKey, nil)
			return status == http.StatusOK
		})
	}
	job := map[string]any{"spec": "text", "phases": []map[string]any{{"count": 8, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000}}}
	var accepted, refused []string
	for n := 0; len(refused) < 3; n++ {
		assert.Assert(t, n < 100, "no job was refused")
		status, answer := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, job)
		if status == http.StatusOK {
			accepted = append(accepted, jobID(n))
		} else {
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Assert(t, answer["retry-after-ms"].(float64) >= 1000, "%v", answer)
			refused = append(refused, jobID(n))
		}
		time.Sleep(100 * time.Millisecond)
	}
	status, _ := c.call(c.hosts[0], http.MethodPost, accepted[0], testKey, job)
	assert.Equal(t, status, http.StatusOK, "repeated submission of an accepted job")
	for _, id := range accepted {
		status, _ := c.call(c.hosts[0], http.MethodDelete, id, testKey, nil)
		assert.Equal(t, status, http.StatusOK)
	}
	for _, run := range c.fleet.Recorder.Runs() {
		for _, id := range refused {
			assert.Assert(t, !strings.HasPrefix(run.Task, id), "refused job %s runs", id)
		}
	}
	c.eventually("a refused job is accepted", func() bool {
		status, _ := c.call(c.hosts[1], http.MethodPost, refused[0], testKey, job)
		return status == http.StatusOK
	})
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], refused[0]) })
	c.assertNoRepeatedRuns()
}
