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
	all := m.plan.ExecutorsToRecord()
	shards, executors, err := jobrecord.EncodeExecutors(m.name, all)
	if err != nil {
		p.s.log.Error().Err(err).Str("pool", m.name).Msg("executors not recorded: they cannot be encoded")
		return
	}
	if len(executors) < len(all) {
		p.s.log.Error().Str("pool", m.name).Int("executors", len(all)).Int("recorded", len(executors)).Msg("not all executors fit the record; the others are not used")
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
	m := p.managedPool(e.ownershipRef)
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
