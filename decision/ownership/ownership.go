// Package ownership decides which pools a process claims.
//
// Each pool has an owner record that its owner renews. A process claims a pool
// whose record is absent, released, or has not changed for a while. Claims are
// conditional on the record's version, so that only one of several concurrent
// claims succeeds; the delays below only distribute the pools over the processes.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of ownership.
const (
	// RenewalInterval is the interval between renewals of an owner record.
	RenewalInterval = 500 * time.Millisecond
	// takeoverAfter is how long a record stays unchanged before its pool is
	// claimed while the store answers at once. It covers two lost renewals.
	takeoverAfter = 1800 * time.Millisecond
	// silentAfter is how long a record stays unchanged before its owner counts
	// as silent while the store answers at once.
	silentAfter = time.Second
	// responseFactor is the number of store response times added to takeoverAfter
	// and silentAfter: a renewal and the read that observes it take one each, and
	// a read that finds no change may have started before the renewal.
	responseFactor = 3
	// ExclusiveFor is how long after its last confirmed renewal an owner certainly
	// has no successor; the margin covers the delivery of an order.
	ExclusiveFor = takeoverAfter - 300*time.Millisecond
	// LeaseCap is how long after the last confirmed renewal all leases that an
	// owner grants have ended. A successor waits that long for executors that it
	// cannot reach; a longer outage of the store ends all work.
	LeaseCap = 6 * time.Second
	// RenewalTimeout is how long an owner continues without a confirmed renewal.
	// The fencing token stops it earlier on every executor that its successor has
	// reached; the timeout is for the others. During an outage of the store no
	// work arrives, so little is lost if the outage exceeds the timeout.
	RenewalTimeout = 4500 * time.Millisecond
	// fullCPUShare is the processor share, in cores, from which a host claims
	// without a CPU penalty while no owner's share is known.
	fullCPUShare = 0.8
)

// claimDelays has the delays that distribute the pools over the hosts.
type claimDelays struct {
	// perOwnedPool is added for each pool that the process already owns.
	perOwnedPool time.Duration
	// maxJitter bounds the delay derived from a hash of the pool and host names.
	maxJitter time.Duration
	// maxCPUPenalty bounds the delay of a host with less processor time than
	// others.
	maxCPUPenalty time.Duration
}

var (
	// firstClaimDelays is for a pool that has never had an owner: there is time
	// before work arrives.
	firstClaimDelays = claimDelays{perOwnedPool: 350 * time.Millisecond, maxJitter: 250 * time.Millisecond, maxCPUPenalty: 2 * time.Second}
	// takeoverDelays is for a pool whose owner is silent. Hosts read the owner
	// records every 200 ms, and not at the same time.
	takeoverDelays = claimDelays{perOwnedPool: 220 * time.Millisecond, maxJitter: 200 * time.Millisecond, maxCPUPenalty: 800 * time.Millisecond}
	// releasedDelays is for a pool that its owner released. The delays are short,
	// because the pool has no owner meanwhile, but a host with a quarter of the
	// processor time of others waits for longer than their reads are apart.
	releasedDelays = claimDelays{perOwnedPool: 120 * time.Millisecond, maxJitter: 60 * time.Millisecond, maxCPUPenalty: 800 * time.Millisecond}
)

// TakeoverAfter returns how long a record stays unchanged before its pool is
// claimed, given the store's response time.
func TakeoverAfter(response time.Duration) time.Duration {
	return takeoverAfter + responseFactor*response
}

// SilentAfter returns how long a record stays unchanged before its owner counts
// as silent, given the store's response time.
func SilentAfter(response time.Duration) time.Duration { return silentAfter + responseFactor*response }

// Record is what is known of a pool's owner.
type Record struct {
	Holder string
	// OwnedBySelf is set if this process owns the pool.
	OwnedBySelf bool
	// OwnedByPredecessor is set if an earlier process of this host owns it. A
	// host runs one process at a time, so the earlier one has ended.
	OwnedByPredecessor bool
	Absent             bool
	Released           bool
	// UnchangedFor is how long the record has been observed unchanged.
	UnchangedFor time.Duration
	// OwnerlessFor is how long the pool has been known to have no owner.
	OwnerlessFor time.Duration
}

// Host describes the host whose process decides.
type Host struct {
	Name string
	// CPUShare is the processor share of the host, in cores.
	CPUShare       float64
	OwnedPoolCount int
	// LargestCPUShare is the largest processor share of the known owners; zero if
	// there is none.
	LargestCPUShare float64
	// StoreResponse is the store's response time.
	StoreResponse time.Duration
}

// ShouldClaim reports whether the host claims the pool, and why.
func ShouldClaim(pool string, r Record, h Host) (bool, string) {
	if r.OwnedBySelf {
		return false, ""
	}
	if r.OwnedByPredecessor && !h.isSmall() {
		return true, "an earlier process of this host owns it"
	}
	switch {
	case r.Absent:
		return r.OwnerlessFor >= firstClaimDelays.delay(pool, h), "no owner yet"
	case r.Released:
		return r.OwnerlessFor >= releasedDelays.delay(pool, h), "released"
	}
	return r.UnchangedFor >= TakeoverAfter(h.StoreResponse)+takeoverDelays.delay(pool, h), "owner is silent"
}

// smallDivisor is the divisor of the full processor share below which a host is
// small. Its link is as small as its processor share, and the pools that it owns
// may need more than both.
const smallDivisor = 2

// fullShare returns the processor share from which a host claims without a penalty.
func (h Host) fullShare() float64 {
	if h.LargestCPUShare > 0 {
		return h.LargestCPUShare
	}
	return fullCPUShare
}

// isSmall reports whether larger hosts should have the pools. A small host that
// took pools over while the others were away does not take them again at once
// after a restart, so that a larger one can. An unknown share counts as large.
func (h Host) isSmall() bool { return h.CPUShare > 0 && h.CPUShare*smallDivisor < h.fullShare() }

// perOwnedPoolOf returns the delay for each pool that the host already owns, which is
// longer by the factor that its processor share is smaller.
func (d claimDelays) perOwnedPoolOf(h Host) time.Duration {
	factor := 1.0
	if h.CPUShare > 0 {
		factor = max(h.fullShare()/h.CPUShare, 1)
	}
	return time.Duration(float64(d.perOwnedPool) * min(factor, maxShareFactor))
}

// maxShareFactor bounds the delay of very small hosts: a pool must get an owner when
// no other host is left.
const maxShareFactor = 8

// delay returns how long a host waits before it claims a pool that has no owner
// or a silent one.
func (d claimDelays) delay(pool string, h Host) time.Duration {
	jitter := float64(xxhash.Sum64String(pool+"\x00"+h.Name)%1024) / 1024
	shortfall := max(0, h.fullShare()-h.CPUShare) / h.fullShare()
	return time.Duration(h.OwnedPoolCount)*d.perOwnedPoolOf(h) +
		time.Duration(jitter*float64(d.maxJitter)) +
		time.Duration(shortfall*float64(d.maxCPUPenalty))
}
