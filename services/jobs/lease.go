package jobs

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// queue is a queue of a pool of workers, as this host sees its schedule.
type queue struct {
	name    string
	team    string
	pool    string
	class   fleet.QueueClass
	share   float64
	mine    bool
	version uint64
	holder  scheduleRow
	// changed is when this version was first seen.
	changed time.Time
	// asking is set while a commit of the lease is under way.
	asking    bool
	nextRenew time.Time
	scanning  bool
	scanBegan time.Time
	nextScan  time.Time
}

// lease takes free schedules and renews those of this host.
//
// A schedule only saves conflicting work: safety comes from the version of the
// job's row. A host that cannot reach the platform therefore goes on renewing
// task leases until it sees another holder.
func (s *scheduler) lease() {
	s.readDocument()
	if s.draining {
		return
	}
	for _, q := range s.queues {
		if q.mine && !q.asking && !s.now.Before(q.nextRenew) {
			s.ask(q)
		}
	}
	if s.readingLeases || s.now.Before(s.leasesRead.Add(s.svc.config.ScheduleRenew)) {
		return
	}
	var names []string
	for name, q := range s.queues {
		if !q.mine && !q.asking {
			names = append(names, name)
		}
	}
	s.leasesRead = s.now
	if len(names) > 0 {
		slices.Sort(names)
		s.readingLeases = true
		s.post(readLeases{names})
	}
}

func (s *scheduler) ask(q *queue) {
	q.asking = true
	next := scheduleRow{Host: s.self.Host, Incarnation: s.self.Incarnation, Renewal: q.holder.Renewal + 1}
	s.post(commitLease{queue: q.name, version: q.version, next: next})
}

// readDocument brings the list of queues up to date.
func (s *scheduler) readDocument() {
	view := s.svc.state.View()
	if view == nil || view.Document == nil {
		return
	}
	for _, d := range view.Document.Queues() {
		pool, _ := view.Document.Pool(d.Pool)
		team, _ := view.Document.Team(d.Team)
		if pool.Kind == fleet.KindWorker {
			s.setQueue(d, team.Share)
		}
	}
}

func (s *scheduler) setQueue(d document.Queue, share float64) {
	q := s.queues[d.Name]
	if q == nil {
		q = &queue{name: d.Name, changed: s.now}
		s.queues[d.Name] = q
	}
	q.team, q.pool, q.class, q.share = d.Team, d.Pool, d.Class, share
}

// leasesSeen is the outcome of readLeases.
type leasesSeen struct {
	names []string
	rows  []services.Row
	err   error
}

func (l leasesSeen) handle(s *scheduler) {
	s.readingLeases = false
	if l.err != nil {
		return
	}
	for i, name := range l.names {
		if q := s.queues[name]; q != nil && !q.mine {
			s.seeLease(q, l.rows[i])
		}
	}
	s.leavePools()
	for _, name := range l.names {
		if q := s.queues[name]; q != nil && s.mayTake(q) {
			s.ask(q)
		}
	}
}

func (s *scheduler) seeLease(q *queue, r services.Row) {
	if r.Version == q.version && r.Version != 0 {
		return
	}
	q.version = r.Version
	q.changed = s.now
	q.holder = scheduleRow{}
	if r.Version != 0 {
		_ = json.Unmarshal(r.Value, &q.holder)
	}
}

// free reports whether nobody schedules q.
func (s *scheduler) free(q *queue) bool {
	if q.version == 0 || q.holder.Host == "" {
		return true
	}
	if q.holder.Host == s.self.Host {
		// Either an earlier process of this host, which has ended, or a commit
		// of this one whose reply was lost.
		return true
	}
	return s.now.Sub(q.changed) >= s.svc.config.ScheduleLease+leaseMargin
}

// mayTake leaves the queues of a pool to one scheduler, because it alone knows
// the room of the pool's workers. After a second lease time anybody takes it.
func (s *scheduler) mayTake(q *queue) bool {
	if q.mine || q.asking || s.draining || !s.free(q) {
		return false
	}
	waited := s.now.Sub(q.changed) >= 2*(s.svc.config.ScheduleLease+leaseMargin)
	for _, other := range s.queues {
		if other.pool == q.pool && !other.mine && !s.free(other) && !waited {
			return false
		}
	}
	return true
}

// leavePools gives up the queues of a pool whose first queue by name another
// host schedules. Hosts that start together may take some queues each; use by
// team and room in the pool are known only to one that has them all.
func (s *scheduler) leavePools() {
	first := make(map[string]*queue)
	for _, q := range s.queues {
		if f := first[q.pool]; f == nil || q.name < f.name {
			first[q.pool] = q
		}
	}
	for _, q := range s.queues {
		f := first[q.pool]
		if q.mine && !q.asking && !f.mine && !f.asking && !s.free(f) {
			s.give(q)
		}
	}
}

// give ends the lease on a queue.
func (s *scheduler) give(q *queue) {
	s.post(commitLease{queue: q.name, version: q.version, give: true})
	q.mine = false
	q.changed = s.now
}

// leaseCommitted is the outcome of commitLease.
type leaseCommitted struct {
	call   commitLease
	result services.CommitResult
	err    error
}

func (l leaseCommitted) handle(s *scheduler) {
	q := s.queues[l.call.queue]
	if q == nil || l.call.give {
		return
	}
	q.asking = false
	q.nextRenew = s.now.Add(s.svc.config.ScheduleRenew)
	if l.err != nil {
		return
	}
	if !l.result.Committed {
		s.leaseRefused(q, l)
		return
	}
	q.version = l.result.Version
	q.holder = l.call.next
	q.changed = s.now
	if !q.mine && !s.draining {
		q.mine = true
		q.nextScan = s.now
		s.scan()
	}
}

// leaseRefused learns the holder. A commit whose reply was lost shows as this
// host's own row, which counts as committed.
func (s *scheduler) leaseRefused(q *queue, l leaseCommitted) {
	for _, current := range l.result.Current {
		s.seeLease(q, current)
	}
	own := q.holder.Host == s.self.Host && q.holder.Incarnation == s.self.Incarnation
	q.mine = own && !s.draining
	if q.mine {
		q.nextScan = s.now
	}
}

// readLeases reads the schedule rows of several queues.
type readLeases struct{ names []string }

func (r readLeases) run(ctx context.Context, s *Service) event {
	keys := make([]string, len(r.names))
	for i, name := range r.names {
		keys[i] = scheduleKey(name)
	}
	rows, err := s.platform.Get(ctx, keys...)
	return leasesSeen{r.names, rows, err}
}

// commitLease takes, renews or gives up a schedule.
type commitLease struct {
	queue   string
	version uint64
	next    scheduleRow
	give    bool
}

func (c commitLease) run(ctx context.Context, s *Service) event {
	key := scheduleKey(c.queue)
	result, err := s.platform.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: c.version}},
		Writes:     []services.Write{{Key: key, Value: encode(c.next)}},
	})
	return leaseCommitted{c, result, err}
}
