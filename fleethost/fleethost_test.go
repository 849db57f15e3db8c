package fleethost

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

// assertNoRepeatedRuns asserts that no task ran twice at the same time, and that
// none was done more than once.
func (c *cluster) assertNoRepeatedRuns() {
	c.t.Helper()
	runs := c.fleet.Recorder.Runs()
	assert.Equal(c.t, len(fleetplatform.Overlaps(runs)), 0, "overlapping runs: %v", fleetplatform.Overlaps(runs))
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

// Guards against a job that is lost or run twice on the way from the accepting
// host to the owner of its pool and from there to the host that is asked.
func TestJobsAreServed(t *testing.T) {
	c := startCluster(t, 2, 3, 100*time.Millisecond)
	for n := range 6 {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
		status, _ = c.call(c.hosts[(n+1)%2], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK, "repeated submission of an accepted job")
	}
	for n := range 6 {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[(n+1)%2], jobID(n)) })
	}
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(0), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK, "repeated submission of a completed job")
	time.Sleep(time.Second)
	assert.Equal(t, len(c.fleet.Recorder.Runs()), 6*5)
	c.assertNoRepeatedRuns()
	status, _ = c.call(c.hosts[0], http.MethodGet, jobID(99), testKey, nil)
	assert.Equal(t, status, http.StatusGone)
}

// Guards against tasks that stop, or run twice, when the host that owns the pool
// is stopped under load.
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

// Guards against a task that is started again while an executor that carries out
// orders without answering still runs it, and against a task that is never
// started again.
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

// Guards against a false refusal and a job that is recorded twice while the store
// is down, loses replies, or has lost its change history.
func TestStoreMisbehaves(t *testing.T) {
	c := startCluster(t, 1, 2, 50*time.Millisecond)
	c.fleet.Store.SetDown(true)
	status, answer := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, answer["retry-after-ms"] != nil, "the refusal has no retry-after-ms")
	c.fleet.Store.SetDown(false)
	c.fleet.Store.DropHistory()
	c.fleet.Store.LoseReplies(1)
	status, _ = c.call(c.hosts[0], http.MethodPost, jobID(2), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK, "the write whose reply was lost was not found")
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(2)) })
	status, _ = c.call(c.hosts[0], http.MethodGet, jobID(1), testKey, nil)
	assert.Equal(t, status, http.StatusGone, "the refused job was recorded")
	c.assertNoRepeatedRuns()
}

// Guards against a withdrawn key that is still accepted, and against a return to
// an older version of the configuration.
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

// Guards against a host that stops serving because another writer has stored
// registry entries that cannot be decoded.
func TestEntriesOfOtherWritersAreLeftOut(t *testing.T) {
	c := startCluster(t, 1, 1, 50*time.Millisecond)
	c.fleet.Store.PutBytes("servers", "", "i-x", []byte("not json"))
	c.fleet.Store.Put("servers", "", "i-y", map[string]any{"service": 7, "address": "127.0.0.1:1"})
	c.fleet.Store.Put("servers", "", "i-z", map[string]any{"service": "svc", "address": "nowhere", "state": "ready", "sequence": 1})
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(1)) })
}

