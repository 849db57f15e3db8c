package pools

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type saveCall struct {
	ownershipRef
	conditions []services.RecordCondition
	saves      []poolplan.Save
	// starts has the starts in doubt, among them all that were planned up to the number
	// startsThrough.
	starts        []poolplan.StartInDoubt
	startsThrough int64
}

type saveDone struct {
	saveCall
	commit services.RecordCommit
	err    error
}

// saveProgress makes the progress of jobs durable, and which starts may be carried out late.
func (p *planner) saveProgress(m *managedPool) {
	if m.inFlight.saveProgress || !m.plan.HasUnsaved() && !m.starts.hasUnrecorded() || p.now.Before(m.nextSaveAt) {
		return
	}
	saves := m.plan.Saves(p.now, m.saveLimit())
	if len(saves) == 0 && !m.starts.hasUnrecorded() {
		return
	}
	m.inFlight.saveProgress = true
	conditions := []services.RecordCondition{m.ownership.Condition, {RecordKey: jobrecord.SavesKey(m.name), Version: m.savesVersion}}
	p.send(p.s.recordCalls, saveCall{m.ref(), conditions, saves, m.plan.StartsInDoubt(p.now), m.starts.planned})
}

func (c saveCall) run(ctx context.Context, s *Service) event {
	start := s.clock()
	value, recorded, err := jobrecord.EncodeSaves(c.starts)
	if err != nil {
		return saveDone{c, services.RecordCommit{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode starts", c.pool, "%w", err)}
	}
	if recorded < len(c.starts) {
		s.log.Error().Str("pool", c.pool).Int("starts", len(c.starts)).Int("recorded", recorded).Msg("not all starts in doubt fit the record; a later owner does not know of the others")
	}
	tx := services.RecordTx{
		Conditions: c.conditions,
		Writes:     []services.RecordWrite{{RecordKey: jobrecord.SavesKey(c.pool), Value: value}},
		Sent:       func() { s.events.Offer(saveSent{c.ownershipRef, c.startsThrough}) },
	}
	for i := range c.saves {
		for _, part := range c.saves[i].Parts {
			value, err := jobrecord.EncodeProgress(&part.Progress)
			if err != nil {
				return saveDone{c, services.RecordCommit{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode progress", c.pool, "%w", err)}
			}
			tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: jobrecord.ProgressKey(c.pool, c.saves[i].Job, part.Number), Value: value})
		}
	}
	commit, err := s.records.Commit(ctx, tx)
	s.meters.saveTime.RecordDuration(s.clock().Sub(start))
	return saveDone{c, commit, err}
}

// saveSent says that a save has been written to a connection. If the ring of events is
// full, the starts wait for its outcome.
type saveSent struct {
	ownershipRef
	startsThrough int64
}

func (e saveSent) handle(p *planner) {
	if m := p.managedPool(e.ownershipRef); m != nil {
		p.sendStarts(m, m.starts.takeThrough(e.startsThrough))
	}
}

func (c saveCall) notMade() event { return saveDone{c, services.RecordCommit{}, errBacklogFull} }

func (e saveDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil {
		return
	}
	m.inFlight.saveProgress = false
	p.now = p.s.clock()
	saved := e.err == nil && e.commit.Committed
	for _, s := range e.saves {
		m.plan.SaveDone(p.now, s, saved)
		if saved && s.Parts[0].Progress.State.Ended() {
			m.trim.add(s.Spec, s.Version)
		}
	}
	if m.savesAlone > 0 {
		m.savesAlone--
	}
	switch {
	case isRefused(e.err):
		p.handleRefusedSave(m, e)
	case e.err != nil:
		p.s.log.Warn().Err(e.err).Str("pool", m.name).Int("jobs", len(e.saves)).Msg("progress not saved; retrying")
		m.nextSaveAt = p.now.Add(saveRetryDelay)
	case saved:
		m.savesVersion = e.commit.Version
		m.starts.recorded = max(m.starts.recorded, e.startsThrough)
		p.sendStarts(m, m.starts.takeThrough(e.startsThrough))
	case p.dropIfTermChanged(m, e.commit.Current):
	default:
		// An earlier save without a response took effect.
		m.savesVersion = versionOf(e.commit.Current, jobrecord.SavesKey(m.name))
		p.s.log.Info().Str("pool", m.name).Int64("version", m.savesVersion).Msg("an earlier save was carried out")
	}
}

// saveLimit bounds the next save by the store's limits.
func (m *managedPool) saveLimit() poolplan.SaveLimit {
	if m.savesAlone > 0 {
		return poolplan.SaveLimit{Jobs: 1, Parts: maxPartsPerCommit, Size: maxProgressPerCommit}
	}
	return poolplan.SaveLimit{Jobs: maxPartsPerCommit, Parts: maxPartsPerCommit, Size: maxProgressPerCommit}
}

// isRefused reports whether the store refuses a write and will do so again.
func isRefused(err error) bool {
	f, ok := fault.As(err)
	return ok && f.HasClass(&fault.Invalid)
}

// handleRefusedSave finds the job whose progress the store refuses: the jobs are saved
// one by one, and the one that is refused alone is left out for a while.
func (p *planner) handleRefusedSave(m *managedPool, e saveDone) {
	if len(e.saves) == 0 {
		p.s.log.Error().Err(e.err).Str("pool", m.name).Int("starts", len(e.starts)).Msg("starts in doubt refused; a later owner does not know of them")
		m.nextSaveAt = p.now.Add(refusedSaveDelay)
		return
	}
	if len(e.saves) > 1 {
		m.savesAlone = len(e.saves)
		p.s.log.Warn().Err(e.err).Str("pool", m.name).Int("jobs", len(e.saves)).Msg("progress refused; saving the jobs one by one")
		return
	}
	job := e.saves[0].Job
	m.plan.DelaySave(job, p.now.Add(refusedSaveDelay))
	p.s.log.Error().Err(e.err).Str("pool", m.name).Str("job", job).Dur("delay", refusedSaveDelay).Msg("progress of the job refused; other jobs are saved without it")
}

// dropIfTermChanged drops the pool if the records of a failed condition show that
// its term has ended, and reports whether they do.
func (p *planner) dropIfTermChanged(m *managedPool, current []services.Record) bool {
	if versionOf(current, m.ownership.Condition.RecordKey) == m.ownership.Condition.Version {
		return false
	}
	p.s.log.Warn().Str("pool", m.name).Int("term", m.ownership.Term).Msg("giving the pool up: the store has a later owner")
	p.dropLostPool(m)
	return true
}

// versionOf returns the version of the record with the given key; zero if absent.
func versionOf(records []services.Record, key services.RecordKey) int64 {
	for i := range records {
		if records[i].RecordKey == key {
			return records[i].Version
		}
	}
	return 0
}
