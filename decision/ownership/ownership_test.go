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
		host := Host{Name: rapid.String().Draw(t, "host"), Power: rapid.Float64Range(0, 2).Draw(t, "power"), Owned: rapid.IntRange(0, 5).Draw(t, "owned")}
		unchanged := time.Duration(rapid.Int64Range(0, int64(TakeoverAfter)-1).Draw(t, "unchanged"))
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
		ok, _ := Claim(pool, Record{Holder: "other", Unchanged: TakeoverAfter + Delay(pool, host)}, host)
		assert.Assert(t, ok)
		loaded := host
		loaded.Owned++
		assert.Assert(t, Delay(pool, host) < Delay(pool, loaded))
	})
}

// Guards against the seconds for which pools had no owner after all hosts had
// lost power, although their owners were back.
func TestRestartedHostClaimsItsPoolsAtOnce(t *testing.T) {
	ok, reason := Claim("pool", Record{Holder: "host", Predecessor: true}, Host{Name: "host", Owned: 3})
	assert.Assert(t, ok)
	assert.Equal(t, reason, "an earlier process of this host owns it")
}
