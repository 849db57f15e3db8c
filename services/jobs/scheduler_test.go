package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	decision "fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	"fuchsiafront.example/fuchsiafront/standin/worker"
)

// Guards against a lost job and a second run when a scheduler pauses between
// placing and starting, and resumes after another one took over.
func TestSchedulerDiesBetweenPlacingAndStarting(t *testing.T) {
	for _, c := range []struct {
		pause       time.Duration
		unreachable bool
	}{{40 * time.Second, false}, {5 * time.Minute, false}, {5 * time.Minute, true}} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, 1, 10)
			resumed := make(chan struct{})
			var frozen atomic.Bool
			_, first := cluster.startHost("h1", func(tx services.Transaction) {
				placed := strings.Contains(string(tx.Writes[0].Value), `"state":"placed"`)
				if placed || frozen.Load() {
					frozen.Store(true)
					<-resumed
				}
			})
			time.Sleep(2 * time.Second)
			second, k := cluster.startHost("h2", nil)
			defer k.Stop(context.Background())
			submit(t, second, "a", spec(false, 10*time.Second))
			cluster.workers["w0"].SetFaults(worker.Faults{Down: c.unreachable})
			time.Sleep(c.pause)
			cluster.workers["w0"].SetFaults(worker.Faults{})
			assert.Assert(t, frozen.Load())
			close(resumed)
			time.Sleep(2 * time.Minute)
			assert.Equal(t, state(t, second, "a"), "done")
			assert.Equal(t, len(cluster.executions()), 1)
			assert.Assert(t, strings.Contains(cluster.executions()[0].Token, "/h2."), "started by the first scheduler after its pause")
			assert.Equal(t, cluster.rights.inUse(), 0)
			assert.NilError(t, first.Stop(context.Background()))
		})
	}
}

// Guards against running jobs that are lost when their scheduler ends, and
// against rights that are freed while these jobs still run: together with
// requests the team would then exceed its limit.
func TestAdoptionOfRunningJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 4
		cluster := newTestCluster(t, 1, limit)
		first, k1 := cluster.startHost("h1", nil)
		for _, id := range []string{"a", "b", "c"} {
			submit(t, first, id, spec(false, 3*time.Minute))
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(cluster.executions()), 3)
		assert.NilError(t, k1.Stop(context.Background()))
		second, k2 := cluster.startHost("h2", nil)
		defer k2.Stop(context.Background())
		cluster.removeMember("h1")
		requests := &hostRights{cluster.rights, nil, decision.Holder{Host: "h2", Incarnation: 1}}
		granted := 0
		for range 150 {
			if requests.Acquire(t.Context(), "team", 1) == nil {
				granted++
			}
			running := cluster.countRunning()
			assert.Assert(t, running+granted <= limit, "%d jobs and %d requests exceed the limit of %d", running, granted, limit)
			time.Sleep(time.Second)
		}
		assert.Equal(t, granted, 1)
		row := string(cluster.store.row("job/team/a"))
		assert.Assert(t, strings.Contains(row, `"holder":{"host":"h2"`), row)
		time.Sleep(time.Minute)
		for _, id := range []string{"a", "b", "c"} {
			assert.Equal(t, state(t, second, id), "done")
		}
		assert.Equal(t, len(cluster.executions()), 3)
		assert.Equal(t, cluster.rights.inUse(), granted)
	})
}

// Guards against a drained host that holds its schedule leases until they end,
// and against rights that it returns while its jobs run.
func TestDrainHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 10)
		first, k1 := cluster.startHost("h1", nil)
		submit(t, first, "a", spec(false, 3*time.Minute))
		time.Sleep(3 * time.Second)
		second, k2 := cluster.startHost("h2", nil)
		defer k2.Stop(context.Background())
		time.Sleep(10 * time.Second)
		startedAt := time.Now()
		assert.NilError(t, k1.Drain(context.Background()))
		assert.Assert(t, time.Since(startedAt) < 8*time.Second, "drain took %v", time.Since(startedAt))
		submit(t, second, "b", spec(true, time.Second))
		time.Sleep(14*time.Second - time.Since(startedAt))
		assert.Equal(t, state(t, second, "b"), "done")
		assert.Equal(t, cluster.rights.inUse(), 1)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, state(t, second, "a"), "done")
		assert.Equal(t, cluster.rights.inUse(), 0)
		assert.NilError(t, k1.Stop(context.Background()))
	})
}

