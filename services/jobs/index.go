package jobs

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// rereadWaiting is the time between two reads of a waiting job's row.
const rereadWaiting = 30 * time.Second

// readBatch is the largest number of rows in one read.
const readBatch = 64

// scan reads the index of open jobs of each queue of this host that is due.
func (s *scheduler) scan() {
	for _, q := range s.queues {
		if q.mine && !q.scanning && !s.now.Before(q.nextScan) {
			q.scanning = true
			q.scanBegan = s.now
			q.nextScan = s.now.Add(s.indexEvery(q))
			s.post(scanIndex{q.name})
		}
	}
}

func (s *scheduler) indexEvery(q *queue) time.Duration {
	if q.class == fleet.ClassUrgent {
		return s.svc.config.UrgentIndexEvery
	}
	return s.svc.config.IndexEvery
}

// scanIndex reads all open jobs of a queue.
type scanIndex struct{ queue string }

func (c scanIndex) run(ctx context.Context, s *Service) event {
	out := indexSeen{queue: c.queue, open: make(map[string]uint64)}
	prefix, after := openQueuePrefix(c.queue), ""
	for more := true; more && out.err == nil; {
		var rows []services.Row
		out.pages++
		rows, more, out.err = s.platform.Scan(ctx, prefix, after, listPage)
		for _, r := range rows {
			out.open[r.Key[len(prefix):]] = r.Version
			after = r.Key
		}
		more = more && len(rows) > 0
	}
	return out
}

// indexSeen is the outcome of scanIndex: the open jobs and the versions of
// their index rows.
type indexSeen struct {
	queue string
	open  map[string]uint64
	pages int
	err   error
}

func (i indexSeen) handle(s *scheduler) {
	q := s.queues[i.queue]
	if q == nil {
		return
	}
	q.scanning = false
	// A long index is read less often, so that the reads a second of a queue
	// do not grow with the number of its jobs.
	if pause := time.Duration(i.pages) * s.indexEvery(q); i.pages > 1 {
		q.nextScan = later(q.nextScan, q.scanBegan.Add(pause))
	}
	if i.err != nil || !q.mine {
		return
	}
	var read []string
	for name, version := range i.open {
		if e := s.jobs[name]; e == nil || e.indexVersion != version || s.mayBeStale(e) {
			read = append(read, name)
		}
	}
	for name, e := range s.jobs {
		if _, open := i.open[name]; !open && e.row.Queue == i.queue && !e.busy {
			read = append(read, name)
		}
	}
	s.read(read, i.open)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mayBeStale reports whether a waiting job's row is due to be read again. An
// earlier scheduler may have placed the job by a commit that took effect after
// this one had read the row; without a free right this host would not notice.
func (s *scheduler) mayBeStale(e *entry) bool {
	return e.row.State == job.Queued && !e.busy && !s.now.Before(e.readAt.Add(rereadWaiting))
}

func (s *scheduler) read(names []string, index map[string]uint64) {
	for len(names) > 0 {
		n := min(len(names), readBatch)
		s.post(readJobs{names[:n], index})
		names = names[n:]
	}
}

// readJobs reads the rows of jobs.
type readJobs struct {
	names []string
	index map[string]uint64
}

func (r readJobs) run(ctx context.Context, s *Service) event {
	keys := make([]string, len(r.names))
	for i, name := range r.names {
		keys[i] = jobKey(name)
	}
	rows, err := s.platform.Get(ctx, keys...)
	if err != nil {
		return nil
	}
	return jobsSeen{r, rows}
}

// jobsSeen is the outcome of readJobs.
type jobsSeen struct {
	call readJobs
	rows []services.Row
}

func (j jobsSeen) handle(s *scheduler) {
	for i, name := range j.call.names {
		s.see(name, j.rows[i], j.call.index[name])
	}
	s.place()
}

// see takes a row as read. Rows of jobs that this host neither schedules nor
// holds a right for are dropped.
func (s *scheduler) see(name string, raw services.Row, indexVersion uint64) {
	e := s.jobs[name]
	if raw.Version == 0 {
		if e != nil && !e.busy {
			s.drop(e)
		}
		return
	}
	r, err := decodeRow(raw, "schedule-job")
	if err != nil {
		s.svc.log.Error().Err(err).Str("step", "schedule-job").Msg("row cannot be read")
		return
	}
	if e == nil {
		e = &entry{name: name, leaseFrom: s.now, size: r.Declared}
		s.jobs[name] = e
	}
	if indexVersion != 0 {
		e.indexVersion = indexVersion
	}
	if !e.busy && raw.Version >= e.version {
		s.setRow(e, *r, raw.Version)
		e.readAt = s.now
		s.settle(e)
	}
}
