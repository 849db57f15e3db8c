package rights_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
)

// commit sends change as the transaction of a job's row would.
func (c *cluster) commit(t *testing.T, change services.RightsChange) error {
	t.Helper()
	result, err := c.platform.Commit(t.Context(), services.Transaction{
		Conditions: []services.Condition{change.Condition},
		Writes:     []services.Write{change.Write},
	})
	change.Settle(result, err)
	return err
}

// Guards against the right of a job that is also used for a request, is reclaimed
// with the request rights of an ended host, or does not move with the job.
func TestJobKeepsRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		assert.Equal(t, a.acquireUpTo(t, 1), 1)
		placed, err := a.PlaceJob(t.Context(), "t")
		assert.NilError(t, err)
		assert.NilError(t, c.commit(t, placed))
		assert.Equal(t, c.row(t).HoldingOf(holder("a", 1)).Jobs, 1)

		a.SetWaiting("t", 1)
		time.Sleep(time.Second)
		assert.Equal(t, c.row(t).HoldingOf(holder("a", 1)).Requests > 0, true)
		a.stop(t)
		c.platform.deleteMember("a")
		time.Sleep(4 * longestRequest)
		b.SetWaiting("t", 4)
		time.Sleep(time.Second)
		assert.Equal(t, b.acquireUpTo(t, 4), 3)

		adopted, err := b.AdoptJob(t.Context(), "t", a.node.self)
		assert.NilError(t, err)
		assert.NilError(t, c.commit(t, adopted))
		ended, err := b.EndJob(t.Context(), "t", b.node.self)
		assert.NilError(t, err)
		assert.NilError(t, c.commit(t, ended))
		time.Sleep(time.Second)
		assert.Equal(t, b.acquireUpTo(t, 4), 1)
	})
}

// Guards against a right that is used by both a request and a job, or is lost,
// when the outcome of a placement is unknown or the placement had no effect.
func TestPlacementOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, m := range []entryfakes.Mode{entryfakes.LoseReply, entryfakes.DelayCommit, entryfakes.Down} {
			c := newCluster(4)
			a := c.startHost(t, "a", 1)
			waitForFloors()
			a.SetWaiting("t", 4)
			time.Sleep(time.Second)
			a.SetWaiting("t", 0)
			// From here on the balance duty has no reason to write, which would
			// make the placement conflict.
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, a.acquireUpTo(t, 1), 1)
			placed, err := a.PlaceJob(t.Context(), "t")
			assert.NilError(t, err)
			c.platform.SetMode(m)
			assert.Assert(t, c.commit(t, placed) != nil)
			c.platform.SetMode(entryfakes.Up)
			free := a.acquireUpTo(t, 4)
			assert.Equal(t, free, 3)
			c.platform.ApplyDelayed()
			time.Sleep(time.Second)
			free += a.acquireUpTo(t, 4)
			bound := c.row(t).HoldingOf(holder("a", 1)).Jobs
			if m == entryfakes.Down {
				// The request still has the right that it acquired.
				bound++
			}
			assert.Equal(t, free+bound, 4)
			a.Release("t", free)
			assert.Equal(t, a.acquireUpTo(t, 4), 4-bound)
		}
	})
}

// Guards against rights that do not move to a scheduler with waiting jobs before
// it acquires them, and against waiting jobs that are forgotten when the number
// of waiting requests is reported.
func TestRightsMoveToWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(8)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		b.SetWaiting("t", 8)
		time.Sleep(time.Second)
		b.SetWaiting("t", 0)
		a.SetWaitingJobs("t", 6)
		a.SetWaiting("t", 0)
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.row(t).HoldingOf(holder("a", 1)).Requests >= 6)
		a.SetWaitingJobs("t", 0)
		time.Sleep(10 * time.Second)
		assert.Assert(t, c.row(t).HoldingOf(holder("a", 1)).Requests < 6)
	})
}
