package pools

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type followCall struct {
	ownershipRef
	follow.Call
	after int64
}

type followDone struct {
	followCall
	changes services.RecordChanges
	err     error
}

// followJobs requests the changes of a pool's jobs.
func (p *planner) followJobs(m *managedPool) {
	if m.loading != nil {
		return
	}
	if call, ok, _ := m.follower.Next(p.now, p.s.storeHealth.ResponseTime()); ok {
		p.send(p.s.recordCalls, followCall{m.ref(), call, m.changesVersion})
	}
}

func (c followCall) run(ctx context.Context, s *Service) event {
	changes, err := s.records.Changes(ctx, jobrecord.TableJobs(c.pool), c.after, c.Wait)
	return followDone{c, changes, err}
}

func (c followCall) notMade() event { return followDone{c, services.RecordChanges{}, errBacklogFull} }

func (e followDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil {
		return
	}
	p.now = p.s.clock()
	m.follower.Done(p.now, e.Number, e.err == nil)
	switch {
	case e.err != nil:
		p.s.log.Debug().Err(e.err).Str("pool", m.name).Int64("version", e.after).Msg("changes of the jobs not read; retrying")
		return
	case e.changes.VersionExpired && e.after < m.changesVersion:
		// A later call has been answered.
		return
	case e.changes.VersionExpired:
		p.s.log.Info().Str("pool", m.name).Int64("version", e.after).Msg("store no longer has the changes since this version; reading all jobs")
		p.startLoad(m)
		return
	}
	if p.dropIfSuperseded(m, e.changes.Records) {
		return
	}
	m.changesVersion = max(m.changesVersion, e.changes.Version)
	var state poolState
	p.s.decodeJobs(&state, e.changes.Records, nil)
	p.applyChanges(m, state)
}

// dropIfSuperseded drops the pool if the records show a later owner, and reports
// whether they do. The jobs among the records then belong to that owner.
func (p *planner) dropIfSuperseded(m *managedPool, records []services.Record) bool {
	for i := range records {
		r := &records[i]
		if r.RecordKey == m.ownership.Condition.RecordKey && r.Version > m.ownership.Condition.Version {
			p.s.log.Warn().Str("pool", m.name).Int("term", m.ownership.Term).Int64("version", r.Version).Msg("giving the pool up: the store has a later owner")
			p.dropLostPool(m)
			return true
		}
	}
	return false
}

// applyChanges applies the jobs, cancellations and cordons that were recorded after
// this process took the pool over.
func (p *planner) applyChanges(m *managedPool, state poolState) {
	for _, j := range state.jobs {
		p.s.log.Info().Str("pool", m.name).Str("job", j.spec.ID).Str("queue", j.spec.Queue.Name).Int64("version", j.version).
			Dur("age", p.now.Sub(j.spec.AcceptedAt)).Msg("job known to the owner")
	}
	m.plan.AddJobs(p.now, m.recordedJobs(state.jobs))
	for _, id := range state.cancelled {
		m.plan.CancelJob(p.now, id)
	}
	if state.cordons != nil {
		p.applyCordons(m, state.cordons)
		p.applyRegistry(m)
	}
}
