package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

const stalenessBound = 3 * time.Second

// startMany starts n hosts 53 ms apart, so that their exchanges do not coincide.
func (c *cluster) startMany(n int, zone string) {
	for i := range n {
		c.start(fmt.Sprintf("%s-%d", zone, i), zone)
		time.Sleep(53 * time.Millisecond)
	}
}

// maxStaleness observes all hosts for the duration of watch and returns the
// largest staleness of a replica.
func (c *cluster) maxStaleness(watch time.Duration) time.Duration {
	var worst time.Duration
	for range watch / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		for _, h := range c.hosts {
			worst = max(worst, h.staleness())
		}
	}
	return worst
}

// Guards against reads of the platform that grow with the hosts of a zone,
// and against replicas that get too stale on the hosts that do not read.
func TestReadsDoNotGrowWithHosts(t *testing.T) {
	const seconds = 40
	rates := map[int]float64{}
	for _, n := range []int{1, 4, 8} {
		inBubble(t, func(c *cluster) {
			c.startMany(n, "klang")
			time.Sleep(20 * time.Second)
			before := c.table.readCount()
			worst := c.maxStaleness(seconds * time.Second)
			rates[n] = float64(c.table.readCount()-before) / seconds
			t.Logf("%d hosts: %.2f reads/s, maximum staleness %v", n, rates[n], worst)
			assert.Assert(t, worst < stalenessBound, "%d hosts: the maximum staleness is %v; want less than %v", n, worst, stalenessBound)
		})
	}
	for n, rate := range rates {
		assert.Assert(t, rate <= 1.25, "%d hosts: %.2f reads of the platform per second; want at most 1.25", n, rate)
	}
}

// Guards against keyed work that stops because of a platform outage alone:
// the hosts must keep each other's replicas fresh.
func TestReplicasStayFreshInPlatformOutage(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(3, "klang")
		c.startMany(3, "shah-alam")
		c.startMany(2, "penang")
		time.Sleep(20 * time.Second)
		_, err := c.hosts[0].change("c1", "section/a", 0)
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		c.table.setDown(true)
		worst := c.maxStaleness(90 * time.Second)
		t.Logf("maximum staleness %v", worst)
		assert.Assert(t, worst < stalenessBound, "the maximum staleness is %v; want less than %v", worst, stalenessBound)
	})
}

// Guards against an accepted change that is not in force on all hosts within
// 4 s, or that a host loses again.
func TestChangeReachesAll(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(4, "klang")
		c.startMany(4, "penang")
		time.Sleep(20 * time.Second)
		result, err := c.hosts[3].change("c1", "section/a", 0)
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		for _, h := range c.hosts {
			assert.Equal(t, h.revision(), result.Revision, "%s", h.address)
		}
	})
}

// Guards against a partitioned host that continues keyed work: it may lack a
// withdrawal that the others accepted.
func TestPartitionedReplicaBecomesStale(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(3, "klang")
		time.Sleep(20 * time.Second)
		isolated := c.hosts[2]
		isolated.table.update(func(f *flakyTable) { f.disconnected = true })
		c.setSilent(isolated, true)
		time.Sleep(stalenessBound)
		at := isolated.state.FreshAsOf()
		_, err := c.hosts[0].change("c1", "section/a", 0)
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		assert.Equal(t, isolated.state.FreshAsOf(), at)
		c.setSilent(isolated, false)
		time.Sleep(4 * time.Second)
		assert.Equal(t, isolated.revision(), uint64(1))
		assert.Assert(t, isolated.staleness() < stalenessBound)
	})
}

// Guards against a replica that counts as fresh while a change may have been
// accepted: a host that lost the platform's reply must report the change in
// doubt until it knows the outcome.
func TestLostReplyKeepsDoubt(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(3, "klang")
		time.Sleep(20 * time.Second)
		sender := c.hosts[0]
		sender.table.update(func(f *flakyTable) { f.loseNextReply = true })
		done := make(chan error, 1)
		go func() {
			_, err := sender.change("c1", "section/a", 0)
			done <- err
		}()
		time.Sleep(time.Millisecond)
		c.table.setDown(true)
		time.Sleep(20 * time.Second)
		_, inDoubt := sender.state.Head()
		assert.Assert(t, inDoubt)
		for _, h := range c.hosts {
			assert.Assert(t, h.staleness() > 15*time.Second, "the replica of %s is only %v stale while a change is in doubt", h.address, h.staleness())
		}
		assert.Equal(t, fault.ReasonOf(<-done), fault.ReasonDeadline)
		c.table.setDown(false)
		sender.table.update(func(f *flakyTable) { f.disconnected = false })
		time.Sleep(4 * time.Second)
		_, inDoubt = sender.state.Head()
		assert.Assert(t, !inDoubt)
		for _, h := range c.hosts {
			assert.Equal(t, h.revision(), uint64(1))
			assert.Assert(t, h.staleness() < stalenessBound)
		}
		result, err := c.hosts[1].change("c1", "section/a", 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, result, services.ChangeResult{Revision: 1, Repeated: true})
	})
}

