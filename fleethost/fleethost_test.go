package fleethost

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

// assertNoRepeatedRuns asserts that no task of the jobs ran twice at once, or again after
// it was done.
func (c *cluster) assertNoRepeatedRuns() {
	c.t.Helper()
	runs := c.fleet.Recorder.Runs()
	assert.Equal(c.t, len(fleetplatform.Overlaps(runs)), 0, "%v", fleetplatform.Overlaps(runs))
	done := make(map[string]int)
	for _, r := range runs {
		if r.Ending == "done" {
			done[r.Task]++
		}
	}
	for task, n := range done {
		assert.Equal(c.t, n, 1, "task %s was done %d times", task, n)
	}
}

// Guards against a job that is lost, or run twice, on the way from one host to
// the owner of its pool and back to another host.
func TestJobsAreServed(t *testing.T) {
	c := startCluster(t, 2, 3, 100*time.Millisecond)
	for n := range 6 {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
		status, _ = c.call(c.hosts[(n+1)%2], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK, "a repeat of an accepted job")
	}
	for n := range 6 {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[(n+1)%2], jobID(n)) })
	}
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(0), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK, "a repeat of a completed job")
	time.Sleep(time.Second)
	assert.Equal(t, len(c.fleet.Recorder.Runs()), 6*5)
	c.assertNoRepeatedRuns()
	status, _ = c.call(c.hosts[0], http.MethodGet, jobID(99), testKey, nil)
	assert.Equal(t, status, http.StatusGone)
}

// Guards against work that stops, or runs twice, when the host that owns the
// pool is stopped under load.
func TestOwnerStopsUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 400*time.Millisecond)
	for n := range 12 {
		status, _ := c.call(c.hosts[1], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	c.eventually("work has begun", func() bool { return len(c.fleet.Recorder.Runs()) > 5 })
	c.hosts[0].stop()
	for n := range 12 {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[1], jobID(n)) })
	}
	c.assertNoRepeatedRuns()
}

// Guards against a task that is started again while its executor, which carries
// out orders without answering, still runs it; and against one that is not.
func TestExecutorFallsSilent(t *testing.T) {
	c := startCluster(t, 1, 3, 300*time.Millisecond)
	c.fleet.Executor("i-0").SetLoseReplies(true)
	for n := range 4 {
		status, _ := c.call(c.hosts[0], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	for n := range 4 {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(n)) })
	}
	assert.Equal(t, len(fleetplatform.Overlaps(c.fleet.Recorder.Runs())), 0)
}

// Guards against a refusal that is not true and a job that is recorded twice
// while the store is away, loses replies, or has forgotten its history.
func TestStoreMisbehaves(t *testing.T) {
	c := startCluster(t, 1, 2, 50*time.Millisecond)
	c.fleet.Store.SetDown(true)
	status, answer := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, answer["retry-after-ms"] != nil, "a refusal tells when to come back")
	c.fleet.Store.SetDown(false)
	c.fleet.Store.DropHistory()
	c.fleet.Store.LoseReplies(1)
	status, _ = c.call(c.hosts[0], http.MethodPost, jobID(2), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK, "the write whose reply was lost is found")
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(2)) })
	status, _ = c.call(c.hosts[0], http.MethodGet, jobID(1), testKey, nil)
	assert.Equal(t, status, http.StatusGone, "the refused job was never recorded")
	c.assertNoRepeatedRuns()
}

// Guards against a withdrawn key that goes on working, and a configuration that
// goes back to an older version.
func TestKeyIsWithdrawn(t *testing.T) {
	c := startCluster(t, 2, 1, 50*time.Millisecond)
	c.fleet.Configure(5, testHost, testPrefix, "key-2")
	for _, h := range c.hosts {
		c.eventually("the key is refused", func() bool {
			status, _ := c.call(h, http.MethodGet, jobID(1), testKey, nil)
			return status == http.StatusUnauthorized
		})
	}
	c.fleet.Configure(3, testHost, testPrefix, testKey)
	time.Sleep(300 * time.Millisecond)
	for _, h := range c.hosts {
		status, _ := c.call(h, http.MethodGet, jobID(1), testKey, nil)
		assert.Equal(t, status, http.StatusUnauthorized, "an older configuration came into force")
	}
}

// Guards against a host that stops working because another writer has left
// entries that cannot be read.
func TestEntriesOfOtherWritersAreLeftOut(t *testing.T) {
	c := startCluster(t, 1, 1, 50*time.Millisecond)
	c.fleet.Store.PutBytes("servers", "", "i-x", []byte("not json"))
	c.fleet.Store.Put("servers", "", "i-y", map[string]any{"service": 7, "address": "127.0.0.1:1"})
	c.fleet.Store.Put("servers", "", "i-z", map[string]any{"service": "svc", "address": "nowhere", "state": "ready", "sequence": 1})
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(1)) })
}

// Guards against clients that are sent to a host which cannot record jobs while
// others can: its readiness follows the store's answers, both ways.
func TestReadinessFollowsTheStore(t *testing.T) {
	c := startCluster(t, 1, 1, 50*time.Millisecond)
	ready := func() bool {
		resp, err := http.Get("http://" + c.hosts[0].readyAddress + "/fuchsiafront/readyz")
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	c.fleet.Store.SetDown(true)
	c.eventually("the host is not ready", func() bool { return !ready() })
	c.fleet.Store.SetDown(false)
	c.eventually("the host is ready again", ready)
}

// Guards against a save of progress that the store carries out after a later
// one: it would show a completed job as running again, and a next owner would
// run its tasks twice.
func TestLateSaveDoesNotReplaceProgress(t *testing.T) {
	c := startCluster(t, 1, 3, 200*time.Millisecond)
	c.fleet.Store.DelayCommits("progress", 1)
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is complete", func() bool { return c.completed(c.hosts[0], jobID(1)) })
	assert.Equal(t, c.fleet.Store.ApplyDelayed(), 1)
	assert.Assert(t, c.completed(c.hosts[0], jobID(1)), "an earlier save replaced a later one")
}

// Guards against a pool that starts nothing because what its owner records of the
// executors is longer than a row of the store may be.
func TestLargePoolIsServed(t *testing.T) {
	c := startCluster(t, 1, 700, 50*time.Millisecond)
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(1)) })
}

// stalledOutput is a standard output that nobody reads: writes block until the
// test ends.
type stalledOutput struct{ testEnded chan struct{} }

func (o stalledOutput) Write(b []byte) (int, error) {
	<-o.testEnded
	return len(b), nil
}

// Guards against requests that wait for the log, and against a host that cannot
// stop, when standard output is not read any more.
func TestStalledOutputHoldsNothingUp(t *testing.T) {
	out := stalledOutput{make(chan struct{})}
	defer close(out.testEnded)
	c := startLoggingCluster(t, 1, 3, 50*time.Millisecond, out)
	for n := range 20 {
		status, _ := c.call(c.hosts[0], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	for n := range 20 {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(n)) })
	}
	c.hosts[0].stop()
	select {
	case err := <-c.hosts[0].ended:
		assert.ErrorContains(t, err, "stop log: its duties did not end")
		c.hosts[0].ended <- nil
	case <-time.After(stopTimeout):
		t.Fatalf("the host did not stop within %v", stopTimeout)
	}
}
