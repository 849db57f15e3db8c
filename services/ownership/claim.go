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

// ownerWrite is a write of one owner record.
type ownerWrite struct {
	pool *pool
	next jobrecord.OwnerRecord
	// takeover is set if the owner changes.
	takeover bool
	reason   string
	commit   services.RecordCommit
	err      error
}

// writeAll performs the writes concurrently. It reports false if ctx ended first.
func (s *Service) writeAll(ctx context.Context, writes []*ownerWrite) bool {
	var calls []func(context.Context)
	for _, w := range writes {
		calls = append(calls, func(ctx context.Context) { w.commit, w.err = s.commit(ctx, w) })
	}
	return s.workers.RunAll(ctx, calls...)
}

// claimAll claims the pools whose claim delay for this host has passed.
func (s *Service) claimAll(ctx context.Context) {
	host := ownership.Host{Name: s.settings.Host, CPUShare: s.settings.CPUShare, OwnedPoolCount: len(s.OwnedPools()), LargestCPUShare: s.largestCPUShare(), StoreResponse: s.storeHealth.ResponseTime()}
	now := s.clock()
	var writes []*ownerWrite
	for _, p := range s.pools {
		if !p.recordRead || p.ownership != nil {
			continue
		}
		record := ownership.Record{
			Holder:             p.record.Holder,
			OwnedByPredecessor: p.record.Holder == s.settings.Host && p.record.Incarnation != s.settings.Incarnation && !p.record.Released,
			Absent:             p.version == 0,
			Released:           p.record.Released,
			UnchangedFor:       p.unchangedFor,
			OwnerlessFor:       p.ownerlessFor,
		}
		claims, reason := ownership.ShouldClaim(p.name, record, host)
		if !claims {
			continue
		}
		p.claimedAt = now
		// Counts the pool as owned when the next pools of this round are considered.
		host.OwnedPoolCount++
		next := jobrecord.OwnerRecord{Holder: s.settings.Host, Incarnation: s.settings.Incarnation, Term: p.record.Term + 1, CPUShare: s.settings.CPUShare, SharedParts: true}
		next.PoolParts = p.version > 0 && (p.record.PoolParts || !p.record.SharedParts)
		writes = append(writes, &ownerWrite{pool: p, next: next, takeover: true, reason: reason})
	}
	if !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		s.handleClaim(w)
	}
}

// largestCPUShare returns the largest processor share of this host and the known
// owners; zero if no owner's share is known.
func (s *Service) largestCPUShare() float64 {
	largest := 0.0
	for _, p := range s.pools {
		largest = max(largest, p.record.CPUShare)
	}
	if largest == 0 {
		return 0
	}
	return max(largest, s.settings.CPUShare)
}

// handleClaim handles the response to a claim.
func (s *Service) handleClaim(w *ownerWrite) {
	p := w.pool
	log := s.log.With().Str("pool", p.name).Int("term", w.next.Term).Str("reason", w.reason).Str("from", p.record.Holder).Dur("unchanged", p.unchangedFor).Logger()
	switch {
	case w.err != nil:
		log.Warn().Err(w.err).Msg("claim failed; its outcome shows at the next read")
	case !w.commit.Committed:
		log.Info().Msg("another host was first")
		s.applyConflict(p, w.commit.Current)
		p.unchangedFor, p.ownerlessFor = 0, 0
	default:
		log.Info().Int64("fence", w.commit.Version).Msg("pool taken over")
		replacedVersion := p.version
		s.startOwnership(p, w.next, w.commit.Version)
		p.ownership.ReplacedVersion, p.ownership.ReplacedSilentFor = replacedVersion, p.unchangedFor
		s.publishOwnedPools()
	}
}

// startOwnership starts the ownership of a claim that took effect at version.
func (s *Service) startOwnership(p *pool, record jobrecord.OwnerRecord, version int64) {
	p.record, p.version = record, version
	p.summary, p.observed = nil, nil
	p.nextRenewalAt = p.claimedAt.Add(ownership.RenewalInterval)
	p.ownership = &services.PoolOwnership{
		Pool: p.name, Term: record.Term, FencingToken: version, RenewedAt: p.claimedAt, ClaimedAt: p.claimedAt, AcquiredVersion: version,
		RenewalVersion: version, PoolParts: record.PoolParts,
		Condition: services.RecordCondition{RecordKey: jobrecord.TermKey(p.name), Version: version},
	}
}

// commit writes the owner record, and the term record when the owner changes.
func (s *Service) commit(ctx context.Context, w *ownerWrite) (services.RecordCommit, error) {
	value, err := json.Marshal(w.next)
	if err != nil {
		return services.RecordCommit{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode owner", w.pool.name, "%w", err)
	}
	key := jobrecord.OwnerKey(w.pool.name)
	tx := services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: w.pool.version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: value}},
	}
	if w.takeover {
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: jobrecord.TermKey(w.pool.name), Value: value})
	}
	return s.records.Commit(ctx, tx)
}

// applyConflict applies the owner record that made a condition fail.
func (s *Service) applyConflict(p *pool, current []services.Record) {
	for i := range current {
		if r := &current[i]; r.RecordKey == jobrecord.OwnerKey(p.name) {
			s.applyRecord(p, r)
		}
	}
}

// renewAll renews the owned pools that are due, which shows other processes that
// this one is alive.
func (s *Service) renewAll(ctx context.Context) {
	now := s.clock()
	var writes []*ownerWrite
	for _, p := range s.pools {
		if p.ownership == nil || now.Before(p.nextRenewalAt) {
			continue
		}
		next := p.record
		next.Renewals++
		next.Summary = p.summaryRecord(now)
		writes = append(writes, &ownerWrite{pool: p, next: next})
	}
	if !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		switch {
		case w.err != nil:
			s.log.Debug().Err(w.err).Str("pool", w.pool.name).Dur("age", now.Sub(w.pool.ownership.RenewedAt)).Msg("renewal failed; retrying")
		case w.commit.Committed:
			w.pool.record, w.pool.version = w.next, w.commit.Version
			w.pool.observeAsOf(now)
			s.handleRenewal(w.pool, now)
		default:
			// An earlier renewal without a response may have taken effect.
			s.applyConflict(w.pool, w.commit.Current)
		}
	}
}

func (s *Service) handleRenewal(p *pool, sent time.Time) {
	p.nextRenewalAt = sent.Add(ownership.RenewalInterval)
	p.unchangedFor = 0
	next := *p.ownership
	next.RenewedAt, next.RenewalVersion = sent, p.version
	p.ownership = &next
	s.publishOwnedPools()
}

// releaseAll releases all owned pools.
func (s *Service) releaseAll(ctx context.Context) {
	var writes []*ownerWrite
	for _, p := range s.pools {
		if p.ownership == nil {
			continue
		}
		next := p.record
		next.Released, next.Summary = true, nil
		writes = append(writes, &ownerWrite{pool: p, next: next})
	}
	if len(writes) == 0 || !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		switch {
		case w.err != nil:
			s.log.Warn().Err(w.err).Str("pool", w.pool.name).Msg("release failed; retrying")
		case w.commit.Committed:
			s.log.Info().Str("pool", w.pool.name).Int("term", w.pool.ownership.Term).Msg("pool released")
			w.pool.ownership = nil
		default:
			// An earlier renewal without a response may have taken effect; the next
			// round releases the record as it is now.
			s.applyConflict(w.pool, w.commit.Current)
		}
	}
	s.publishOwnedPools()
}
