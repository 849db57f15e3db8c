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
		host := Host{Name: rapid.String().Draw(t, "host"), Power: rapid.Float64Range(0, 2).Draw(t, "power"), Owned: rapid.IntRange(0, 5).Draw(t, "owned"), Response: time.Duration(rapid.IntRange(0, 1000).Draw(t, "response")) * time.Millisecond}
		unchanged := time.Duration(rapid.Int64Range(0, int64(TakeoverAfter(host.Response))-1).Draw(t, "unchanged"))
		ok, _ := Claim(rapid.String().Draw(t, "pool"), Record{Holder: "other", Unchanged: unchanged}, host)
		assert.Assert(t, !ok)
	})
}

// Guards against a pool that stays without an owner: every host claims it in
// the end, and one that owns less claims it sooner.
func TestSilentPoolIsClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), Power: rapid.Float64Range(0, 2).Draw(t, "power"), Owned: rapid.IntRange(0, 5).Draw(t, "owned")}
		pool := rapid.String().Draw(t, "pool")
		ok, _ := Claim(pool, Record{Holder: "other", Unchanged: TakeoverAfter(0) + silentSpread.delay(pool, host)}, host)
		assert.Assert(t, ok)
		loaded := host
		loaded.Owned++
		assert.Assert(t, silentSpread.delay(pool, host) < silentSpread.delay(pool, loaded))
	})
}

// Guards against the seconds for which pools had no owner after all hosts had
// lost power, although their owners were back.
func TestRestartedHostClaimsItsPoolsAtOnce(t *testing.T) {
	ok, reason := Claim("pool", Record{Holder: "host", Predecessor: true}, Host{Name: "host", Owned: 3})
	assert.Assert(t, ok)
	assert.Equal(t, reason, "an earlier process of this host owns it")
}

// Guards against a busy pool on the host with the least processor time: at the
// start, a strong host takes two pools before a weak one takes its first.
func TestStrongHostsClaimFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.String().Draw(t, "pool")
		weak := Host{Name: rapid.String().Draw(t, "weak"), Power: 0.192}
		strong := Host{Name: rapid.String().Draw(t, "strong"), Power: 0.8, Owned: 2}
		free := firstSpread.delay(pool, strong)
		claims, _ := Claim(pool, Record{Absent: true, Free: free}, weak)
		assert.Assert(t, !claims)
		claims, _ = Claim(pool, Record{Absent: true, Free: free}, strong)
		assert.Assert(t, claims)
	})
}

// Guards against a second without an owner each time that hosts are stopped in
// turn: a released pool is claimed within half a second by a host that owns one.
func TestReleasedPoolIsClaimedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := Host{Name: rapid.String().Draw(t, "host"), Power: rapid.Float64Range(0.1, 2).Draw(t, "power"), Owned: 1}
		host.Strongest = host.Power
		ok, _ := Claim(rapid.String().Draw(t, "pool"), Record{Released: true, Free: 500 * time.Millisecond}, host)
		assert.Assert(t, ok)
	})
}

// Guards against hosts that take pools from each other because a slow store
// holds up renewals: with answers after 0.7 s a record changes every 1.9 s.
func TestSlowStoreIsNotASilentOwner(t *testing.T) {
	const response = 700 * time.Millisecond
	between := RenewEvery + 2*response
	ok, _ := Claim("pool", Record{Holder: "other", Unchanged: between}, Host{Name: "host", Power: 1, Response: response})
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
		weak := Host{Name: rapid.String().Draw(t, "weak"), Power: 0.192, Strongest: 0.8}
		strong := Host{Name: rapid.String().Draw(t, "strong"), Power: 0.8, Strongest: 0.8, Owned: 1}
		assert.Assert(t, releasedSpread.delay(pool, weak) > releasedSpread.delay(pool, strong)+lookedLater)
	})
}
