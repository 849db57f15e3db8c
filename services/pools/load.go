package pools

import (
	"context"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// parallelScans is the number of calls that read the jobs of a pool at once.
	parallelScans = 16
	// maxPartsPerCommit is the largest number of parts of jobs' progress in one
	// transaction; the store accepts 100 entries.
	maxPartsPerCommit = 60
	// maxProgressPerCommit is the largest sum of their sizes (poolplan.ProgressSize).
	// A unit takes up to 23 bytes, 31 as the message encodes them, and the store
	// accepts 1 MB.
	maxProgressPerCommit = 26_000
)

// poolState is everything that the store has of a pool, or what has changed.
type poolState struct {
	jobs      []loadedJob
	cancelled []string
	executors []poolplan.Executor
	cordons   *services.Record
	version   int64
	// savesVersion is the version of the record that each save changes.
	savesVersion    int64
	executorRecords executorRecords
	// ownerRecords has the remaining records, among them that of the owner's term.
	ownerRecords []services.Record
}

type loadedJob struct {
	spec     *workload.Spec
	progress workload.Progress
	version  int64
}

// poolLoad is a read of a pool in progress. The parts that hold the jobs are read
// by several calls at once, and everything else after them: a term record that
// is read last reveals a later owner whose jobs may have been read.
type poolLoad struct {
	scansInFlight int
	jobRecords    []services.Record
	// version is the lowest version of all scans, so that no change after it is
	// missed.
	version int64
	err     error
}

// startLoad starts reading everything that the store has of a pool.
func (p *planner) startLoad(m *managedPool) {
	if m.loading != nil || p.now.Before(m.retryAt) {
		return
	}
	ref := m.ref()
	parts := jobrecord.JobParts()
	if m.ownership.PoolParts {
		parts = append(parts, jobrecord.PoolJobParts(m.name)...)
	}
	m.loading = new(poolLoad)
	for chunk := range slices.Chunk(parts, (len(parts)+parallelScans-1)/parallelScans) {
		m.loading.scansInFlight++
		p.send(p.s.recordCalls, scanCall{ref, chunk})
	}
}

// scanCall reads some of the parts that hold a pool's jobs.
type scanCall struct {
	ownershipRef
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
		done.version = lowestVersion(done.version, version)
	}
	return done
}

// lowestVersion returns the lower of two versions, where zero means none.
func lowestVersion(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

func (c scanCall) notMade() event { return scanDone{scanCall: c, err: errBacklogFull} }

func (e scanDone) handle(p *planner) {
	m := p.managedPool(e.pool, e.term)
	if m == nil || m.loading == nil {
		return
	}
	l := m.loading
	l.scansInFlight--
	l.jobRecords = append(l.jobRecords, e.records...)
	l.version = lowestVersion(l.version, e.version)
	if l.err == nil {
		l.err = e.err
	}
	switch {
	case l.scansInFlight > 0:
	case l.err != nil:
		p.handleLoadError(m, l.err)
	default:
		p.send(p.s.recordCalls, loadCall{e.ownershipRef, l.jobRecords, l.version})
	}
}

func (p *planner) handleLoadError(m *managedPool, err error) {
	p.now = p.s.clock()
	p.s.log.Warn().Err(err).Str("pool", m.name).Msg("pool not loaded; retrying")
	m.loading, m.retryAt = nil, p.now.Add(loadRetryDelay)
}

// loadCall reads the remaining records once the jobs have been read.
type loadCall struct {
	ownershipRef
	jobRecords []services.Record
	version    int64
}

type loadDone struct {
	ownershipRef
	state poolState
	err   error
}

func (c loadCall) run(ctx context.Context, s *Service) event {
	state, err := s.loadPool(ctx, c)
	return loadDone{c.ownershipRef, state, err}
}

func (s *Service) loadPool(ctx context.Context, c loadCall) (poolState, error) {
	var state poolState
	progressRecords, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableProgress, Part: c.pool})
	if err != nil {
		return state, err
	}
	poolRecords, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TablePools, Part: c.pool})
	if err != nil {
		return state, err
	}
	ownerRecords, _, err := services.ScanAll(ctx, s.records, jobrecord.OwnerRange(c.pool))
	if err != nil {
		return state, err
	}
	state.version = c.version
	state.executorRecords.shards = make(map[services.RecordKey][]byte)
	progress, damaged := s.decodeProgress(progressRecords)
	s.decodeJobs(&state, slices.DeleteFunc(append(c.jobRecords, ownerRecords...), func(r services.Record) bool {
		id, _ := jobrecord.ParseKey(r.Key)
		return damaged[id]
	}), progress)
	for i := range progressRecords {
		if progressRecords[i].RecordKey == jobrecord.SavesKey(c.pool) {
			state.savesVersion = progressRecords[i].Version
		}
	}
	for i := range poolRecords {
		s.decodePoolRecord(c.pool, &state, &poolRecords[i])
	}
	return state, nil
}

