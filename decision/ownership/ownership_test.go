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
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0, 2).Draw(t, "power"), OwnedPools: rapid.IntRange(0, 5).Draw(t, "owned"), StoreResponse: time.Duration(rapid.IntRange(0, 1000).Draw(t, "response")) * time.Millisecond}
		unchanged := time.Duration(rapid.Int64Range(0, int64(TakeoverAfter(host.StoreResponse))-1).Draw(t, "unchanged"))
		ok, _ := Claim(rapid.String().Draw(t, "pool"), Record{Holder: "other", UnchangedFor: unchanged}, host)
		assert.Assert(t, !ok)
	})
}

// Guards against a pool that stays without an owner: every host claims it in
// the end, and one that owns less claims it sooner.
func TestSilentPoolIsClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0, 2).Draw(t, "power"), OwnedPools: rapid.IntRange(0, 5).Draw(t, "owned")}
		pool := rapid.String().Draw(t, "pool")
		ok, _ := Claim(pool, Record{Holder: "other", UnchangedFor: TakeoverAfter(0) + takeoverDelays.delay(pool, host)}, host)
		assert.Assert(t, ok)
		loaded := host
		loaded.OwnedPools++
		assert.Assert(t, takeoverDelays.delay(pool, host) < takeoverDelays.delay(pool, loaded))
	})
}

// Guards against the seconds for which pools had no owner after all hosts had
// lost power, although their owners were back.
func TestRestartedHostClaimsItsPoolsAtOnce(t *testing.T) {
	ok, reason := Claim("pool", Record{Holder: "host", OwnedByPredecessor: true}, Host{Name: "host", OwnedPools: 3})
	assert.Assert(t, ok)
	assert.Equal(t, reason, "an earlier process of this host owns it")
}

// Guards against a busy pool on the host with the least processor time: at the
// start, a strong host takes two pools before a weak one takes its first.
func TestStrongHostsClaimFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.String().Draw(t, "pool")
		weak := Host{Name: rapid.String().Draw(t, "weak"), CPUShare: 0.192}
		strong := Host{Name: rapid.String().Draw(t, "strong"), CPUShare: 0.8, OwnedPools: 2}
		free := firstClaimDelays.delay(pool, strong)
		claims, _ := Claim(pool, Record{Absent: true, OwnerlessFor: free}, weak)
		assert.Assert(t, !claims)
		claims, _ = Claim(pool, Record{Absent: true, OwnerlessFor: free}, strong)
		assert.Assert(t, claims)
	})
}

// Guards against a second without an owner each time that hosts are stopped in
// turn: a released pool is claimed within half a second by a host that owns one.
func TestReleasedPoolIsClaimedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), CPUShare: rapid.Float64Range(0.1, 2).Draw(t, "power"), OwnedPools: 1}
		host.LargestCPUShare = host.CPUShare
		ok, _ := Claim(rapid.String().Draw(t, "pool"), Record{Released: true, OwnerlessFor: 500 * time.Millisecond}, host)
		assert.Assert(t, ok)
	})
}

// Guards against hosts that take pools from each other because a slow store
// holds up renewals: with answers after 0.7 s a record changes every 1.9 s.
func TestSlowStoreIsNotASilentOwner(t *testing.T) {
	const response = 700 * time.Millisecond
	between := RenewEvery + 2*response
	ok, _ := Claim("pool", Record{Holder: "other", UnchangedFor: between}, Host{Name: "host", CPUShare: 1, StoreResponse: response})
	assert.Assert(t, !ok)
	assert.Assert(t, between < SilentAfter(response))
}

// Guards against a busy pool that ends up on the host with the least processor
// time when hosts are stopped in turn: a host that looks 200 ms later than a weak
// one still claims before it.
func TestReleasedPoolGoesToStrongHost(t *testing.T) {
	const lookedLater = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.String().Draw(t, "pool")
		weak := Host{Name: rapid.String().Draw(t, "weak"), CPUShare: 0.192, LargestCPUShare: 0.8}
		strong := Host{Name: rapid.String().Draw(t, "strong"), CPUShare: 0.8, LargestCPUShare: 0.8, OwnedPools: 1}
		assert.Assert(t, releasedDelays.delay(pool, weak) > releasedDelays.delay(pool, strong)+lookedLater)
	})
}
