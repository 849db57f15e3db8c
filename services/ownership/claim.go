package ownership

import (
	"context"
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// claim takes a pool over if it is this host's turn.
func (s *Service) claim(ctx context.Context, p *pool) {
	if !p.known || p.tenure != nil {
		return
	}
	record := ownership.Record{
		Holder:      p.record.Holder,
		Predecessor: p.record.Holder == s.settings.Host && p.record.Incarnation != s.settings.Incarnation && !p.record.Released,
		Absent:      p.version == 0,
		Released:    p.record.Released,
		Unchanged:   p.unchanged,
		Free:        p.free,
	}
	ok, reason := ownership.Claim(p.name, record, s.host())
	if !ok {
		return
	}
	next := jobrecord.OwnerRecord{Holder: s.settings.Host, Incarnation: s.settings.Incarnation, Term: p.record.Term + 1}
	p.claimedAt = s.clock()
	result, err := s.commit(ctx, p, next, true)
	log := s.log.With().Str("pool", p.name).Int("term", next.Term).Str("reason", reason).Str("from", p.record.Holder).Dur("unchanged", p.unchanged).Logger()
	switch {
	case err != nil:
		log.Warn().Err(err).Msg("claim failed")
	case !result.Committed:
		log.Info().Msg("another host was first")
		s.learnCurrent(p, result.Current)
		p.unchanged, p.free = 0, 0
	default:
		log.Info().Int64("fence", result.Version).Msg("pool taken over")
		s.take(p, next, result.Version)
	}
}

// take notes that a claim was carried out at version.
func (s *Service) take(p *pool, record jobrecord.OwnerRecord, version int64) {
	p.record, p.version = record, version
	p.renewAt = p.claimedAt.Add(ownership.RenewEvery)
	p.tenure = &services.Tenure{
		Pool: p.name, Term: record.Term, Fence: version, RenewedAt: p.claimedAt, ClaimedAt: p.claimedAt, TakenAt: version,
		Condition: services.RecordCondition{RecordKey: jobrecord.Term(p.name), Version: version},
	}
	s.publish()
}

func (s *Service) host() ownership.Host {
	return ownership.Host{Name: s.settings.Host, Power: s.settings.Power, Owned: len(s.Tenures())}
}

// commit writes the owner record, and the term record when the owner changes.
func (s *Service) commit(ctx context.Context, p *pool, next jobrecord.OwnerRecord, takeover bool) (services.RecordCommit, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return services.RecordCommit{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode owner", p.name, "%w", err)
	}
	key := jobrecord.Owner(p.name)
	tx := services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: p.version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: value}},
	}
	if takeover {
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: jobrecord.Term(p.name), Value: value})
	}
	return s.records.Commit(ctx, tx)
}

// learnCurrent takes in the record that made a condition fail.
func (s *Service) learnCurrent(p *pool, current []services.Record) {
	for i := range current {
		if r := &current[i]; r.RecordKey == jobrecord.Owner(p.name) {
			s.learn(p, r)
		}
	}
}

// renew shows that this process is alive.
func (s *Service) renew(ctx context.Context, p *pool) {
	now := s.clock()
	if now.Before(p.renewAt) {
		return
	}
	next := p.record
	next.Renewals++
	result, err := s.commit(ctx, p, next, false)
	switch {
	case err != nil:
		s.log.Debug().Err(err).Str("pool", p.name).Dur("age", now.Sub(p.tenure.RenewedAt)).Msg("renewal failed")
	case result.Committed:
		p.record, p.version = next, result.Version
		s.renewed(p, now)
	default:
		// An earlier renewal without an answer may have been carried out.
		s.learnCurrent(p, result.Current)
	}
}

func (s *Service) renewed(p *pool, sent time.Time) {
	p.renewAt = sent.Add(ownership.RenewEvery)
	p.unchanged = 0
	next := *p.tenure
	next.RenewedAt = sent
	p.tenure = &next
	s.publish()
}

// release gives all pools up.
func (s *Service) release(ctx context.Context) {
	for _, p := range s.pools {
		if p.tenure == nil {
			continue
		}
		next := p.record
		next.Released = true
		result, err := s.commit(ctx, p, next, false)
		if err != nil {
			s.log.Warn().Err(err).Str("pool", p.name).Msg("release failed")
			continue
		}
		s.log.Info().Str("pool", p.name).Int("term", p.tenure.Term).Bool("committed", result.Committed).Msg("pool released")
		p.tenure = nil
		s.publish()
	}
}
