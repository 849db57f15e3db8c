package pools

import (
	"context"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// loadCalls is how many calls read the jobs of a pool at once.
	loadCalls = 16
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
	// saves is the version of the record that changes with each save.
	saves int64
	used  usedRecord
	// term is the record of the owner's term.
	term []services.Record
}

type loadedJob struct {
	spec     *workload.Spec
	progress workload.Progress
	version  int64
}

// loading is a reading of a pool that is under way. The parts that hold the jobs
// are read by several calls at once, and everything else after them: a term
// record that is read last shows a later owner whose jobs were read.
type loading struct {
	waiting int
	records []services.Record
	// version is the lowest of all pages, so that changes can be followed from
	// there without a gap.
	version int64
	err     error
}

// load asks for everything that the store holds of a pool.
func (p *planner) load(m *manager) {
	if m.loading != nil || p.now.Before(m.loadAt) {
		return
	}
	ref := poolRef{m.pool, m.tenure.Term, m.tenure.Fence}
	parts := jobrecord.JobParts(m.pool)
	m.loading = new(loading)
	for chunk := range slices.Chunk(parts, (len(parts)+loadCalls-1)/loadCalls) {
		m.loading.waiting++
		p.send(p.s.store, scanCall{ref, chunk})
	}
}

// scanCall reads some of the parts that hold a pool's jobs.
type scanCall struct {
	poolRef
	parts []string
}

type scanDone struct {
	scanCall
	records []services.Record
	version int64
	err     error
}

func (c scanCall) run(ctx context.Context, s *Service) event {
	done := scanDone{scanCall: c}
	for _, part := range c.parts {
		records, version, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableJobs(c.pool), Part: part})
		if err != nil {
			done.err = err
			return done
		}
		done.records = append(done.records, records...)
		done.version = lowest(done.version, version)
	}
	return done
}

// lowest returns the lower of two versions, where zero means none.
func lowest(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

func (e scanDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil || m.loading == nil {
		return
	}
	l := m.loading
	l.waiting--
	l.records = append(l.records, e.records...)
	l.version = lowest(l.version, e.version)
	if l.err == nil {
		l.err = e.err
	}
	switch {
	case l.waiting > 0:
	case l.err != nil:
		p.loadFailed(m, l.err)
	default:
		p.send(p.s.store, loadCall{e.poolRef, l.records, l.version})
	}
}

func (p *planner) loadFailed(m *manager, err error) {
	p.now = p.s.clock()
	p.s.log.Warn().Err(err).Str("pool", m.pool).Msg("pool not loaded")
	m.loading, m.loadAt = nil, p.now.Add(loadRetry)
}

// loadCall completes a reading once the jobs have been read.
type loadCall struct {
	poolRef
	jobs    []services.Record
	version int64
}

type loadDone struct {
	poolRef
	state poolState
	err   error
}

func (c loadCall) run(ctx context.Context, s *Service) event {
	state, err := s.loadPool(ctx, c)
	return loadDone{c.poolRef, state, err}
}

func (s *Service) loadPool(ctx context.Context, c loadCall) (poolState, error) {
	var state poolState
	progress, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableProgress, Part: c.pool})
	if err != nil {
		return state, err
	}
	own, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TablePools, Part: c.pool})
	if err != nil {
		return state, err
	}
	owner, _, err := services.ScanAll(ctx, s.records, jobrecord.OwnerRange(c.pool))
	if err != nil {
		return state, err
	}
	state.version = c.version
	state.used.shards = make(map[services.RecordKey][]byte)
	s.readJobs(&state, append(c.jobs, owner...), s.readProgress(progress))
	for i := range progress {
		if progress[i].RecordKey == jobrecord.SavesKey(c.pool) {
			state.saves = progress[i].Version
		}
	}
	for i := range own {
		s.readPoolRecord(c.pool, &state, &own[i])
	}
	return state, nil
}

func (s *Service) readProgress(records []services.Record) map[string]workload.Progress {
	progress := make(map[string]workload.Progress, len(records))
	for i := range records {
		id, kind := jobrecord.ParseKey(records[i].Key)
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
		if r.Removed {
			continue
		}
		switch id, kind := jobrecord.ParseKey(r.Key); kind {
		case jobrecord.KindOther:
			if r.RecordKey == jobrecord.CordonsKey(r.Part) {
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
	if r.RecordKey == jobrecord.ExecutorsKey(pool) {
		state.used.version = r.Version
	}
	if !jobrecord.IsExecutorShard(r.RecordKey) {
		return
	}
	list, err := jobrecord.DecodeExecutors(r.Value)
	if err != nil {
		s.log.Error().Err(err).Str("record", r.Key).Msg("record cannot be read; left out")
		return
	}
	state.executors = append(state.executors, list...)
	state.used.shards[r.RecordKey] = r.Value
}

func (e loadDone) handle(p *planner) {
	m := p.manager(e.pool, e.term)
	if m == nil {
		return
	}
	if e.err != nil {
		p.loadFailed(m, e.err)
		return
	}
	m.loading = nil
	p.now = p.s.clock()
	if p.superseded(m, e.state.term) {
		return
	}
	m.version = e.state.version
	if m.loaded {
		p.addJobs(m, e.state)
		return
	}
	plan := poolplan.New(m.tenure.Term, m.tenure.ClaimedAt, m.tenure.ReplacedSilentFor, p.s.settings.Params)
	plan.SetCatalog(p.catalog)
	for _, x := range e.state.executors {
		plan.Inherit(p.now, x)
	}
	for _, j := range e.state.specs {
		plan.AddJob(p.now, j.spec, j.progress, m.inherited(&j))
	}
	for _, id := range e.state.cancelled {
		plan.CancelJob(p.now, id)
	}
	m.plan, m.loaded = plan, true
	m.savesVersion, m.used = e.state.saves, e.state.used
	p.cordon(m, e.state.cordons)
	p.s.log.Info().Str("pool", m.pool).Int("term", m.tenure.Term).Int64("fence", m.tenure.Fence).Int("jobs", len(e.state.specs)).
		Int("executors", len(e.state.executors)).Dur("age", p.now.Sub(m.tenure.RenewedAt)).Msg("pool loaded")
	p.applyRegistry(m)
}

// inherited reports whether an earlier owner may have started the job.
func (m *manager) inherited(j *loadedJob) bool {
	if j.spec.SilentOwner > 0 && j.spec.SilentOwner == m.tenure.ReplacedVersion {
		return false
	}
	return j.version < m.tenure.AcquiredVersion
}
