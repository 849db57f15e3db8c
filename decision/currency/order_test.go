package currency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new member that is never admitted because it asks the other
// members in turn and never the one whose statements they always relay in time.
func TestMemberWithRelayedStatementsIsAsked(t *testing.T) {
	const (
		others = 5
		period = 400 * time.Millisecond
		relay  = 100 * time.Millisecond
	)
	order := NewPeerSelector(rand.New(rand.NewPCG(1, 2)))
	reportedAsOf := make(map[string]time.Time)
	lastAsked := make(map[string]time.Time)
	for turn := range 100 {
		now := epoch.Add(time.Duration(turn) * period)
		reportedAsOf["relayed"] = now.Add(-relay)
		candidates := []Candidate{{"relayed", reportedAsOf["relayed"], true}}
		for i := range others - 1 {
			name := fmt.Sprintf("asked-%d", i)
			candidates = append(candidates, Candidate{name, reportedAsOf[name], false})
		}
		next := order.Next(now, nil, candidates, "", ReaderNotUrgent)
		reportedAsOf[next], lastAsked[next] = now, now
		if turn < others {
			continue
		}
		for _, c := range candidates {
			assert.Assert(t, now.Sub(lastAsked[c.Address]) <= period*others, "turn %d: %s was not asked", turn, c.Address)
		}
	}
}
