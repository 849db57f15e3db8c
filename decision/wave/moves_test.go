package wave

import (
	"testing"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// TestRebalanceIsBounded guards against moves beyond the number under way when
// a second entry host decides on the ledger that a first one left, and against
// moves without regard to the budget.
func TestRebalanceIsBounded(t *testing.T) {
	b := cluster(24, document.Pool{Spare: true, Elastic: true, MaxUnavailable: 24})
	pools := b.Document.Sections["s"].Pools
	pools = append(pools, document.Pool{Name: "b", Kind: fleet.KindWorker, Elastic: true, MaxUnavailable: 1})
	b.Document = &document.Document{Sections: map[string]document.Section{"s": {Pools: pools}}}
	demand := map[string]float64{"b": 6}
	p := moveParams
	p.MaxUnderWay = 3
	d := budget.NewDraft(b)
	granted := Rebalance(d, demand, p).Granted
	assert.Equal(t, len(granted), 3)
	b.Ledger = d.Outcome().Ledger
	d = budget.NewDraft(b)
	assert.Equal(t, len(Rebalance(d, demand, p).Granted), 0, "%v", d.HostsInLedger())
	assert.Equal(t, d.ElasticPools()[1].HostCount, 3, "hosts on their way count for the receiver")

	b.Ledger = &budget.Ledger{}
	pools[0].MaxUnavailable = 1
	round := Rebalance(budget.NewDraft(b), demand, p)
	assert.Equal(t, len(round.Granted), 1)
	assert.Equal(t, round.Refusal.Bound, budget.BoundPool)
}
