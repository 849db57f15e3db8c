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

// ownerWrite is a change of one owner record.
type ownerWrite struct {
	pool *pool
	next jobrecord.OwnerRecord
	// takeover tells that the owner changes.
	takeover bool
	reason   string
	commit   services.RecordCommit
	err      error
}

// writeAll carries out the changes at once, and reports whether all have ended.
func (s *Service) writeAll(ctx context.Context, writes []*ownerWrite) bool {
	var calls []func(context.Context)
	for _, w := range writes {
		calls = append(calls, func(ctx context.Context) { w.commit, w.err = s.commit(ctx, w) })
	}
	return s.workers.RunAll(ctx, calls...)
}

// claimAll takes the pools over for which it is this host's turn.
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
		ok, reason := ownership.Claim(p.name, record, host)
		if !ok {
			continue
		}
		p.claimedAt = now
		// The next pool of this round is claimed as if this one was owned.
		host.OwnedPoolCount++
		next := jobrecord.OwnerRecord{Holder: s.settings.Host, Incarnation: s.settings.Incarnation, Term: p.record.Term + 1, CPUShare: s.settings.CPUShare}
		writes = append(writes, &ownerWrite{pool: p, next: next, takeover: true, reason: reason})
	}
	if !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		s.handleClaim(w)
	}
}

// largestCPUShare returns the largest processor share of the owners that are known.
func (s *Service) largestCPUShare() float64 {
	power := 0.0
	for _, p := range s.pools {
		power = max(power, p.record.CPUShare)
	}
	if power == 0 {
		return 0
	}
	return max(power, s.settings.CPUShare)
}

// handleClaim takes in the answer to a claim.
func (s *Service) handleClaim(w *ownerWrite) {
	p := w.pool
	log := s.log.With().Str("pool", p.name).Int("term", w.next.Term).Str("reason", w.reason).Str("from", p.record.Holder).Dur("unchanged", p.unchangedFor).Logger()
	switch {
	case w.err != nil:
		log.Warn().Err(w.err).Msg("claim failed")
	case !w.commit.Committed:
		log.Info().Msg("another host was first")
		s.applyConflict(p, w.commit.Current)
		p.unchangedFor, p.ownerlessFor = 0, 0
	default:
		log.Info().Int64("fence", w.commit.Version).Msg("pool taken over")
		before := p.version
		s.startOwnership(p, w.next, w.commit.Version)
		p.ownership.ReplacedVersion, p.ownership.ReplacedSilentFor = before, p.unchangedFor
		s.publishOwnedPools()
	}
}

// startOwnership notes that a claim was carried out at version.
func (s *Service) startOwnership(p *pool, record jobrecord.OwnerRecord, version int64) {
	p.record, p.version = record, version
	p.nextRenewalAt = p.claimedAt.Add(ownership.RenewEvery)
	p.ownership = &services.PoolOwnership{
		Pool: p.name, Term: record.Term, FencingToken: version, RenewedAt: p.claimedAt, ClaimedAt: p.claimedAt, AcquiredVersion: version,
		RenewalVersion: version,
		Condition:      services.RecordCondition{RecordKey: jobrecord.TermKey(p.name), Version: version},
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

// applyConflict takes in the record that made a condition fail.
func (s *Service) applyConflict(p *pool, current []services.Record) {
	for i := range current {
		if r := &current[i]; r.RecordKey == jobrecord.OwnerKey(p.name) {
			s.applyRecord(p, r)
		}
	}
}

// renewAll shows that this process is alive.
func (s *Service) renewAll(ctx context.Context) {
	now := s.clock()
	var writes []*ownerWrite
	for _, p := range s.pools {
		if p.ownership == nil || now.Before(p.nextRenewalAt) {
			continue
		}
		next := p.record
		next.Renewals++
		writes = append(writes, &ownerWrite{pool: p, next: next})
	}
	if !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		switch {
		case w.err != nil:
			s.log.Debug().Err(w.err).Str("pool", w.pool.name).Dur("age", now.Sub(w.pool.ownership.RenewedAt)).Msg("renewal failed")
		case w.commit.Committed:
			w.pool.record, w.pool.version = w.next, w.commit.Version
			s.handleRenewal(w.pool, now)
		default:
			// An earlier renewal without an answer may have been carried out.
			s.applyConflict(w.pool, w.commit.Current)
		}
	}
}

func (s *Service) handleRenewal(p *pool, sent time.Time) {
	p.nextRenewalAt = sent.Add(ownership.RenewEvery)
	p.unchangedFor = 0
	next := *p.ownership
	next.RenewedAt, next.RenewalVersion = sent, p.version
	p.ownership = &next
	s.publishOwnedPools()
}

// releaseAll gives all pools up.
func (s *Service) releaseAll(ctx context.Context) {
	var writes []*ownerWrite
	for _, p := range s.pools {
		if p.ownership == nil {
			continue
		}
		next := p.record
		next.Released = true
		writes = append(writes, &ownerWrite{pool: p, next: next})
	}
	if len(writes) == 0 || !s.writeAll(ctx, writes) {
		return
	}
	for _, w := range writes {
		switch {
		case w.err != nil:
			s.log.Warn().Err(w.err).Str("pool", w.pool.name).Msg("release failed")
		case w.commit.Committed:
			s.log.Info().Str("pool", w.pool.name).Int("term", w.pool.ownership.Term).Msg("pool released")
			w.pool.ownership = nil
		default:
			// An earlier renewal without an answer may have been carried out;
			// the next round releases the record as it is now.
			s.applyConflict(w.pool, w.commit.Current)
		}
	}
	s.publishOwnedPools()
}
