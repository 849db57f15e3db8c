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

// usedRecord is what is known of the records of used executors.
type usedRecord struct {
	// version is that of the record that changes with each of their changes.
	version int64
	// shards holds their values; nil while it is not known what was written last.
	shards map[services.RecordKey][]byte
}

// changed returns the writes that change a record.
func (u *usedRecord) changed(writes []services.RecordWrite) []services.RecordWrite {
	return slices.DeleteFunc(writes, func(w services.RecordWrite) bool {
		return u.shards != nil && bytes.Equal(u.shards[w.RecordKey], w.Value)
	})
}

// written notes writes that were carried out.
func (u *usedRecord) written(version int64, writes []services.RecordWrite) {
	u.version = version
	if u.shards == nil {
		u.shards = make(map[services.RecordKey][]byte, len(writes))
	}
	for _, w := range writes {
		u.shards[w.RecordKey] = w.Value
	}
}

type recordCall struct {
	poolRef
	tx services.RecordTx
	// shards are the writes of tx that hold executors.
	shards []services.RecordWrite
	all    []poolplan.Executor
}

type recordDone struct {
	recordCall
	commit services.RecordCommit
	err    error
}

// record makes the executors durable that this owner is going to use.
func (p *planner) record(m *manager) {
	if m.busy.record || len(m.plan.UnrecordedExecutors()) == 0 && !m.plan.ExecutorRecordOutdated() {
		return
	}
	all := m.plan.ExecutorsToRecord()
	shards, err := jobrecord.EncodeExecutors(m.pool, all)
	if err != nil {
		p.s.log.Error().Err(err).Str("pool", m.pool).Msg("executors cannot be encoded")
		return
	}
	shards = m.used.changed(shards)
	guard := jobrecord.ExecutorsKey(m.pool)
	tx := services.RecordTx{
		Conditions: []services.RecordCondition{m.tenure.Condition, {RecordKey: guard, Version: m.used.version}},
		Writes:     append([]services.RecordWrite{{RecordKey: guard, Value: []byte("{}")}}, shards...),
	}
	m.busy.record = true
	p.send(p.s.store, recordCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, tx, shards, all})
}

func (c recordCall) run(ctx context.Context, s *Service) event {
	commit, err := s.records.Commit(ctx, c.tx)
	if err != nil {
		services.Sleep(ctx, saveRetry)
	}
	return recordDone{c, commit, err}
}

func (e recordDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.record = false
	switch {
	case e.err != nil:
		m.used.shards = nil
		p.s.log.Warn().Err(e.err).Str("pool", e.pool).Int("executors", len(e.all)).Msg("executors not recorded")
	case e.commit.Committed:
		m.used.written(e.commit.Version, e.shards)
		m.plan.MarkRecorded(e.all)
	case p.outdated(m, e.commit.Current):
	default:
		// An earlier record without an answer was written.
		m.used = usedRecord{version: versionOf(e.commit.Current, jobrecord.ExecutorsKey(m.pool))}
	}
}

// readRegistry asks for the registry of executors.
func (p *planner) readRegistry() {
	if p.registryBusy || len(p.pools) == 0 || p.now.Sub(p.registryAt) < registryEvery {
		return
	}
	p.registryBusy, p.registryAt = true, p.now
	p.send(p.s.store, registryCall{})
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

func (e registryDone) handle(p *planner) {
	p.registryBusy = false
	p.now = p.s.clock()
	if e.err != nil {
		return
	}
	p.registry = e.executors
	p.lives = p.lives[:0]
	for _, x := range e.executors {
		p.lives = append(p.lives, x.Executor)
	}
	for _, m := range p.pools {
		if m.loaded {
			p.applyRegistry(m)
		}
	}
}

// applyRegistry tells a pool's plan which executors there are.
func (p *planner) applyRegistry(m *manager) {
	if p.registry == nil {
		return
	}
	var listed []poolplan.Executor
	for _, x := range p.registry {
		if x.Service != m.pool {
			continue
		}
		info := x.Executor
		info.Cordoned, info.Leaving = m.cordoned[x.Machine], m.leaving[x.Machine]
		listed = append(listed, info)
	}
	m.plan.SetExecutors(p.now, listed)
	m.plan.EndReplaced(p.now, p.lives)
}

// cordon takes in the record of the machines to empty.
func (p *planner) cordon(m *manager, r *services.Record) {
	if r == nil || r.Version <= m.cordonVer {
		return
	}
	var c jobrecord.CordonRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		p.s.log.Error().Err(err).Str("pool", m.pool).Msg("cordons cannot be read; those in force stay")
		return
	}
	m.cordonVer = r.Version
	m.cordoned, m.leaving = setOf(c.Machines), setOf(c.EvictServices)
	p.s.log.Info().Str("pool", m.pool).Int64("version", r.Version).Strs("machines", c.Machines).Int("leave", len(c.EvictServices)).Msg("machines to empty")
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
