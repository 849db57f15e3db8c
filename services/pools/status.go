package pools

import (
	"context"
	"encoding/json"
	"slices"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

type statusCall struct {
	ownershipRef
	version int64
	value   []byte
	movedTo []string
}

type statusDone struct {
	statusCall
	commit services.RecordCommit
	err    error
}

// publishStatus publishes what other processes need to know of the pool.
func (p *planner) publishStatus(m *managedPool) {
	if m.inFlight.publishStatus || p.now.Sub(m.statusCheckedAt) < statusInterval {
		return
	}
	m.statusCheckedAt = p.now
	p.publishMoved(m)
	value, err := p.encodeStatus(m)
	if err != nil {
		p.s.log.Error().Err(err).Str("pool", m.name).Msg("status not published: it cannot be encoded")
		return
	}
	if string(value) == m.publishedStatus {
		return
	}
	m.inFlight.publishStatus = true
	p.send(p.s.recordCalls, statusCall{m.ref(), m.statusVersion, value, m.moved.services()})
}

// encodeStatus encodes the pool's status. If it is too large for a record, it is
// published without the details that only explanations need, or without the use of the
// machines, which only moves depend on.
func (p *planner) encodeStatus(m *managedPool) ([]byte, error) {
	record := p.statusRecord(m)
	value, err := json.Marshal(record)
	if err != nil || len(value) <= jobrecord.MaxRecordBytes {
		return value, err
	}
	record.Tenants = nil
	for machine, u := range record.Machines {
		u.MachineDetail = jobrecord.MachineDetail{}
		record.Machines[machine] = u
	}
	if value, err = json.Marshal(record); err != nil || len(value) <= jobrecord.MaxRecordBytes {
		return value, err
	}
	p.s.log.Warn().Str("pool", m.name).Int("bytes", len(value)).Int("machines", len(record.Machines)).Msg("status too large for a record; published without the machines")
	record.Machines = nil
	return json.Marshal(record)
}

func (p *planner) statusRecord(m *managedPool) jobrecord.StatusRecord {
	pending, begun := m.plan.Pending()
	record := jobrecord.StatusRecord{Term: m.ownership.Term, CordonsVersion: m.cordonsVersion, StartedUnrecorded: begun, Machines: make(map[string]jobrecord.MachineUse)}
	record.Pending = make(map[string]int)
	for queue, q := range pending {
		record.Add(queue, q.Place, q.Jobs)
	}
	m.moved.set(p.catalog, m.name, pending)
	record.MovedTo = m.moved.services()
	record.DemandMilliCPU, record.LateMilliCPU, record.CapacityMilliCPU = m.plan.Load()
	for machine, u := range m.plan.MachineUses() {
		record.Machines[machine] = jobrecord.MachineUse{MilliCPU: u.MilliCPU, Tasks: u.Tasks, Services: u.ServiceTasks}
		if u.Empty {
			record.EmptyMachines = append(record.EmptyMachines, machine)
		}
	}
	slices.Sort(record.EmptyMachines)
	p.addDetails(m, &record)
	record.Evacuations = p.evacuationStatus(m)
	return record
}

// addDetails adds what explains where work is placed.
func (p *planner) addDetails(m *managedPool, record *jobrecord.StatusRecord) {
	for _, u := range m.plan.ExecutorUses(p.now) {
		use := record.Machines[u.Machine]
		use.Add(&u)
		record.Machines[u.Machine] = use
	}
	record.Tenants = make(map[string]jobrecord.Amounts)
	for tenant, used := range m.plan.TenantUsed() {
		record.Tenants[tenant] = jobrecord.NewAmounts(used)
	}
}

func (c statusCall) run(ctx context.Context, s *Service) event {
	key := jobrecord.StatusKey(c.pool)
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: c.version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: c.value}},
	})
	if err != nil {
		s.log.Debug().Err(err).Str("pool", c.pool).Msg("status not published; retrying")
	}
	return statusDone{c, commit, err}
}

func (c statusCall) notMade() event { return statusDone{c, services.RecordCommit{}, errBacklogFull} }

func (e statusDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil {
		return
	}
	m.inFlight.publishStatus = false
	switch {
	case e.err != nil:
	case e.commit.Committed:
		m.publishedStatus, m.statusVersion = string(e.value), e.commit.Version
		m.moved.announced = e.movedTo
	default:
		p.handleStatusConflict(m, e.commit.Current)
	}
}

// handleStatusConflict handles a status that another owner has published. That of
// an earlier owner is overwritten next time. That of a later owner ends the
// ownership, so that a returning owner does not hide what is pending now.
func (p *planner) handleStatusConflict(m *managedPool, current []services.Record) {
	m.statusVersion = 0
	for i := range current {
		var status jobrecord.StatusRecord
		if err := json.Unmarshal(current[i].Value, &status); err != nil {
			p.s.log.Error().Err(err).Str("pool", m.name).Msg("stored status cannot be decoded; it is overwritten")
		}
		m.statusVersion = current[i].Version
		m.moved.inherit(status.MovedTo)
		m.plan.MarkBegun(status.StartedUnrecorded)
		if status.Term > m.ownership.Term {
			p.s.log.Warn().Str("pool", m.name).Int("term", m.ownership.Term).Int("later", status.Term).Msg("giving the pool up: a later owner has published its status")
			p.dropLostPool(m)
		}
	}
}
