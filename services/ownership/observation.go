package ownership

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// summariesRingCapacity is the number of summaries that wait for a round: one for each of
// 65 pools, and as many again for a round that is late.
const summariesRingCapacity = 130

// observation is the state of an owner record at a read.
type observation struct {
	version      int64
	term         int
	holder       string
	unchangedFor time.Duration
	readAt       time.Time
	summary      *waitestimate.Summary
}

// publishObservations publishes the observations for SilentOwner and ObservedSummary.
func (s *Service) publishObservations(now time.Time) {
	observations := make(map[string]observation, len(s.pools))
	for name, p := range s.pools {
		observations[name] = observation{p.version, p.record.Term, p.record.Holder, p.unchangedFor, now, p.observed}
	}
	s.observations.Store(&observations)
}

// SilentOwner implements services.Ownership.
func (s *Service) SilentOwner(pool string) int64 {
	o := (*s.observations.Load())[pool]
	if o.unchangedFor+s.clock().Sub(o.readAt) < ownership.SilentAfter(s.storeHealth.ResponseTime()) {
		return 0
	}
	return o.version
}

// OwnerTerm implements services.Ownership.
func (s *Service) OwnerTerm(pool string) int { return (*s.observations.Load())[pool].term }

// ObservedSummary implements services.PoolSummaries. The age is measured on this host's
// clock from the read of the record, because clocks of hosts may differ.
func (s *Service) ObservedSummary(pool string) services.ObservedSummary {
	o := (*s.observations.Load())[pool]
	observed := services.ObservedSummary{Summary: o.summary, Holder: o.holder, Term: o.term}
	if o.summary != nil {
		observed.Age = s.clock().Sub(o.summary.At)
	}
	return observed
}

// observe takes the summary from a record that was read. The record may be as old as the
// read before, which did not show it. If that is long ago, or did not include the pool,
// nothing says how old it is. Nor does anything after a silence of the owner: the store may
// have carried out a renewal seconds after it was sent, which its age does not include.
func (s *Service) observe(p *pool) {
	p.observed = nil
	silent := p.unchangedFor >= ownership.SilentAfter(s.storeHealth.ResponseTime())
	if p.recordRead && !silent && s.clock().Sub(s.lastReadAt) <= maxReadGap {
		p.observeAsOf(s.lastReadAt)
	}
}

// observeAsOf takes the summary from a record that was written at the given time or later.
func (p *pool) observeAsOf(writtenAfter time.Time) {
	p.observed = nil
	if !p.record.Released {
		p.observed = p.record.Summary.Summary(writtenAfter)
	}
}

// PublishSummary implements services.PoolSummaries.
func (s *Service) PublishSummary(published services.PublishedSummary) bool {
	return s.summaries.Offer(published)
}

// takeSummaries takes the summaries that other duties have published.
func (s *Service) takeSummaries() {
	for {
		select {
		case published := <-s.summaries.C():
			p := s.pools[published.Ownership.Pool]
			if p != nil && p.ownership != nil && p.ownership.Term == published.Ownership.Term {
				p.summary = published.Summary
			}
		default:
			return
		}
	}
}

// summaryRecord returns what the next renewal carries; nil if there is no recent summary.
func (p *pool) summaryRecord(now time.Time) *jobrecord.SummaryRecord {
	if p.summary == nil || now.Sub(p.summary.At) > waitestimate.MaxSummaryAge {
		return nil
	}
	return jobrecord.NewSummaryRecord(p.summary, now.Sub(p.summary.At))
}
