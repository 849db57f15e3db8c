package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against two hosts that take a pool from each other while its owner
// renews: a record that changes is never claimed.
func TestRenewedPoolIsNotClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0, 2).Draw(t, "power"), OwnedPoolCount: rapid.IntRange(0, 5).Draw(t, "owned"), StoreResponse: time.Duration(rapid.IntRange(0, 1000).Draw(t, "response")) * time.Millisecond}
		unchangedFor := time.Duration(rapid.Int64Range(0, int64(TakeoverAfter(host.StoreResponse))-1).Draw(t, "unchanged"))
		ok, _ := ShouldClaim(rapid.String().Draw(t, "pool"), Record{Holder: "other", UnchangedFor: unchangedFor}, host)
		assert.Assert(t, !ok)
	})
}

// Guards against a pool that stays without an owner: every host eventually
// claims it, and a host that owns fewer pools claims it sooner.
func TestSilentPoolIsClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0, 2).Draw(t, "power"), OwnedPoolCount: rapid.IntRange(0, 5).Draw(t, "owned")}
		pool := rapid.String().Draw(t, "pool")
		ok, _ := ShouldClaim(pool, Record{Holder: "other", UnchangedFor: TakeoverAfter(0) + takeoverDelays.delay(pool, host)}, host)
		assert.Assert(t, ok)
		loaded := host
		loaded.OwnedPoolCount++
		assert.Assert(t, takeoverDelays.delay(pool, host) < takeoverDelays.delay(pool, loaded))
	})
}

// Guards against pools without an owner for seconds after a power failure of all
// hosts, although their owners are back.
func TestRestartedHostClaimsItsPoolsAtOnce(t *testing.T) {
	ok, reason := ShouldClaim("pool", Record{Holder: "host", OwnedByPredecessor: true}, Host{Name: "host", OwnedPoolCount: 3})
	assert.Assert(t, ok)
	assert.Equal(t, reason, "an earlier process of this host owns it")
}

// Guards against a busy pool on the host with the least processor time: at the
// start, a host with much of it claims two pools before one with little claims
// its first.
func TestStrongHostsClaimFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.String().Draw(t, "pool")
		weak := Host{Name: rapid.String().Draw(t, "weak"), CPUShare: 0.192}
		strong := Host{Name: rapid.String().Draw(t, "strong"), CPUShare: 0.8, OwnedPoolCount: 2}
		ownerlessFor := firstClaimDelays.delay(pool, strong)
		claims, _ := ShouldClaim(pool, Record{Absent: true, OwnerlessFor: ownerlessFor}, weak)
		assert.Assert(t, !claims)
		claims, _ = ShouldClaim(pool, Record{Absent: true, OwnerlessFor: ownerlessFor}, strong)
		assert.Assert(t, claims)
	})
}

// Guards against a second without an owner whenever hosts are stopped in turn: a
// host that owns one pool claims a released one within half a second.
func TestReleasedPoolIsClaimedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0.1, 2).Draw(t, "power"), OwnedPoolCount: 1}
		host.LargestCPUShare = host.CPUShare
		ok, _ := ShouldClaim(rapid.String().Draw(t, "pool"), Record{Released: true, OwnerlessFor: 500 * time.Millisecond}, host)
		assert.Assert(t, ok)
	})
}

// Guards against hosts that take pools from each other because a slow store
// delays renewals: with a response time of 0.7 s a record changes every 1.9 s.
func TestSlowStoreIsNotASilentOwner(t *testing.T) {
	const response = 700 * time.Millisecond
	unchangedFor := RenewalInterval + 2*response
	ok, _ := ShouldClaim("pool", Record{Holder: "other", UnchangedFor: unchangedFor}, Host{Name: "host", CPUShare: 1, StoreResponse: response})
	assert.Assert(t, !ok)
	assert.Assert(t, unchangedFor < SilentAfter(response))
}

// Guards against a busy pool that ends up on the host with the least processor
// time when hosts are stopped in turn: a host with more of it claims first even
// if it reads the record 200 ms later.
func TestReleasedPoolGoesToStrongHost(t *testing.T) {
	const lookDelay = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.String().Draw(t, "pool")
		weak := Host{Name: rapid.String().Draw(t, "weak"), CPUShare: 0.192, LargestCPUShare: 0.8}
		strong := Host{Name: rapid.String().Draw(t, "strong"), CPUShare: 0.8, LargestCPUShare: 0.8, OwnedPoolCount: 1}
		assert.Assert(t, releasedDelays.delay(pool, weak) > releasedDelays.delay(pool, strong)+lookDelay)
	})
}

// Guards against small hosts that own most pools: they took them over while the
// large ones were away, and took them again at once after all hosts lost power; the
// links of two of them could not carry five pools (zpnn-plan-grown, trouble-2).
func TestSmallHostLeavesItsPoolsToLargerOnes(t *testing.T) {
	small := Host{Name: "small", CPUShare: 0.192, LargestCPUShare: 0.8}
	large := Host{Name: "large", CPUShare: 0.8, LargestCPUShare: 0.8}
	predecessor := Record{Holder: "small", OwnedByPredecessor: true}
	claims, _ := ShouldClaim("pool", predecessor, small)
	assert.Assert(t, !claims)
	predecessor.UnchangedFor = time.Minute
	claims, _ = ShouldClaim("pool", predecessor, small)
	assert.Assert(t, claims, "a pool that no larger host claims has no owner")
	claims, _ = ShouldClaim("pool", Record{Holder: "large", OwnedByPredecessor: true}, large)
	assert.Assert(t, claims)
	alone := Host{Name: "alone", CPUShare: 0.192}
	alone.LargestCPUShare = alone.CPUShare
	claims, _ = ShouldClaim("pool", Record{Holder: "alone", OwnedByPredecessor: true}, alone)
	assert.Assert(t, claims, "all hosts are of this size")
	// A second pool goes to another small host before this one claims it.
	busy := small
	busy.OwnedPoolCount = 1
	silent := Record{Holder: "gone", UnchangedFor: TakeoverAfter(0) + takeoverDelays.maxJitter + takeoverDelays.maxCPUPenalty}
	claims, _ = ShouldClaim("pool", silent, small)
	assert.Assert(t, claims)
	claims, _ = ShouldClaim("pool", silent, busy)
	assert.Assert(t, !claims)
}
