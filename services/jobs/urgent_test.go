package jobs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against urgent work that waits for batch work to end.
func TestUrgentStartsInAFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 100)
		s, k := cluster.startHost("h1", nil)
		defer k.Stop(t.Context())
		for i := range 20 {
			submit(t, s, fmt.Sprint(i), spec(true, time.Hour))
		}
		time.Sleep(5 * time.Second)
		urgent := spec(false, time.Minute)
		urgent.Queue = "urgent"
		urgent.Resources.MilliCPU = 4000
		submit(t, s, "u", urgent)
		time.Sleep(1700 * time.Millisecond)
		last := cluster.executions()[len(cluster.executions())-1]
		assert.Equal(t, last.Job, "team/u")
	})
}

// Guards against urgent work that starts later than 1.7 s after a submission at
// an entry host that is not its scheduler, in a pool full of batch work and
// during a burst of cancellations that changes the rights of the same team.
func TestUrgentStartsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxLatency = 1700 * time.Millisecond
		const batch = 200
		cluster := newTestCluster(t, 20, 300)
		cluster.store.readDelay = 5 * time.Millisecond
		cluster.store.commitDelay = 10 * time.Millisecond
		scheduler, k1 := cluster.startHost("h1", nil)
		defer k1.Stop(t.Context())
		time.Sleep(2 * time.Second)
		other, k2 := cluster.startHost("h2", nil)
		defer k2.Stop(t.Context())
		for i := range batch {
			submit(t, scheduler, fmt.Sprint(i), spec(true, time.Hour))
		}
		time.Sleep(10 * time.Second)
		startLatency := func(id string) time.Duration {
			urgent := spec(false, 10*time.Millisecond)
			urgent.Queue = "urgent"
			submitted := time.Now()
			submit(t, other, id, urgent)
			for cluster.startedAt(id).IsZero() && time.Since(submitted) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			return cluster.startedAt(id).Sub(submitted)
		}
		var longest time.Duration
		for i := range 20 {
			// Submissions at different times within the scan interval.
			time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
			longest = max(longest, startLatency(fmt.Sprint("u", i)))
		}
		for i := range batch {
			go scheduler.Cancel(t.Context(), "team", fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		duringCancellations := startLatency("w")
		t.Logf("longest start latency: %v, during cancellations: %v", longest, duringCancellations)
		assert.Assert(t, longest <= maxLatency, "longest start latency is %v", longest)
		assert.Assert(t, duringCancellations <= maxLatency, "start latency during cancellations is %v", duringCancellations)
	})
}
