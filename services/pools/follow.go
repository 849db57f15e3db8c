package pools

import (
	"context"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type followCall struct {
	poolRef
	after int64
}

type followDone struct {
	followCall
	changes services.RecordChanges
	err     error
}

// follow asks for the changes of a pool's jobs.
func (p *planner) follow(m *manager) {
	if m.busy.follow || m.loading != nil || p.now.Before(m.loadAt) {
		return
	}
	m.busy.follow = true
	p.send(p.s.store, followCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, m.version})
}

func (c followCall) run(ctx context.Context, s *Service) event {
	changes, err := s.records.Changes(ctx, jobrecord.TableJobs(c.pool), c.after, followWait)
	return followDone{c, changes, err}
}

func (e followDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.follow = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		m.loadAt = p.now.Add(loadRetry)
		return
	case e.changes.VersionExpired:
		p.s.log.Info().Str("pool", m.pool).Int64("version", e.after).Msg("changes forgotten by the store; reading all jobs")
		p.load(m)
		return
	}
	if p.superseded(m, e.changes.Records) {
		return
	}
	m.version = max(m.version, e.changes.Version)
	var state poolState
	p.s.readJobs(&state, e.changes.Records, nil)
	p.addJobs(m, state)
}

// superseded gives the pool up when the records show a later owner. Jobs that
// are listed with it belong to that owner.
func (p *planner) superseded(m *manager, records []services.Record) bool {
	for i := range records {
		r := &records[i]
		if r.RecordKey == m.tenure.Condition.RecordKey && r.Version > m.tenure.Condition.Version {
			p.s.log.Warn().Str("pool", m.pool).Int("term", m.tenure.Term).Int64("version", r.Version).Msg("the store has a later owner")
			p.lose(m)
			return true
		}
	}
	return false
}

// addJobs adds jobs that were recorded after this process took the pool over.
func (p *planner) addJobs(m *manager, state poolState) {
	for _, j := range state.specs {
		p.s.log.Info().Str("pool", m.pool).Str("job", j.spec.ID).Str("queue", j.spec.Queue).Int64("version", j.version).
			Dur("age", p.now.Sub(j.spec.AcceptedAt)).Msg("job known to the owner")
		m.plan.AddJob(p.now, j.spec, j.progress, m.inherited(&j))
	}
	for _, id := range state.cancelled {
		m.plan.CancelJob(p.now, id)
	}
	if state.cordons != nil {
		p.cordon(m, state.cordons)
		p.applyRegistry(m)
	}
}
