package pools

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// followWait is how long the store may hold back the changes of a pool.
	followWait = time.Second
	// savesPerCommit bounds the jobs of one transaction; the store takes 100
	// entries.
	savesPerCommit = 60
)

// poolState is everything that the store holds of a pool.
type poolState struct {
	specs     []loadedJob
	cancelled []string
	executors []poolplan.Executor
	cordons   *services.Record
	version   int64
	// term is the record of the owner's term.
	term []services.Record
}

type loadedJob struct {
	spec     *workload.Spec
	progress workload.Progress
	version  int64
}

type loadCall struct{ poolRef }

type loadDone struct {
	loadCall
	state poolState
	err   error
}

// load asks for everything that the store holds of a pool.
func (p *planner) load(m *manager) {
	if m.busy.load || p.now.Before(m.loadAt) {
		return
	}
	m.busy.load = true
	p.send(p.s.store, loadCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}})
}

func (c loadCall) run(ctx context.Context, s *Service) event {
	state, err := s.loadPool(ctx, c.pool)
	return loadDone{c, state, err}
}

func (s *Service) loadPool(ctx context.Context, pool string) (poolState, error) {
	var state poolState
	jobs, version, err := s.scanJobs(ctx, pool)
	if err != nil {
		return state, err
	}
	progress, _, err := s.scanAll(ctx, services.RecordRange{Table: jobrecord.TableProgress, Part: pool})
	if err != nil {
		return state, err
	}
	own, _, err := s.scanAll(ctx, services.RecordRange{Table: jobrecord.TablePools, Part: pool})
	if err != nil {
		return state, err
	}
	state.version = version
	s.readJobs(&state, jobs, s.readProgress(progress))
	for i := range own {
		s.readPoolRecord(pool, &state, &own[i])
	}
	return state, nil
}

// scanJobs reads all parts of the table of a pool's jobs. The version is that of
// the first page, so that changes can be followed from there without a gap.
func (s *Service) scanJobs(ctx context.Context, pool string) ([]services.Record, int64, error) {
	var all []services.Record
	first := int64(0)
	for _, part := range jobrecord.PartsOfJobs(pool) {
		records, version, err := s.scanAll(ctx, services.RecordRange{Table: jobrecord.TableJobs(pool), Part: part})
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = version
		}
		all = append(all, records...)
	}
	return all, first, nil
}

// scanAll reads all pages of a range. The version is that of the first page, so
// that changes can be followed from there without a gap.
func (s *Service) scanAll(ctx context.Context, r services.RecordRange) ([]services.Record, int64, error) {
	var all []services.Record
	version := int64(0)
	for {
		page, err := s.records.Scan(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, version, nil
		}
		r.From = page.Records[len(page.Records)-1].Key + "\x00"
	}
}

func (s *Service) readProgress(records []services.Record) map[string]workload.Progress {
	progress := make(map[string]workload.Progress, len(records))
	for i := range records {
		id, kind := jobrecord.Parse(records[i].Key)
		if kind != jobrecord.KindProgress {
			continue
		}
		p, err := jobrecord.DecodeProgress(id, records[i].Value)
		if err != nil {
			s.log.Error().Err(err).Msg("progress cannot be read; the job starts from the beginning")
			continue
		}
		progress[id] = p
	}
	return progress
}

func (s *Service) readJobs(state *poolState, records []services.Record, progress map[string]workload.Progress) {
	for i := range records {
		r := &records[i]
		switch id, kind := jobrecord.Parse(r.Key); kind {
		case jobrecord.KindOther:
			if r.RecordKey == jobrecord.Cordons(r.Part) {
				state.cordons = r
				continue
			}
			state.term = append(state.term, *r)
		case jobrecord.KindCancel:
			state.cancelled = append(state.cancelled, id)
		case jobrecord.KindJob:
			spec, err := jobrecord.DecodeSpec(id, r.Value)
			if err != nil {
				s.log.Error().Err(err).Msg("job cannot be read; left out")
				continue
			}
			state.specs = append(state.specs, loadedJob{spec, progress[id], r.Version})
		}
	}
}

func (s *Service) readPoolRecord(pool string, state *poolState, r *services.Record) {
	if r.RecordKey != jobrecord.Executors(pool) {
		return
	}
	var err error
	state.executors, err = jobrecord.DecodeExecutors(r.Value)
	if err != nil {
		s.log.Error().Err(err).Str("record", r.Key).Msg("record cannot be read; left out")
	}
}

