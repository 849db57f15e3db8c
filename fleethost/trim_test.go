package fleethost

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// Guards against a pool that a new owner cannot read in time, because the store still has
// the long texts of all jobs that have ended, and against jobs that run again after
// their records were trimmed.
func TestTextsOfEndedJobsAreNotKept(t *testing.T) {
	const jobs, textBytes = 600, 4000
	c := startCluster(t, 2, 12, 20*time.Millisecond)
	body := map[string]any{"spec": strings.Repeat("x", textBytes), "phases": []map[string]any{{"count": 1, "cpu": 250, "mem-mb": 64, "estimate-ms": 20}}}
	for n := range jobs {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, body)
		assert.Equal(t, status, http.StatusOK)
	}
	table := jobrecord.TableJobs(c.fleet.Service)
	for n := range jobs {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[n%2], jobID(n)) })
	}
	c.eventually("most texts are gone", func() bool { return c.fleet.Store.TableBytes(table) < jobs*textBytes/2 })
	runs := len(c.fleet.Recorder.Runs())
	for n := range jobs {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, body)
		assert.Equal(t, status, http.StatusOK)
	}
	c.hosts[0].stop()
	assert.NilError(t, <-c.hosts[0].ended)
	c.hosts[0].ended <- nil
	late := jobID(jobs)
	c.eventually("the remaining host accepts a job", func() bool {
		status, _ := c.call(c.hosts[1], http.MethodPost, late, testKey, body)
		return status == http.StatusOK
	})
	c.eventually("the late job is completed", func() bool { return c.completed(c.hosts[1], late) })
	assert.Equal(t, len(c.fleet.Recorder.Runs()), runs+1, "an ended job ran again")
	for n := range jobs {
		assert.Assert(t, c.completed(c.hosts[1], jobID(n)), "job %d", n)
	}
}
