package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// Trimming of the records of ended jobs. A new owner reads the records of all jobs of a
// pool, and most have ended; their texts would take most of that time.
const (
	// minTrimmedText is the length in bytes from which a text is worth a write.
	minTrimmedText = 1000
	// minTrimmedJobs is the number of jobs in a part from which they are trimmed.
	minTrimmedJobs = 4
	// maxTrimmedJobs bounds the jobs in one transaction; each takes two entries of 100.
	maxTrimmedJobs = 45
	// trimInterval is the time between transactions of one pool.
	trimInterval = 300 * time.Millisecond
	// maxTrimQueue bounds the jobs that wait to be trimmed; the next owner finds
	// those beyond it.
	maxTrimQueue = 10_000
)

// trimQueue has the ended jobs of a pool whose records still have a long text.
type trimQueue struct {
	byPart   map[string][]endedJob
	count    int
	inFlight bool
	nextAt   time.Time
}

// endedJob is a job without its text.
type endedJob struct {
	spec    workload.Spec
	version int64
}

// add adds a job that has ended. version is that of its record; zero if unknown.
func (q *trimQueue) add(spec *workload.Spec, version int64) {
	if version == 0 || len(spec.Text) < minTrimmedText {
		return
	}
	j := endedJob{*spec, version}
	j.spec.Text = ""
	q.put(j)
}

func (q *trimQueue) put(j endedJob) {
	if q.count >= maxTrimQueue {
		return
	}
	if q.byPart == nil {
		q.byPart = make(map[string][]endedJob)
	}
	part := jobrecord.JobKey("", j.spec.ID).Part
	q.byPart[part] = append(q.byPart[part], j)
	q.count++
}

// take removes and returns jobs of the part that has the most.
func (q *trimQueue) take() []endedJob {
	fullest := ""
	for part, jobs := range q.byPart {
		if len(jobs) > len(q.byPart[fullest]) {
			fullest = part
		}
	}
	jobs := q.byPart[fullest]
	if len(jobs) < minTrimmedJobs {
		return nil
	}
	n := min(len(jobs), maxTrimmedJobs)
	q.byPart[fullest] = jobs[n:]
	q.count -= n
	return jobs[:n]
}

type trimCall struct {
	ownershipRef
	jobs []endedJob
}

type trimDone struct {
	trimCall
	commit services.RecordCommit
	err    error
}

// trimJobs removes the texts of some ended jobs from their records.
func (p *planner) trimJobs(m *managedPool) {
	if m.trim.inFlight || p.now.Before(m.trim.nextAt) {
		return
	}
	jobs := m.trim.take()
	if len(jobs) == 0 {
		return
	}
	m.trim.inFlight, m.trim.nextAt = true, p.now.Add(trimInterval)
	p.send(p.s.recordCalls, trimCall{m.ref(), jobs})
}

func (c trimCall) run(ctx context.Context, s *Service) event {
	var tx services.RecordTx
	for i := range c.jobs {
		j := &c.jobs[i]
		value, err := jobrecord.EncodeEndedSpec(&j.spec)
		if err != nil {
			return trimDone{c, services.RecordCommit{}, err}
		}
		key := jobrecord.JobKey(c.pool, j.spec.ID)
		// A record that was deleted meanwhile must not come back.
		tx.Conditions = append(tx.Conditions, services.RecordCondition{RecordKey: key, Version: j.version})
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: key, Value: value})
	}
	commit, err := s.records.Commit(ctx, tx)
	return trimDone{c, commit, err}
}

func (c trimCall) notMade() event { return trimDone{c, services.RecordCommit{}, errBacklogFull} }

func (e trimDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil {
		return
	}
	m.trim.inFlight = false
	switch {
	case e.err != nil:
		p.s.log.Debug().Err(e.err).Str("pool", e.pool).Int("jobs", len(e.jobs)).Msg("records of ended jobs not trimmed; retrying")
		for _, j := range e.jobs {
			m.trim.put(j)
		}
	case !e.commit.Committed:
		// A trim without a response took effect, or records were deleted.
		p.s.log.Debug().Str("pool", e.pool).Int("jobs", len(e.jobs)).Msg("records of ended jobs have changed; left as they are")
	}
}