func (e loadDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.load = false
	p.now = p.s.clock()
	if e.err != nil {
		p.s.log.Warn().Err(e.err).Str("pool", m.pool).Msg("pool not loaded")
		m.loadAt = p.now.Add(loadRetry)
		return
	}
	if p.superseded(m, e.state.term) {
		return
	}
	plan := poolplan.New(m.pool, m.tenure.Term, m.tenure.RenewedAt, p.s.settings.Params)
	plan.SetCatalog(p.catalog)
	for _, x := range e.state.executors {
		plan.Inherit(p.now, x)
	}
	for _, j := range e.state.specs {
		plan.AddJob(p.now, j.spec, j.progress, j.version < m.tenure.TakenAt)
	}
	for _, id := range e.state.cancelled {
		plan.CancelJob(p.now, id)
	}
	m.plan, m.loaded, m.version = plan, true, e.state.version
	p.cordon(m, e.state.cordons)
	p.s.log.Info().Str("pool", m.pool).Int("term", m.tenure.Term).Int64("fence", m.tenure.Fence).Int("jobs", len(e.state.specs)).
		Int("executors", len(e.state.executors)).Dur("age", p.now.Sub(m.tenure.RenewedAt)).Msg("pool loaded")
	p.applyRegistry(m)
}

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
	if m.busy.follow || p.now.Before(m.loadAt) {
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
	case e.changes.Forgotten:
		p.s.log.Info().Str("pool", m.pool).Int64("version", e.after).Msg("changes forgotten by the store; reading all jobs")
		m.busy.follow = true
		p.send(p.s.store, reloadCall{e.poolRef})
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
			p.s.ownership.Lost(m.tenure)
			delete(p.pools, m.pool)
			return true
		}
	}
	return false
}

// addJobs adds jobs that were recorded after this process took the pool over.
func (p *planner) addJobs(m *manager, state poolState) {
	for _, j := range state.specs {
		p.s.log.Info().Str("pool", m.pool).Str("job", j.spec.ID).Str("queue", j.spec.Queue).Int64("version", j.version).
			Dur("age", p.now.Sub(j.spec.Accepted)).Msg("job known to the owner")
		m.plan.AddJob(p.now, j.spec, j.progress, j.version < m.tenure.TakenAt)
	}
	for _, id := range state.cancelled {
		m.plan.CancelJob(p.now, id)
	}
	if state.cordons != nil {
		p.cordon(m, state.cordons)
		p.applyRegistry(m)
	}
}

type reloadCall struct{ poolRef }

type reloadDone struct{ loadDone }

func (c reloadCall) run(ctx context.Context, s *Service) event {
	state, err := s.loadPool(ctx, c.pool)
	return reloadDone{loadDone{loadCall(c), state, err}}
}

func (e reloadDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.follow = false
	p.now = p.s.clock()
	if e.err != nil {
		m.loadAt = p.now.Add(loadRetry)
		return
	}
	if p.superseded(m, e.state.term) {
		return
	}
	m.version = e.state.version
	p.addJobs(m, e.state)
}

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

type recordCall struct {
	poolRef
	condition services.RecordCondition
	all       []poolplan.Executor
}

type recordDone struct {
	recordCall
	ok bool
}

// record makes the executors durable that this owner is going to use.
func (p *planner) record(m *manager) {
	if m.busy.record || len(m.plan.Unrecorded()) == 0 && !m.plan.RecordOutdated() {
		return
	}
	m.busy.record = true
	p.send(p.s.store, recordCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, m.tenure.Condition, m.plan.Recordable()})
}

func (c recordCall) run(ctx context.Context, s *Service) event {
	value, err := jobrecord.EncodeExecutors(c.all)
	if err != nil {
		s.log.Error().Err(err).Str("pool", c.pool).Msg("executors cannot be encoded")
		return recordDone{c, false}
	}
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{c.condition},
		Writes:     []services.RecordWrite{{RecordKey: jobrecord.Executors(c.pool), Value: value}},
	})
	if err != nil {
		s.log.Warn().Err(err).Str("pool", c.pool).Msg("executors not recorded")
		pause(ctx, saveRetry)
	}
	return recordDone{c, err == nil && commit.Committed}
}

func (e recordDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	m.busy.record = false
	if e.ok && m.plan != nil {
		m.plan.Recorded(e.all)
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
	m.plan.EndLives(p.now, p.lives)
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
	m.cordoned, m.leaving = setOf(c.Machines), setOf(c.Leave)
	p.s.log.Info().Str("pool", m.pool).Int64("version", r.Version).Strs("machines", c.Machines).Int("leave", len(c.Leave)).Msg("machines to empty")
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
