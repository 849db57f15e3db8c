package pools

import (
	"context"
	"encoding/json"
	"slices"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type statusCall struct {
	poolRef
	value []byte
}

type statusDone struct {
	statusCall
	ok bool
}

// status publishes what other processes have to know of the pool.
func (p *planner) status(m *manager) {
	if m.busy.status || p.now.Sub(m.statusAt) < statusEvery {
		return
	}
	m.statusAt = p.now
	value, err := json.Marshal(p.statusRecord(m))
	if err != nil {
		p.s.log.Error().Err(err).Str("pool", m.pool).Msg("status cannot be encoded")
		return
	}
	if string(value) == m.published {
		return
	}
	m.busy.status = true
	p.send(p.s.store, statusCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, value})
}

func (p *planner) statusRecord(m *manager) jobrecord.StatusRecord {
	pending, begun := m.plan.Pending()
	record := jobrecord.StatusRecord{Term: m.tenure.Term, Cordons: m.cordonVer, Pending: pending, Begun: begun, Machines: make(map[string]jobrecord.MachineUse)}
	record.Demand, record.Capacity = m.plan.Load()
	uses := m.plan.Uses()
	for _, x := range p.registry {
		u, ok := uses[x.ID]
		if !ok || x.Service != m.pool {
			continue
		}
		record.Machines[x.Machine] = jobrecord.MachineUse{MilliCPU: u.MilliCPU, Tasks: u.Tasks, Services: u.Services}
		if u.Empty {
			record.Empty = append(record.Empty, x.Machine)
		}
	}
	slices.Sort(record.Empty)
	return record
}

func (c statusCall) run(ctx context.Context, s *Service) event {
	// The status has no condition: readers leave out that of an earlier term.
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Writes: []services.RecordWrite{{RecordKey: jobrecord.Status(c.pool), Value: c.value}},
	})
	if err != nil {
		s.log.Debug().Err(err).Str("pool", c.pool).Msg("status not published")
	}
	return statusDone{c, err == nil && commit.Committed}
}

func (e statusDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.status = false
	if e.ok {
		m.published = string(e.value)
	}
}
