package pools

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type saveCall struct {
	poolRef
	condition services.RecordCondition
	saves     []poolplan.Save
}

type saveDone struct {
	saveCall
	commit services.RecordCommit
	err    error
}

// save makes the progress of jobs durable.
func (p *planner) save(m *manager) {
	if m.busy.save || !m.plan.Unsaved() || p.now.Before(m.saveAt) {
		return
	}
	saves := m.plan.Saves(savesPerCommit)
	if len(saves) == 0 {
		return
	}
	m.busy.save = true
	p.send(p.s.store, saveCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, m.tenure.Condition, saves})
}

func (c saveCall) run(ctx context.Context, s *Service) event {
	start := s.clock()
	tx := services.RecordTx{Conditions: []services.RecordCondition{c.condition}}
	for i := range c.saves {
		value, err := jobrecord.EncodeProgress(&c.saves[i].Progress)
		if err != nil {
			return saveDone{c, services.RecordCommit{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode progress", c.pool, "%w", err)}
		}
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: jobrecord.Progress(c.pool, c.saves[i].Job), Value: value})
	}
	commit, err := s.records.Commit(ctx, tx)
	s.meters.storeTime.RecordDuration(s.clock().Sub(start))
	return saveDone{c, commit, err}
}

func (e saveDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.save = false
	p.now = p.s.clock()
	if e.err != nil {
		p.s.log.Warn().Err(e.err).Str("pool", m.pool).Int("jobs", len(e.saves)).Msg("progress not saved")
		m.saveAt = p.now.Add(saveRetry)
	}
	for _, s := range e.saves {
		m.plan.SaveDone(p.now, s, e.err == nil && e.commit.Committed)
	}
	if e.err == nil && !e.commit.Committed {
		p.s.log.Warn().Str("pool", m.pool).Int("term", m.tenure.Term).Msg("the store has a later owner")
		p.s.ownership.Lost(m.tenure)
		delete(p.pools, m.pool)
	}
}
