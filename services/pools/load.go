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
	// parallelScans is the largest number of calls that read the jobs of a pool at
	// once, and partsPerScan the number of parts that one of them reads.
	parallelScans = 16
	partsPerScan  = 4
	// scanPageRows bounds the answers to these calls. A job takes up to 6 KB of them,
	// and the slowest links of entry hosts carry 10 Mbit/s: 50 jobs take a quarter of
	// a second, which is less than the shortest timeout.
	scanPageRows = 50
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
	savesVersion int64
	// startsInDoubt has the starts that earlier owners have recorded, startsKnown says
	// whether they did.
	startsInDoubt   []poolplan.StartInDoubt
	startsKnown     bool
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
// is read last reveals a later owner whose jobs may have been read. What has been
// read stays when a call fails.
type poolLoad struct {
	// unread has the parts that no call has read or is reading.
	unread        []string
	scansInFlight int
	// maxScans is the number of calls at once. All share the link of the host, so it
	// shrinks when calls time out.
	maxScans   int
	nextCallAt time.Time
	jobRecords []services.Record
	// version is the lowest version of all scans, so that no change after it is
	// missed.
	version int64
	// restInFlight is set while the remaining records are read.
	restInFlight bool
}

// startLoad starts reading everything that the store has of a pool.
func (p *planner) startLoad(m *managedPool) {
	if m.loading == nil {
		parts := jobrecord.JobParts()
		if m.ownership.PoolParts {
			parts = append(parts, jobrecord.PoolJobParts(m.name)...)
		}
		m.loading = &poolLoad{unread: parts, maxScans: parallelScans}
	}
	p.continueLoad(m)
}

// continueLoad sends the next calls of a load.
func (p *planner) continueLoad(m *managedPool) {
	l := m.loading
	if l == nil || l.restInFlight || p.now.Before(l.nextCallAt) {
		return
	}
	for l.scansInFlight < l.maxScans && len(l.unread) > 0 {
		n := min(partsPerScan, len(l.unread))
		l.scansInFlight++
		p.send(p.s.recordCalls, scanCall{m.ref(), slices.Clone(l.unread[:n])})
		l.unread = l.unread[n:]
	}
	if l.scansInFlight == 0 && len(l.unread) == 0 {
		l.restInFlight = true
		p.send(p.s.recordCalls, loadCall{m.ref(), l.jobRecords, l.version})
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
	// unread has the parts that were not read, if err is set.
	unread []string
	err    error
}

func (c scanCall) run(ctx context.Context, s *Service) event {
	done := scanDone{scanCall: c}
	for i, part := range c.parts {
		r := services.RecordRange{Table: jobrecord.TableJobs(c.pool), Part: part, Limit: scanPageRows}
		records, version, err := services.ScanAll(ctx, s.records, r)
		if err != nil {
			done.unread, done.err = c.parts[i:], err
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

func (c scanCall) notMade() event { return scanDone{scanCall: c, unread: c.parts, err: errBacklogFull} }

func (e scanDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil || m.loading == nil {
		return
	}
	p.now = p.s.clock()
	l := m.loading
	l.scansInFlight--
	l.jobRecords = append(l.jobRecords, e.records...)
	l.version = lowestVersion(l.version, e.version)
	l.unread = append(l.unread, e.unread...)
	if e.err == nil {
		l.maxScans = min(l.maxScans+1, parallelScans)
	} else {
		l.maxScans = max(l.maxScans/2, 1)
		p.delayLoad(m, e.err)
	}
	p.continueLoad(m)
}

// delayLoad delays the next call of a load after one that failed.
func (p *planner) delayLoad(m *managedPool, err error) {
	l := m.loading
	l.nextCallAt = p.now.Add(loadRetryDelay)
	p.s.log.Warn().Err(err).Str("pool", m.name).Int("parts", len(l.unread)).Int("records", len(l.jobRecords)).Int("calls", l.maxScans).Msg("pool not loaded; retrying")
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
			s.decodeSaves(c.pool, &state, &progressRecords[i])
		}
	}
	for i := range poolRecords {
		s.decodePoolRecord(c.pool, &state, &poolRecords[i])
	}
	return state, nil
}

// decodeSaves decodes the record that changes with each save. If it cannot be decoded, the
// starts of earlier owners are not known.
func (s *Service) decodeSaves(pool string, state *poolState, r *services.Record) {
	state.savesVersion = r.Version
	var err error
	if state.startsInDoubt, state.startsKnown, err = jobrecord.DecodeSaves(r.Value); err != nil {
		s.log.Error().Err(err).Str("pool", pool).Msg("starts in doubt cannot be decoded; not known which starts are late")
	}
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
	m := p.managedPool(e.ownershipRef)
	if m == nil || m.loading == nil {
		return
	}
	p.now = p.s.clock()
	if e.err != nil {
		m.loading.restInFlight = false
		p.delayLoad(m, e.err)
		return
	}
	m.loading = nil
	if p.dropIfSuperseded(m, e.state.ownerRecords) {
		return
	}
	m.changesVersion = e.state.version
	if m.loaded {
		p.applyChanges(m, e.state)
		return
	}
	plan := poolplan.New(m.ownership.Term, m.ownership.ClaimedAt, m.ownership.ReplacedSilentFor, p.s.settings.Params)
	plan.SetEvacuated(zonesOf(p.evacuations))
	plan.SetCatalog(p.catalog)
	for _, x := range e.state.executors {
		plan.Inherit(p.now, x)
	}
	plan.AddJobs(p.now, m.recordedJobs(e.state.jobs))
	for _, j := range e.state.jobs {
		if j.progress.State.Ended() {
			m.trim.add(j.spec, j.version)
		}
	}
	for _, id := range e.state.cancelled {
		plan.CancelJob(p.now, id)
	}
	if e.state.startsKnown {
		plan.InheritStarts(e.state.startsInDoubt)
	}
	m.plan, m.loaded = plan, true
	m.savesVersion, m.executorRecords = e.state.savesVersion, e.state.executorRecords
	p.applyCordons(m, e.state.cordons)
	p.s.log.Info().Str("pool", m.name).Int("term", m.ownership.Term).Int64("fence", m.ownership.FencingToken).Int("jobs", len(e.state.jobs)).
		Int("executors", len(e.state.executors)).Bool("starts_known", e.state.startsKnown).Int("starts_in_doubt", len(e.state.startsInDoubt)).Dur("age", p.now.Sub(m.ownership.RenewedAt)).Msg("pool loaded")
	p.applyRegistry(m)
}

// recordedJobs returns jobs as the plan takes them.
func (m *managedPool) recordedJobs(loaded []loadedJob) []poolplan.RecordedJob {
	jobs := make([]poolplan.RecordedJob, len(loaded))
	for i := range loaded {
		jobs[i] = poolplan.RecordedJob{Spec: loaded[i].spec, Version: loaded[i].version, Progress: loaded[i].progress, Inherited: m.inherited(&loaded[i])}
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
