package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
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
	progress, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableProgress, Part: pool})
	if err != nil {
		return state, err
	}
	own, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TablePools, Part: pool})
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
		records, version, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableJobs(pool), Part: part})
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
		if r.Removed {
			continue
		}
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
	plan := poolplan.New(m.tenure.Term, m.tenure.RenewedAt, p.s.settings.Params)
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
