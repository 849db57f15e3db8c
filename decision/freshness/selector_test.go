package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new member that is never admitted because it asks the other
// members in turn and never the one whose self-reports they always relay in
// time.
func TestMemberWithRelayedSelfReportsIsAsked(t *testing.T) {
	const (
		otherMembers = 5
		period       = 400 * time.Millisecond
		relay        = 100 * time.Millisecond
	)
	selector := NewPeerSelector(rand.New(rand.NewPCG(1, 2)))
	reportedAsOf := make(map[string]time.Time)
	lastAsked := make(map[string]time.Time)
	for round := range 100 {
		now := epoch.Add(time.Duration(round) * period)
		reportedAsOf["relayed"] = now.Add(-relay)
		candidates := []Candidate{{"relayed", reportedAsOf["relayed"], true}}
		for i := range otherMembers - 1 {
			name := fmt.Sprintf("asked-%d", i)
			candidates = append(candidates, Candidate{name, reportedAsOf[name], false})
		}
		next := selector.Next(now, nil, candidates, "", ReaderNotUrgent)
		reportedAsOf[next], lastAsked[next] = now, now
		if round < otherMembers {
			continue
		}
		for _, c := range candidates {
			assert.Assert(t, now.Sub(lastAsked[c.Address]) <= period*otherMembers, "round %d: %s was not asked", round, c.Address)
		}
	}
}
