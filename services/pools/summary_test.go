package pools

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

// countingSummaries counts the summaries that find room.
type countingSummaries struct {
	services.PoolSummaries
	count int
	full  bool
}

func (s *countingSummaries) PublishSummary(services.PublishedSummary) bool {
	if s.full {
		return false
	}
	s.count++
	return true
}

// Guards against a summary for each step, one that is lost because the ring was full, and
// one where early refusal is off.
func TestSummaryOncePerRenewal(t *testing.T) {
	now := time.Unix(0, 0)
	summaries := &countingSummaries{full: true}
	s := New(Settings{PublishSummaries: true}, func() time.Time { return now })
	s.summaries, s.meters = summaries, newMeters(tally.NoopScope)
	p := newPlanner(s)
	m := &managedPool{name: testPool, plan: poolplan.New(1, now, 0, s.settings.Params)}
	m.ownership = services.PoolOwnership{Pool: testPool, RenewedAt: now, RenewalVersion: 7}
	steps := func() {
		for range 20 {
			p.now = now
			p.publishSummary(m)
			now = now.Add(ownership.RenewalInterval / 20)
		}
	}
	steps()
	assert.Equal(t, summaries.count, 0)
	summaries.full = false
	steps()
	assert.Equal(t, summaries.count, 1)
	m.ownership.RenewedAt, m.ownership.RenewalVersion = now, 8
	steps()
	assert.Equal(t, summaries.count, 2)
	s.settings.PublishSummaries = false
	m.ownership.RenewalVersion = 9
	steps()
	assert.Equal(t, summaries.count, 2)
}
