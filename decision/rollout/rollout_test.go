package rollout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/rollout"
)

const bound = 3500 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestInForceOnlyWhenConfirmedOrBoundPassed guards against reporting the
// withdrawal of a key as in force while a silent member may still accept the
// key.
func TestInForceOnlyWhenConfirmedOrBoundPassed(t *testing.T) {
	h := rollout.History{}.Add(7, start)
	members := []rollout.Member{{Name: "a", Revision: 7}, {Name: "b", Revision: 6, LastContactAt: start}}
	for _, c := range []struct {
		revision uint64
		after    time.Duration
		inForce  bool
		byBound  bool
	}{
		{6, 0, true, false},
		{7, 0, false, false},
		{7, bound, false, false},
		{7, bound + 1, true, true},
		{8, time.Hour, false, false},
	} {
		statuses, all := rollout.Decide(start.Add(c.after), c.revision, h, bound, members)
		assert.Equal(t, all, c.inForce, "revision %d after %v", c.revision, c.after)
		assert.Equal(t, statuses[1].ByBound, c.byBound)
	}
}

// TestHistoryNeverNamesATooEarlyTime guards against a bound that is measured
// from before the revision was accepted, also when arrivals were dropped.
func TestHistoryNeverNamesATooEarlyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h rollout.History
		accepted := map[uint64]time.Time{}
		now, last := start, uint64(0)
		for range rapid.IntRange(1, 600).Draw(t, "changes") {
			now = now.Add(time.Second)
			last++
			accepted[last] = now
			if rapid.IntRange(0, 2).Draw(t, "seen") > 0 {
				h = h.Add(last, now.Add(time.Millisecond))
			}
		}
		revision := rapid.Uint64Range(1, last+1).Draw(t, "revision")
		at, ok := h.AcceptedBy(revision)
		if ok {
			assert.Assert(t, !at.Before(accepted[revision]))
			assert.Assert(t, revision <= last)
		}
	})
}
