package rights_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Two hosts that both have more work than rights must not hand rights to and
// fro, because a right is of no use while it moves; a host below the floor must
// still be brought up to the equal part.
func TestYieldBeginsBelowTheFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := rights.Holder{Host: "a", Incarnation: 1}, rights.Holder{Host: "b", Incarnation: 1}
	ledger := rights.NewLedger(a, now)
	limit := rights.Limit{Rights: 40, Revision: 1}
	version, used := uint64(0), 0
	// sent balances with holdings of a and b while a uses 20 rights and both
	// have work for all rights of the team.
	sent := func(ofA, ofB int) int {
		version++
		row := rights.Row{Limit: limit}
		row, _ = row.Take(a, ofA)
		row, _ = row.Take(b, ofB)
		for i := range row.Holdings {
			if row.Holdings[i].Holder == b {
				row.Holdings[i].Wanted = 40
			}
		}
		ledger.Observe(team, version, row, now)
		for ; used < 20; used++ {
			assert.Equal(t, ledger.Acquire(now, team, 1), fault.Reason(""))
		}
		ledger.SetWaiting(now, team, 40)
		plan := ledger.Prepare(now, rights.Survey{
			Team: team, Version: version, Row: row, ReadStart: now, Limit: limit, Hosts: 2,
			Peers: []rights.Holder{b},
		})
		if plan.Cause != rights.CauseNone {
			ledger.Settle(plan, rights.Refused, 0, now)
		}
		return plan.Sent
	}
	assert.Equal(t, sent(24, 16), 0, "both above the floor of 5")
	assert.Equal(t, sent(35, 5), 0, "b at the floor")
	assert.Equal(t, sent(36, 4), 1, "b below the floor")
	assert.Equal(t, sent(35, 5), 15, "once begun, up to the equal part")
	assert.Equal(t, sent(20, 20), 0, "both at the equal part")
	assert.Equal(t, sent(24, 16), 0, "both above the floor again")
}