// Guards against a right that is returned while its task still runs: the
// scheduler is partitioned from the platform and keeps renewing the task lease,
// and the scheduler that takes over cannot reach the worker.
func TestRightOutlivesAPartition(t *testing.T) {
	for _, c := range []struct {
		idempotent    bool
		during, after string
		runs          int
	}{{false, "unknown", "failed", 1}, {true, "running", "running", 2}} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, 1, 10)
			first, k1 := cluster.startHost("h1", nil)
			defer k1.Stop(context.Background())
			submit(t, first, "a", spec(c.idempotent, time.Hour))
			time.Sleep(30 * time.Second)
			cluster.partitions["h1"].platform.Store(true)
			second, k2 := cluster.startHost("h2", nil)
			defer k2.Stop(context.Background())
			cluster.partitions["h2"].workers.Store(true)
			time.Sleep(3 * time.Minute)
			assert.Equal(t, state(t, second, "a"), c.during)
			assert.Assert(t, cluster.executions()[0].End.IsZero())
			assert.Equal(t, cluster.rights.inUse(), 1)
			cluster.partitions["h1"].platform.Store(false)
			time.Sleep(time.Minute)
			if !c.idempotent {
				assert.Equal(t, cluster.rights.inUse(), 0)
			}
			cluster.partitions["h2"].workers.Store(false)
			time.Sleep(time.Minute)
			assert.Equal(t, state(t, second, "a"), c.after)
			assert.Equal(t, len(cluster.executions()), c.runs)
		})
	}
}

// Guards against demand for rights that is not reported, that stays reported
// once it is met, and that includes jobs that fit on no worker.
func TestReportsJobsThatLackRights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 2)
		s, k := cluster.startHost("h1", nil)
		defer k.Stop(t.Context())
		for i := range 20 {
			submit(t, s, fmt.Sprint(i), spec(true, time.Minute))
		}
		time.Sleep(5 * time.Second)
		for range 30 {
			waiting := cluster.rights.waitingOf("h1")
			assert.Assert(t, waiting > 0 && waiting <= 6, "%d waiting jobs reported, want 1 to 6: capacity for 8, of which 2 run", waiting)
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 20 {
			_, err := s.Cancel(t.Context(), "team", fmt.Sprint(i))
			assert.NilError(t, err)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, cluster.rights.waitingOf("h1"), 0)
	})
}

// Guards against a pool whose queues stay divided between two hosts, neither of
// which knows the pool's use by team and free resources.
func TestOneHostSchedulesAPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 10)
		// Both hosts read the free leases before one acquires the first queue.
		// That host is then slow, so that the other acquires the second queue.
		cluster.store.readDelay = 10 * time.Millisecond
		var taken atomic.Bool
		slow := func(services.Transaction) {
			if !taken.Swap(true) {
				time.Sleep(time.Second)
			}
		}
		_, k1 := cluster.start("h1", slow, jobs.Config{TaskDuties: 1})
		defer k1.Stop(t.Context())
		_, k2 := cluster.start("h2", slow, jobs.Config{TaskDuties: 1})
		defer k2.Stop(t.Context())
		holder := func(queue string) string { return leaseHolder(t, cluster.store.row("schedule/"+queue)) }
		time.Sleep(3 * time.Second)
		assert.Assert(t, holder("queue") != holder("urgent"), "both queues are scheduled by %s", holder("queue"))
		time.Sleep(15 * time.Second)
		assert.Equal(t, holder("queue"), holder("urgent"))
	})
}

func leaseHolder(t *testing.T, value []byte) string {
	t.Helper()
	var lease struct{ Host string }
	assert.NilError(t, json.Unmarshal(value, &lease))
	return lease.Host
}
