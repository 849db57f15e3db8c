package pools

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// executorRecords is the last known state of the records of used executors.
type executorRecords struct {
	// version is that of the record that each write of them also changes.
	version int64
	// shards has their values; nil while the values last written are unknown.
	shards map[services.RecordKey][]byte
}

// dropUnchanged returns only the writes that change a record.
func (r *executorRecords) dropUnchanged(writes []services.RecordWrite) []services.RecordWrite {
	return slices.DeleteFunc(writes, func(w services.RecordWrite) bool {
		return r.shards != nil && bytes.Equal(r.shards[w.RecordKey], w.Value)
	})
}

// markWritten stores the values and the version of committed writes.
func (r *executorRecords) markWritten(version int64, writes []services.RecordWrite) {
	r.version = version
	if r.shards == nil {
		r.shards = make(map[services.RecordKey][]byte, len(writes))
	}
	for _, w := range writes {
		r.shards[w.RecordKey] = w.Value
	}
}

type recordExecutorsCall struct {
	ownershipRef
	tx services.RecordTx
	// shards are the writes of tx that hold executors.
	shards    []services.RecordWrite
	executors []poolplan.Executor
}

type recordExecutorsDone struct {
	recordExecutorsCall
	commit services.RecordCommit
	err    error
}

// recordExecutors makes durable which executors this owner is about to use.
func (p *planner) recordExecutors(m *managedPool) {
	if m.inFlight.recordExecutors || len(m.plan.UnrecordedExecutors()) == 0 && !m.plan.ExecutorRecordOutdated() {
		return
	}
	executors := m.plan.ExecutorsToRecord()
	shards, err := jobrecord.EncodeExecutors(m.name, executors)
	if err != nil {
		p.s.log.Error().Err(err).Str("pool", m.name).Msg("executors not recorded: they cannot be encoded")
		return
	}
	shards = m.executorRecords.dropUnchanged(shards)
	guard := jobrecord.ExecutorsKey(m.name)
	tx := services.RecordTx{
		Conditions: []services.RecordCondition{m.ownership.Condition, {RecordKey: guard, Version: m.executorRecords.version}},
		Writes:     append([]services.RecordWrite{{RecordKey: guard, Value: []byte("{}")}}, shards...),
	}
	m.inFlight.recordExecutors = true
	p.send(p.s.recordCalls, recordExecutorsCall{m.ref(), tx, shards, executors})
}

func (c recordExecutorsCall) run(ctx context.Context, s *Service) event {
	commit, err := s.records.Commit(ctx, c.tx)
	if err != nil {
		services.Sleep(ctx, saveRetryDelay)
	}
	return recordExecutorsDone{c, commit, err}
}

func (c recordExecutorsCall) notMade() event {
	return recordExecutorsDone{c, services.RecordCommit{}, errBacklogFull}
}

func (e recordExecutorsDone) handle(p *planner) {
	m := p.managedPool(e.pool, e.term)
	if m == nil {
		return
	}
	m.inFlight.recordExecutors = false
	switch {
	case e.err != nil:
		m.executorRecords.shards = nil
		p.s.log.Warn().Err(e.err).Str("pool", e.pool).Int("executors", len(e.executors)).Msg("executors not recorded; retrying")
	case e.commit.Committed:
		m.executorRecords.markWritten(e.commit.Version, e.shards)
		m.plan.MarkRecorded(e.executors)
	case p.dropIfTermChanged(m, e.commit.Current):
	default:
		// An earlier commit without a response took effect.
		m.executorRecords = executorRecords{version: versionOf(e.commit.Current, jobrecord.ExecutorsKey(m.name))}
	}
}

// readRegistry requests the registry of executors.
func (p *planner) readRegistry() {
	if p.registryInFlight || len(p.pools) == 0 || p.now.Sub(p.registryReadAt) < registryInterval {
		return
	}
	p.registryInFlight, p.registryReadAt = true, p.now
	p.send(p.s.recordCalls, registryCall{})
}

type registryCall struct{}

type registryDone struct {
	executors []services.RegisteredExecutor
	err       error
}

func (registryCall) run(ctx context.Context, s *Service) event {
	list, err := s.registry.ListExecutors(ctx)
	return registryDone{list, err}
}

func (registryCall) notMade() event { return registryDone{nil, errBacklogFull} }

func (e registryDone) handle(p *planner) {
	p.registryInFlight = false
	p.now = p.s.clock()
	if e.err != nil {
		p.s.log.Debug().Err(e.err).Dur("age", p.now.Sub(p.registryReadAt)).Msg("registry not read; keeping the list in force")
		return
	}
	p.registry = e.executors
	p.incarnations = p.incarnations[:0]
	for _, x := range e.executors {
		// An entry for a service that is not configured comes from another writer
		// and must not end the runs of an executor whose address it names.
		if _, configured := p.catalog.Services[x.Service]; configured {
			p.incarnations = append(p.incarnations, x.Executor)
		}
	}
	for _, m := range p.pools {
		if m.loaded {
			p.applyRegistry(m)
		}
	}
}

// applyRegistry passes the registered executors to a pool's plan.
func (p *planner) applyRegistry(m *managedPool) {
	if p.registry == nil {
		return
	}
	var listed []poolplan.Executor
	for _, x := range p.registry {
		if x.Service != m.name {
			continue
		}
		info := x.Executor
		info.Cordoned, info.Leaving = m.cordoned[x.Machine], m.leaving[x.Machine]
		listed = append(listed, info)
	}
	m.plan.SetExecutors(p.now, listed)
	m.plan.EndReplaced(p.now, p.incarnations)
}

// applyCordons applies the record of the machines to empty if it is newer.
func (p *planner) applyCordons(m *managedPool, r *services.Record) {
	if r == nil || r.Version <= m.cordonsVersion {
		return
	}
	var c jobrecord.CordonRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		p.s.log.Error().Err(err).Str("pool", m.name).Msg("cordons cannot be decoded; keeping those in force")
		return
	}
	m.cordonsVersion = r.Version
	m.cordoned, m.leaving = setOf(c.Machines), setOf(c.EvictServices)
	p.s.log.Info().Str("pool", m.name).Int64("version", r.Version).Strs("machines", c.Machines).Int("leave", len(c.EvictServices)).Msg("cordons applied")
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
