package pools

import (
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/services"
)

// summaryDelay is the time from a renewal of the ownership to the summary for the next
// one, so that the summary is recent when it is written. A step follows within 200 ms.
const summaryDelay = ownership.RenewalInterval / 2

// publishSummary hands over the pool's summary once for each renewal, which carries it. A
// summary looks at all tasks of the pool, which is too much for each step.
func (p *planner) publishSummary(m *managedPool) {
	o := m.ownership
	if !p.s.settings.PublishSummaries || m.summarizedRenewal == o.RenewalVersion || p.now.Sub(o.RenewedAt) < summaryDelay {
		return
	}
	start := p.s.clock()
	summary := m.plan.Summary(p.now)
	p.s.meters.summaryTime.RecordDuration(p.s.clock().Sub(start))
	if p.s.summaries.PublishSummary(services.PublishedSummary{Ownership: o, Summary: summary}) {
		m.summarizedRenewal = o.RenewalVersion
	}
}

// countOutcomes counts the ends of jobs that were accepted with an estimate.
func (p *planner) countOutcomes(m *managedPool) {
	for outcome, n := range m.plan.TakeOutcomes() {
		tags := map[string]string{"estimate": string(outcome.Estimate), "outcome": string(outcome.Actual)}
		p.s.meters.eventScope.Tagged(tags).Counter("estimated_jobs_total").Inc(int64(n))
	}
}
