package jobs

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// waitingRereadInterval is the time between two reads of a waiting job's row.
const waitingRereadInterval = 30 * time.Second

// readBatchSize is the largest number of rows in one read.
const readBatchSize = 64

// scanDueQueues reads the index of open jobs of each queue of this host that is due.
func (s *scheduler) scanDueQueues() {
	for _, q := range s.queues {
		if q.leased && !q.scanning && !s.now.Before(q.nextScan) {
			q.scanning = true
			q.scanStartedAt = s.now
			q.nextScan = s.now.Add(s.scanInterval(q))
			s.post(scanIndex{q.name})
		}
	}
}

func (s *scheduler) scanInterval(q *queue) time.Duration {
	if q.class == fleet.ClassUrgent {
		return s.svc.config.UrgentScanInterval
	}
	return s.svc.config.IndexScanInterval
}

// scanIndex reads all open jobs of a queue.
type scanIndex struct{ queue string }

func (c scanIndex) run(ctx context.Context, s *Service) event {
	out := indexScanned{queue: c.queue, open: make(map[string]uint64)}
	prefix, after := openQueuePrefix(c.queue), ""
	for more := true; more && out.err == nil; {
		var rows []services.Row
		out.pages++
		rows, more, out.err = s.platform.Scan(ctx, prefix, after, scanPageSize)
		for _, r := range rows {
			out.open[r.Key[len(prefix):]] = r.Version
			after = r.Key
		}
		more = more && len(rows) > 0
	}
	return out
}

// indexScanned is the outcome of scanIndex: the open jobs and the versions of
// their index rows.
type indexScanned struct {
	queue string
	open  map[string]uint64
	pages int
	err   error
}

func (i indexScanned) handle(s *scheduler) {
	q := s.queues[i.queue]
	if q == nil {
		return
	}
	q.scanning = false
	// A long index is read less often, so that the reads a second of a queue
	// do not grow with the number of its jobs.
	if pause := time.Duration(i.pages) * s.scanInterval(q); i.pages > 1 {
		q.nextScan = later(q.nextScan, q.scanStartedAt.Add(pause))
	}
	if i.err != nil || !q.leased {
		return
	}
	var read []string
	for name, version := range i.open {
		if e := s.jobs[name]; e == nil || e.indexVersion != version || s.isRereadDue(e) {
			read = append(read, name)
		}
	}
	for name, e := range s.jobs {
		if _, open := i.open[name]; !open && e.row.Queue == i.queue && !e.committing {
			read = append(read, name)
		}
	}
	s.readRows(read, i.open)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isRereadDue reports whether a waiting job's row is due to be read again. An
// earlier scheduler may have placed the job by a commit that took effect after
// this one had read the row; without a free right this host would not notice.
func (s *scheduler) isRereadDue(e *entry) bool {
	return e.row.State == job.Queued && !e.committing && !s.now.Before(e.readAt.Add(waitingRereadInterval))
}

func (s *scheduler) readRows(names []string, index map[string]uint64) {
	for len(names) > 0 {
		n := min(len(names), readBatchSize)
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
	return jobsRead{r, rows}
}

// jobsRead is the outcome of readJobs.
type jobsRead struct {
	call readJobs
	rows []services.Row
}

func (j jobsRead) handle(s *scheduler) {
	for i, name := range j.call.names {
		s.updateFromRow(name, j.rows[i], j.call.index[name])
	}
	s.placeJobs()
}

// updateFromRow takes a row as read. Rows of jobs that this host neither schedules nor
// holds a right for are dropped.
func (s *scheduler) updateFromRow(name string, raw services.Row, indexVersion uint64) {
	e := s.jobs[name]
	if raw.Version == 0 {
		if e != nil && !e.committing {
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
		e = &entry{name: name, leaseExtendedAt: s.now, size: r.Declared}
		s.jobs[name] = e
	}
	if indexVersion != 0 {
		e.indexVersion = indexVersion
	}
	if !e.committing && raw.Version >= e.version {
		s.setRow(e, *r, raw.Version)
		e.readAt = s.now
		s.reconcile(e)
	}
}