// decodeProgress returns the progress of each job, and the jobs whose progress
// cannot be decoded. These are not run, because what they have done is not known.
func (s *Service) decodeProgress(records []services.Record) (progress map[string]workload.Progress, damaged map[string]bool) {
	progress = make(map[string]workload.Progress, len(records))
	damaged = make(map[string]bool)
	for i := range records {
		id, kind := jobrecord.ParseKey(records[i].Key)
		if kind != jobrecord.KindProgress {
			continue
		}
		p, err := jobrecord.DecodeProgress(id, records[i].Value)
		if err != nil {
			s.log.Error().Err(err).Str("job", id).Msg("progress cannot be decoded; the job is not run")
			damaged[id] = true
			continue
		}
		merged := progress[id]
		merged.Merge(p)
		progress[id] = merged
	}
	return progress, damaged
}

func (s *Service) decodeJobs(state *poolState, records []services.Record, progress map[string]workload.Progress) {
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
			state.ownerRecords = append(state.ownerRecords, *r)
		case jobrecord.KindCancel:
			state.cancelled = append(state.cancelled, id)
		case jobrecord.KindJob:
			spec, err := jobrecord.DecodeSpec(id, r.Value)
			if err != nil {
				s.log.Error().Err(err).Msg("job cannot be decoded; ignored")
				continue
			}
			state.jobs = append(state.jobs, loadedJob{spec, progress[id], r.Version})
		}
	}
}

func (s *Service) decodePoolRecord(pool string, state *poolState, r *services.Record) {
	if r.RecordKey == jobrecord.ExecutorsKey(pool) {
		state.executorRecords.version = r.Version
	}
	if !jobrecord.IsExecutorShard(r.RecordKey) {
		return
	}
	list, err := jobrecord.DecodeExecutors(r.Value)
	if err != nil {
		s.log.Error().Err(err).Str("record", r.Key).Msg("record of executors cannot be decoded; ignored")
		return
	}
	state.executors = append(state.executors, list...)
	state.executorRecords.shards[r.RecordKey] = r.Value
}

func (c loadCall) notMade() event { return loadDone{ownershipRef: c.ownershipRef, err: errBacklogFull} }

func (e loadDone) handle(p *planner) {
	m := p.managedPool(e.pool, e.term)
	if m == nil {
		return
	}
	if e.err != nil {
		p.handleLoadError(m, e.err)
		return
	}
	m.loading = nil
	p.now = p.s.clock()
	if p.dropIfSuperseded(m, e.state.ownerRecords) {
		return
	}
	m.changesVersion = e.state.version
	if m.loaded {
		p.applyChanges(m, e.state)
		return
	}
	plan := poolplan.New(m.ownership.Term, m.ownership.ClaimedAt, m.ownership.ReplacedSilentFor, p.s.settings.Params)
	plan.SetCatalog(p.catalog)
	for _, x := range e.state.executors {
		plan.Inherit(p.now, x)
	}
	plan.AddJobs(p.now, m.recordedJobs(e.state.jobs))
	for _, id := range e.state.cancelled {
		plan.CancelJob(p.now, id)
	}
	m.plan, m.loaded = plan, true
	m.savesVersion, m.executorRecords = e.state.savesVersion, e.state.executorRecords
	p.applyCordons(m, e.state.cordons)
	p.s.log.Info().Str("pool", m.name).Int("term", m.ownership.Term).Int64("fence", m.ownership.FencingToken).Int("jobs", len(e.state.jobs)).
		Int("executors", len(e.state.executors)).Dur("age", p.now.Sub(m.ownership.RenewedAt)).Msg("pool loaded")
	p.applyRegistry(m)
}

// recordedJobs returns jobs as the plan takes them.
func (m *managedPool) recordedJobs(loaded []loadedJob) []poolplan.RecordedJob {
	jobs := make([]poolplan.RecordedJob, len(loaded))
	for i := range loaded {
		jobs[i] = poolplan.RecordedJob{Spec: loaded[i].spec, Progress: loaded[i].progress, Inherited: m.inherited(&loaded[i])}
	}
	return jobs
}

// inherited reports whether an earlier owner may have started the job.
func (m *managedPool) inherited(j *loadedJob) bool {
	if j.spec.SilentOwner > 0 && j.spec.SilentOwner == m.ownership.ReplacedVersion {
		return false
	}
	return j.version < m.ownership.AcquiredVersion
}