// Guards against an odd entry of another writer that stops the hosts from following
// the registry, or that ends the runs of the executor whose address it names.
func TestOddEntriesDisturbNothing(t *testing.T) {
	c := startCluster(t, 2, 2, 700*time.Millisecond)
	address := c.fleet.ExecutorAddress("i-0")
	for n := range 4 {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	c.eventually("work has begun", func() bool { return len(c.fleet.Recorder.Runs()) > 1 })
	odd := func(id string, changes map[string]any) {
		entry := map[string]any{
			"service": "svc", "address": address, "zone": "z1", "version": "v1", "slots": 8, "warmup-left-ms": 0, "labels": []string{"a", "r1-1"},
			"state": "ready", "sequence": 1, "capacity": map[string]any{"cpu": 1000, "mem-mb": 10},
		}
		for field, value := range changes {
			entry[field] = value
			if value == nil {
				delete(entry, field)
			}
		}
		c.fleet.Store.Put("servers", "", id, entry)
	}
	odd("i-later", map[string]any{"service": "unknown", "born": time.Now().Add(time.Hour).UnixMilli()})
	odd("i-lacking", map[string]any{"born": time.Now().Add(time.Hour).UnixMilli(), "version": nil, "slots": nil})
	odd("i-complete", map[string]any{"born": time.Now().Add(time.Hour).UnixMilli()})
	odd("i-number", map[string]any{"born": json.Number("99999999999999999999999")})
	odd("i-exponent", map[string]any{"capacity": map[string]any{"cpu": json.Number("1e400")}})
	odd("i-most", map[string]any{"born": json.Number("9223372036854775807")})
	odd("i-port", map[string]any{"address": "127.0.0.1:99999"})
	c.fleet.Store.PutBytes("servers", "", "i-nested", []byte(`{"service":"svc","labels":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+"}"))
	c.fleet.Store.PutBytes("servers", "", "i-open", []byte(strings.Repeat(`{"a":`, 10_000)))
	c.fleet.AddExecutor("i-new", 50*time.Millisecond)
	for n := range 12 {
		status, _ := c.call(c.hosts[n%2], http.MethodPost, jobID(100+n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	for _, n := range []int{0, 1, 2, 3, 100, 101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111} {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(n)) })
	}
	c.assertNoRepeatedRuns()
	for _, h := range c.hosts {
		assert.Equal(t, len(h.ended), 0, "a host has ended")
	}
}

// Guards against a withdrawn key that a host accepts again after its restart.
func TestWithdrawnKeyStaysWithdrawnAfterRestart(t *testing.T) {
	c := startCluster(t, 1, 1, 50*time.Millisecond)
	c.fleet.Configure(5, testHost, testPrefix, "key-2")
	restarted := c.startHost("h1")
	c.eventually("the host has a configuration", func() bool {
		status, _ := c.call(restarted, http.MethodGet, jobID(1), "key-2", nil)
		refused, _ := c.call(restarted, http.MethodGet, jobID(1), testKey, nil)
		assert.Assert(t, refused == 0 || refused == http.StatusServiceUnavailable || refused == http.StatusUnauthorized, "the withdrawn key is answered with %d", refused)
		return status == http.StatusGone
	})
}

// Guards against clients that are sent to a host that cannot record jobs while
// others can: a host is ready only while the store answers it.
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

// Guards against a delayed progress write that replaces a later one: a completed
// job would be shown as running again, and the next owner would run its tasks
// twice.
func TestLateSaveDoesNotReplaceProgress(t *testing.T) {
	c := startCluster(t, 1, 3, 200*time.Millisecond)
	c.fleet.Store.DelayCommits("progress", 1)
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is complete", func() bool { return c.completed(c.hosts[0], jobID(1)) })
	assert.Equal(t, c.fleet.Store.ApplyDelayed(), 1)
	assert.Assert(t, c.completed(c.hosts[0], jobID(1)), "an earlier progress write replaced a later one")
}

// Guards against jobs whose progress is never saved because that of one job of their
// pool cannot be.
func TestRefusedProgressHoldsUpNoOtherJob(t *testing.T) {
	c := startCluster(t, 1, 3, 50*time.Millisecond)
	c.fleet.Store.RefuseKeys(jobID(0) + "/progress")
	for n := range 10 {
		status, _ := c.call(c.hosts[0], http.MethodPost, jobID(n), testKey, twoStepJob())
		assert.Equal(t, status, http.StatusOK)
	}
	for n := 1; n < 10; n++ {
		c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(n)) })
	}
	assert.Assert(t, !c.completed(c.hosts[0], jobID(0)))
	c.fleet.Store.RefuseKeys("")
	c.eventually("the job is completed as well", func() bool { return c.completed(c.hosts[0], jobID(0)) })
}

// Guards against a pool that starts no tasks because its owner's record of the
// executors exceeds the size limit of a row in the store.
func TestLargePoolIsServed(t *testing.T) {
	c := startCluster(t, 1, 700, 50*time.Millisecond)
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, twoStepJob())
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the job is completed", func() bool { return c.completed(c.hosts[0], jobID(1)) })
}

// stalledOutput is a standard output that is never read: writes block until the
// test ends.
type stalledOutput struct{ testEnded chan struct{} }

func (o stalledOutput) Write(b []byte) (int, error) {
	<-o.testEnded
	return len(b), nil
}

// Guards against requests that wait for the log, and against a host that cannot
// stop, when standard output is no longer read.
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

// Guards against a factor that is read from another field, does not take a whole number, or
// makes tasks wait where it is absent or senseless.
func TestRemoteFactorOfSettings(t *testing.T) {
	text := fleetplatform.SettingsFile("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	for setting, want := range map[string]float64{
		"": 1, "remote-factor = 0.5": 1, "remote-factor = -2": 1, "remote-factor = nan": 1,
		"remote-factor = 1.5": 1.5, "remote-factor = 3": 3, "remote-factor = inf": maxRemoteFactor,
	} {
		path := filepath.Join(t.TempDir(), "settings.toml")
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(text, "[bounds]", "[bounds]\n"+setting, 1)), 0o600))
		s, err := platform.Load(path)
		assert.NilError(t, err)
		assert.Equal(t, planParams(s).RemoteFactor, want, setting)
	}
}