// Guards against a crashed member that keeps replicas stale after it was
// declared ended, and against replicas that count as fresh before that.
func TestCrashDuringOutage(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(4, "klang")
		time.Sleep(20 * time.Second)
		c.table.setDown(true)
		time.Sleep(5 * time.Second)
		crashed := c.hosts[3]
		identity := crashed.membership.Self()
		c.stop(crashed)
		time.Sleep(10 * time.Second)
		for _, h := range c.hosts {
			assert.Assert(t, h.staleness() > 9*time.Second)
		}
		assert.NilError(t, c.hosts[1].membership.DeclareIncarnationEnded(context.Background(), identity))
		time.Sleep(4 * time.Second)
		for _, h := range c.hosts {
			assert.Assert(t, h.staleness() < stalenessBound, "the replica of %s is %v stale; want less than %v", h.address, h.staleness(), stalenessBound)
		}
	})
}

// Guards against a graceful stop that makes the other hosts stale during
// an outage, and against a stopping host that accepts changes.
func TestGracefulStopDuringOutage(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(4, "klang")
		time.Sleep(20 * time.Second)
		c.table.setDown(true)
		time.Sleep(5 * time.Second)
		leaving := c.hosts[3]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, leaving.peers.Drain(ctx))
		_, err := leaving.change("c1", "section/a", 0)
		assert.Assert(t, err != nil)
		assert.Equal(t, fault.ReasonOf(leaving.membership.CheckMayAcceptChanges()), fault.ReasonDraining)
		c.stop(leaving)
		worst := c.maxStaleness(20 * time.Second)
		assert.Assert(t, worst < stalenessBound, "the maximum staleness is %v; want less than %v", worst, stalenessBound)
	})
}

// Guards against a change in doubt that uses up the time of a graceful stop,
// which other services need to end their requests.
func TestStopWithChangeInDoubt(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(2, "klang")
		time.Sleep(20 * time.Second)
		stopping := c.hosts[0]
		stopping.table.update(func(f *flakyTable) { f.loseNextReply = true })
		go stopping.change("c1", "section/a", 0)
		time.Sleep(time.Second)
		start := time.Now()
		assert.NilError(t, stopping.peers.Drain(context.Background()))
		assert.Equal(t, time.Since(start), departureTimeout)
		for _, s := range c.hosts[1].peers.Status() {
			assert.Assert(t, !s.Leaving)
		}
		stopping.table.update(func(f *flakyTable) { f.disconnected = false })
		time.Sleep(2 * time.Second)
		for _, s := range c.hosts[1].peers.Status() {
			assert.Assert(t, s.Leaving)
		}
	})
}

// Guards against a host that starts during a platform outage and refuses work
// until the platform is back, although its peers have the state.
func TestStartDuringOutage(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(3, "klang")
		time.Sleep(20 * time.Second)
		_, err := c.hosts[0].change("c1", "section/a", 0)
		assert.NilError(t, err)
		c.table.setDown(true)
		late := c.start("late", "klang", c.hosts[0].address)
		time.Sleep(5 * time.Second)
		assert.Equal(t, late.revision(), uint64(1))
		assert.Assert(t, late.staleness() < stalenessBound, "the replica is %v stale; want less than %v", late.staleness(), stalenessBound)
		assert.Equal(t, fault.ReasonOf(late.membership.CheckMayAcceptChanges()), fault.ReasonMemberUnconfirmed)
		c.table.setDown(false)
		time.Sleep(20 * time.Second)
		assert.NilError(t, late.membership.CheckMayAcceptChanges())
		for _, h := range c.hosts {
			assert.Equal(t, len(h.membership.Members()), 4)
		}
	})
}

// Guards against replicas that get too stale in a zone with a crashed member
// when one more host, in particular the zone's reader, loses the platform.
func TestReaderLosesPlatform(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(5, "klang")
		time.Sleep(20 * time.Second)
		// Without self-reports of the crashed member only reads of the platform
		// keep a replica fresh.
		c.stop(c.hosts[4])
		for _, h := range c.hosts {
			h.table.update(func(f *flakyTable) { f.disconnected = true })
			worst := c.maxStaleness(20 * time.Second)
			assert.Assert(t, worst < stalenessBound, "with %s cut off from the platform the maximum staleness is %v; want less than %v", h.address, worst, stalenessBound)
			h.table.update(func(f *flakyTable) { f.disconnected = false })
			time.Sleep(15 * time.Second)
		}
	})
}

// Guards against a silent peer that delays the exchanges between the others.
func TestSilentPeer(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(5, "klang")
		time.Sleep(20 * time.Second)
		c.setSilent(c.hosts[4], true)
		silent := c.hosts[4]
		silent.table.update(func(f *flakyTable) { f.disconnected = true })
		c.hosts = c.hosts[:4]
		defer func() { c.hosts = append(c.hosts, silent) }()
		worst := c.maxStaleness(30 * time.Second)
		assert.Assert(t, worst < stalenessBound, "the maximum staleness is %v; want less than %v", worst, stalenessBound)
		start := time.Now()
		_, err := c.hosts[0].change("c1", "section/a", 0)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			assert.Equal(t, h.revision(), uint64(1), "%s does not have the change after %v", h.address, time.Since(start))
		}
	})
}

// Guards against a digest without a sender: it would add a member that never
// reports on itself, which would make all hosts stale.
func TestDigestWithoutSender(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startMany(2, "klang")
		time.Sleep(20 * time.Second)
		req := connect.NewRequest(&wirev1.ExchangeRequest{Digest: &wirev1.Digest{}})
		_, err := c.hosts[0].peers.peerClient(c.hosts[1].address).Exchange(context.Background(), req)
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
		c.table.setDown(true)
		time.Sleep(10 * time.Second)
		assert.Assert(t, c.hosts[1].staleness() < stalenessBound)
	})
}
