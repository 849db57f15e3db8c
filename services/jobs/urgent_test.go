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
		w := newTestCluster(t, 1, 100)
		s, k := w.startHost("h1", nil)
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
		last := w.executions()[len(w.executions())-1]
		assert.Equal(t, last.Job, "team/u")
	})
}

// Guards against urgent work that starts later than 1.7 s after a submission at
// another entry host than its scheduler's, in a pool full of batch work and
// while a wave of cancellations changes the rights of the same team.
func TestUrgentStartsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 1700 * time.Millisecond
		const batch = 200
		w := newTestCluster(t, 20, 300)
		w.store.readDelay = 5 * time.Millisecond
		w.store.commitDelay = 10 * time.Millisecond
		scheduler, k1 := w.startHost("h1", nil)
		defer k1.Stop(t.Context())
		time.Sleep(2 * time.Second)
		other, k2 := w.startHost("h2", nil)
		defer k2.Stop(t.Context())
		for i := range batch {
			submit(t, scheduler, fmt.Sprint(i), spec(true, time.Hour))
		}
		time.Sleep(10 * time.Second)
		startOf := func(id string) time.Duration {
			urgent := spec(false, 10*time.Millisecond)
			urgent.Queue = "urgent"
			submitted := time.Now()
			submit(t, other, id, urgent)
			for w.startedAt(id).IsZero() && time.Since(submitted) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			return w.startedAt(id).Sub(submitted)
		}
		var longest time.Duration
		for i := range 20 {
			// Submissions at different times within the period of a scan.
			time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
			longest = max(longest, startOf(fmt.Sprint("u", i)))
		}
		for i := range batch {
			go scheduler.Cancel(t.Context(), "team", fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		duringWave := startOf("w")
		t.Logf("longest time to the start: %v, during a wave: %v", longest, duringWave)
		assert.Assert(t, longest <= bound, "%v", longest)
		assert.Assert(t, duringWave <= bound, "%v", duringWave)
	})
}
