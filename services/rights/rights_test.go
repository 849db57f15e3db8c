package rights_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
)

const (
	holdTerm       = time.Minute
	longestRequest = 10 * time.Second
)

// waitForFloors waits until the hosts hold their floors. A host that balanced
// before the other one was a member gives its surplus back in the next full
// round, within 10 s.
func waitForFloors() { time.Sleep(15 * time.Second) }

// Guards against a burst that waits for the next periodic round although rights
// are free, and against refused work that is not notified when they arrive.
func TestBurstGetsFreeRights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		assert.Equal(t, a.acquireUpTo(t, 40), 5)
		a.SetWaiting("t", 30)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, <-a.freed.C(), "t")
		assert.Equal(t, a.acquireUpTo(t, 30), 30)
		assert.Equal(t, b.acquireUpTo(t, 40), 5)
		assert.Equal(t, c.row(t).Sum(), 40)
	})
}

// Guards against idle rights that stay on a host after a burst while a peer has
// unmet demand.
func TestRightsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		a.acquireUpTo(t, 10)
		a.SetWaiting("t", 20)
		time.Sleep(100 * time.Millisecond)
		got := 10 + a.acquireUpTo(t, 20)
		a.SetWaiting("t", 0)
		a.Release("t", got)
		b.SetWaiting("t", 30)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, b.acquireUpTo(t, 40) >= 30)
	})
}

// Guards against a host that never gets a right because the rights of others are
// always in use.
func TestNewHostGetsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a := c.startHost(t, "a", 1)
		waitForFloors()
		a.acquireUpTo(t, 10)
		a.SetWaiting("t", 100)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, a.acquireUpTo(t, 40), 30)
		b := c.startHost(t, "b", 2)
		b.SetWaiting("t", 100)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			a.Release("t", 1)
			a.acquireUpTo(t, 1)
		}
		assert.Equal(t, b.acquireUpTo(t, 40), 20)
	})
}

// Guards, when replies are lost, against the use of taken rights before the write
// is confirmed, and against rights that are used here while they are given away.
func TestWriteReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, m := range []entryfakes.Mode{entryfakes.LoseReply, entryfakes.DelayCommit} {
			c := newCluster(40)
			a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
			waitForFloors()
			a.SetWaiting("t", 30)
			time.Sleep(100 * time.Millisecond)
			a.SetWaiting("t", 0)
			c.platform.SetMode(m)
			b.SetWaiting("t", 30)
			// Host a moves rights to b or gives them back, with unknown outcome.
			time.Sleep(4 * time.Second)
			used := a.acquireUpTo(t, 40) + b.acquireUpTo(t, 40)
			assert.Assert(t, used <= 40, "%d in use", used)
			c.platform.ApplyDelayed()
			c.platform.SetMode(entryfakes.Up)
			time.Sleep(2 * time.Second)
			used += a.acquireUpTo(t, 40) + b.acquireUpTo(t, 40)
			assert.Equal(t, used, 40)
		}
	})
}

// Guards against a platform outage that stops work within the rights held, and
// against a host that starts work without rights during an outage.
func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a := c.startHost(t, "a", 1)
		waitForFloors()
		c.platform.SetMode(entryfakes.Down)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, a.acquireUpTo(t, 40), 10)
		b := c.startHost(t, "b", 2)
		time.Sleep(time.Minute)
		err := b.Acquire(t.Context(), "t", 1)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonTeamLimit)
		assert.Assert(t, fault.IsNotRun(err))
	})
}

// Guards against a slow platform that delays the answer to a request.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a := c.startHost(t, "a", 1)
		waitForFloors()
		c.platform.SetCommitDelay(1900 * time.Millisecond)
		a.SetWaiting("t", 40)
		time.Sleep(time.Second)
		startedAt := time.Now()
		assert.Equal(t, a.acquireUpTo(t, 40), 10)
		assert.Equal(t, time.Since(startedAt), time.Duration(0))
	})
}

// Guards against a holder that was paused or cut off beyond its hold term and
// then uses rights that have been reclaimed meanwhile.
func TestPausedHolderCannotUseReclaimedRights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		a.node.rightsBlocked.Store(true)
		for range 12 {
			c.platform.renewMembers("b")
			time.Sleep(10 * time.Second)
		}
		assert.Equal(t, c.row(t).HoldingOf(holder("a", 1)).Requests, 0)
		b.SetWaiting("t", 40)
		time.Sleep(time.Second)
		assert.Equal(t, b.acquireUpTo(t, 40), 40)
		c.platform.SetMode(entryfakes.Down)
		a.node.rightsBlocked.Store(false)
		err := a.Acquire(t.Context(), "t", 1)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonPaused)
		c.platform.SetMode(entryfakes.Up)
		time.Sleep(3 * time.Second)
		assert.Equal(t, a.acquireUpTo(t, 40), 0)
	})
}

// Guards against rights of an ended process that are reclaimed too early, or
// never, when its host is restarted.
func TestRestartUnderSameName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		a.acquireUpTo(t, 5)
		a.stop(t)
		a = c.startHost(t, "a", 3)
		b.SetWaiting("t", 40)
		time.Sleep(longestRequest - time.Second)
		assert.Assert(t, a.acquireUpTo(t, 40)+b.acquireUpTo(t, 40) <= 35)
		time.Sleep(2*longestRequest + 5*time.Second)
		assert.Equal(t, c.row(t).Orphaned == nil, true)
	})
}

// Guards against rights that count for the whole hold term although an operator
// declared their host as ended or the host deleted its member row.
func TestEndedHostIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		a.stop(t)
		c.platform.deleteMember("a")
		b.SetWaiting("t", 40)
		time.Sleep(longestRequest - time.Second)
		assert.Equal(t, b.acquireUpTo(t, 40), 35)
		time.Sleep(longestRequest + 2*longestRequest)
		assert.Equal(t, b.acquireUpTo(t, 40), 5)
	})
}

// Guards against idle rights that stay held beyond a lowered limit, and against
// rights in use that are reused instead of being given back.
func TestLimitLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a, b := c.startHost(t, "a", 1), c.startHost(t, "b", 2)
		waitForFloors()
		a.SetWaiting("t", 10)
		b.SetWaiting("t", 10)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, a.acquireUpTo(t, 10), 10)
		assert.Equal(t, b.acquireUpTo(t, 10), 10)
		a.SetWaiting("t", 0)
		b.SetWaiting("t", 0)
		c.setLimit(15)
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.row(t).Sum(), 20)
		a.Release("t", 8)
		got := a.acquireUpTo(t, 40) + b.acquireUpTo(t, 40)
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.row(t).Sum() <= 15)
		got += a.acquireUpTo(t, 40) + b.acquireUpTo(t, 40)
		assert.Equal(t, got, 3)
	})
}

// Guards against rights that a host still holds after it was drained.
func TestDrainGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(40)
		a := c.startHost(t, "a", 1)
		waitForFloors()
		assert.Equal(t, c.row(t).Sum(), 10)
		assert.NilError(t, a.kernel.Drain(t.Context()))
		assert.Equal(t, c.row(t).Sum(), 0)
	})
}
