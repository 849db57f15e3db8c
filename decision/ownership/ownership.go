// Package ownership decides which pools a process claims.
//
// Each pool has an owner record that its owner renews. A process claims a pool
// whose record is absent, released, or has not changed for a while. Claims are
// conditional on the record's version, so that of several claims one succeeds;
// the delays below only spread the pools over the processes.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of ownership.
const (
	// RenewEvery separates renewals.
	RenewEvery = 500 * time.Millisecond
	// takeoverAfter is how long a record stays unchanged before its pool is
	// claimed while the store answers at once. It covers two lost renewals.
	takeoverAfter = 1800 * time.Millisecond
	// silentAfter is the same before the owner counts as silent.
	silentAfter = time.Second
	// responseFactor is how many times that an answer of the store takes are added:
	// a renewal and the look at it each wait for one, and a look that finds no
	// change may have been under way before the renewal.
	responseFactor = 3
	// ExclusiveFor is how long after its last confirmed renewal an owner can be
	// sure to have no successor; the margin covers the way of an order.
	ExclusiveFor = takeoverAfter - 300*time.Millisecond
	// LeaseCap is when, after the last confirmed renewal, all leases end that an
	// owner grants. A successor waits that long for executors that it cannot
	// reach; a store that is away for longer ends all work.
	LeaseCap = 6 * time.Second
	// RenewalTimeout is how long an owner goes on without a confirmed renewal. The
	// fencing token stops it earlier wherever its successor has been heard; the
	// bound is for executors that the successor cannot reach. While the store is
	// away no work arrives, so that little is lost when it lasts longer.
	RenewalTimeout = 4500 * time.Millisecond
	// fullCPUShare is the processor share, in cores, from which on a host claims
	// without delay for want of power while no owner's is known.
	fullCPUShare = 0.8
)

// claimDelays holds the delays that spread the pools over the hosts.
type claimDelays struct {
	// perOwnedPool is added for each pool that the process owns already.
	perOwnedPool time.Duration
	// maxJitter is the largest delay drawn from the names of pool and host.
	maxJitter time.Duration
	// maxCPUPenalty is the largest delay of a host with less processor time than others.
	maxCPUPenalty time.Duration
}

var (
	// firstClaimDelays is for a pool that has never had an owner, when there is time
	// before work arrives.
	firstClaimDelays = claimDelays{perOwnedPool: 350 * time.Millisecond, maxJitter: 250 * time.Millisecond, maxCPUPenalty: 2 * time.Second}
	// takeoverDelays is for a pool whose owner is silent. Hosts look at the owner
	// records every 200 ms, and at different times.
	takeoverDelays = claimDelays{perOwnedPool: 220 * time.Millisecond, maxJitter: 200 * time.Millisecond, maxCPUPenalty: 800 * time.Millisecond}
	// releasedDelays is for a pool that was given up. Nothing runs the pool
	// meanwhile, so that the delays are short, but a host with a quarter of the
	// processor time waits for longer than hosts look apart.
	releasedDelays = claimDelays{perOwnedPool: 120 * time.Millisecond, maxJitter: 60 * time.Millisecond, maxCPUPenalty: 800 * time.Millisecond}
)

// TakeoverAfter returns how long a record stays unchanged before its pool is
// claimed, for a store that takes response for an answer.
func TakeoverAfter(response time.Duration) time.Duration {
	return takeoverAfter + responseFactor*response
}

// SilentAfter returns how long a record stays unchanged before its owner counts
// as silent.
func SilentAfter(response time.Duration) time.Duration { return silentAfter + responseFactor*response }

// Record is what is known of a pool's owner.
type Record struct {
	Holder string
	// OwnedBySelf tells that this process owns the pool.
	OwnedBySelf bool
	// OwnedByPredecessor tells that an earlier process of this host owns it. A host
	// runs one process at a time, so that the earlier one has ended.
	OwnedByPredecessor bool
	Absent             bool
	Released           bool
	// UnchangedFor is how long the record has been seen unchanged.
	UnchangedFor time.Duration
	// OwnerlessFor is how long the pool has been known to have no owner.
	OwnerlessFor time.Duration
}

// Host is the process that decides.
type Host struct {
	Name string
	// CPUShare is the processor share of the host, in cores.
	CPUShare   float64
	OwnedPools int
	// LargestCPUShare is the largest processor share of the owners that are known;
	// zero when there is none.
	LargestCPUShare float64
	// StoreResponse is how long the store takes for an answer.
	StoreResponse time.Duration
}

// Claim reports whether the host claims the pool, and why.
func Claim(pool string, r Record, h Host) (bool, string) {
	if r.OwnedBySelf {
		return false, ""
	}
	if r.OwnedByPredecessor {
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

// delay returns how long a host waits before it claims a pool that is free.
func (s claimDelays) delay(pool string, h Host) time.Duration {
	draw := float64(xxhash.Sum64String(pool+"\x00"+h.Name)%1024) / 1024
	full := fullCPUShare
	if h.LargestCPUShare > 0 {
		full = h.LargestCPUShare
	}
	weakness := max(0, full-h.CPUShare) / full
	return time.Duration(h.OwnedPools)*s.perOwnedPool +
		time.Duration(draw*float64(s.maxJitter)) +
		time.Duration(weakness*float64(s.maxCPUPenalty))
}
