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

// queue is a queue of a pool of workers, with its schedule lease as last read.
type queue struct {
	name         string
	team         string
	pool         string
	class        fleet.QueueClass
	share        float64
	leased       bool
	leaseVersion uint64
	holder       scheduleRow
	// leaseChangedAt is when leaseVersion was first seen.
	leaseChangedAt time.Time
	// committing is set while a commit of the lease is in flight.
	committing    bool
	nextRenew     time.Time
	scanning      bool
	scanStartedAt time.Time
	nextScan      time.Time
}

// updateLeases acquires free schedule leases and renews those of this host.
//
// A schedule lease only avoids conflicting work; safety comes from the version
// of the job's row. A host that cannot reach the platform therefore keeps
// renewing task leases until it reads another holder.
func (s *scheduler) updateLeases() {
	s.syncQueues()
	if s.draining {
		return
	}
	for _, q := range s.queues {
		if q.leased && !q.committing && !s.now.Before(q.nextRenew) {
			s.requestLease(q)
		}
	}
	if s.readingLeases || s.now.Before(s.leasesReadAt.Add(s.svc.config.ScheduleRenewInterval)) {
		return
	}
	var names []string
	for name, q := range s.queues {
		if !q.leased && !q.committing {
			names = append(names, name)
		}
	}
	s.leasesReadAt = s.now
	if len(names) > 0 {
		slices.Sort(names)
		s.readingLeases = true
		s.post(readLeases{names})
	}
}

func (s *scheduler) requestLease(q *queue) {
	q.committing = true
	next := scheduleRow{Host: s.self.Host, Incarnation: s.self.Incarnation, Renewal: q.holder.Renewal + 1}
	s.post(commitLease{queue: q.name, version: q.leaseVersion, next: next})
}

// syncQueues updates the list of queues from the configuration document.
func (s *scheduler) syncQueues() {
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
		q = &queue{name: d.Name, leaseChangedAt: s.now}
		s.queues[d.Name] = q
	}
	q.team, q.pool, q.class, q.share = d.Team, d.Pool, d.Class, share
}

// leasesRead is the outcome of readLeases.
type leasesRead struct {
	names []string
	rows  []services.Row
	err   error
}

func (l leasesRead) handle(s *scheduler) {
	s.readingLeases = false
	if l.err != nil {
		return
	}
	for i, name := range l.names {
		if q := s.queues[name]; q != nil && !q.leased {
			s.updateLease(q, l.rows[i])
		}
	}
	s.releaseSplitPools()
	for _, name := range l.names {
		if q := s.queues[name]; q != nil && s.mayAcquire(q) {
			s.requestLease(q)
		}
	}
}

func (s *scheduler) updateLease(q *queue, r services.Row) {
	if r.Version == q.leaseVersion && r.Version != 0 {
		return
	}
	q.leaseVersion = r.Version
	q.leaseChangedAt = s.now
	q.holder = scheduleRow{}
	if r.Version != 0 {
		_ = json.Unmarshal(r.Value, &q.holder)
	}
}

// isFree reports whether no other process holds a current schedule lease on q.
func (s *scheduler) isFree(q *queue) bool {
	if q.leaseVersion == 0 || q.holder.Host == "" {
		return true
	}
	if q.holder.Host == s.self.Host {
		// The holder is either an earlier process of this host, which has
		// ended, or this process after a commit whose reply was lost.
		return true
	}
	return s.now.Sub(q.leaseChangedAt) >= s.svc.config.ScheduleLease+leaseMargin
}

// mayAcquire leaves the queues of a pool to one scheduler, because only it
// knows the free resources of the workers. After a second lease any host may
// take them.
func (s *scheduler) mayAcquire(q *queue) bool {
	if q.leased || q.committing || s.draining || !s.isFree(q) {
		return false
	}
	waited := s.now.Sub(q.leaseChangedAt) >= 2*(s.svc.config.ScheduleLease+leaseMargin)
	for _, other := range s.queues {
		if other.pool == q.pool && !other.leased && !s.isFree(other) && !waited {
			return false
		}
	}
	return true
}

// releaseSplitPools releases the queues of a pool whose first queue by name
// another host schedules. Hosts that start together may acquire some queues
// each; use by team and free resources are known only to a host that has them
// all.
func (s *scheduler) releaseSplitPools() {
	first := make(map[string]*queue)
	for _, q := range s.queues {
		if f := first[q.pool]; f == nil || q.name < f.name {
			first[q.pool] = q
		}
	}
	for _, q := range s.queues {
		f := first[q.pool]
		if q.leased && !q.committing && !f.leased && !f.committing && !s.isFree(f) {
			s.releaseLease(q)
		}
	}
}

// releaseLease releases the schedule lease of a queue.
func (s *scheduler) releaseLease(q *queue) {
	s.post(commitLease{queue: q.name, version: q.leaseVersion, release: true})
	q.leased = false
	q.leaseChangedAt = s.now
}

// leaseCommitted is the outcome of commitLease.
type leaseCommitted struct {
	call   commitLease
	result services.CommitResult
	err    error
}

func (l leaseCommitted) handle(s *scheduler) {
	q := s.queues[l.call.queue]
	if q == nil || l.call.release {
		return
	}
	q.committing = false
	q.nextRenew = s.now.Add(s.svc.config.ScheduleRenewInterval)
	if l.err != nil {
		return
	}
	if !l.result.Committed {
		s.handleLeaseConflict(q, l)
		return
	}
	q.leaseVersion = l.result.Version
	q.holder = l.call.next
	q.leaseChangedAt = s.now
	if !q.leased && !s.draining {
		q.leased = true
		q.nextScan = s.now
		s.scanDueQueues()
	}
}

// handleLeaseConflict records the holder. After a commit whose reply was lost
// the row names this process, which counts as committed.
func (s *scheduler) handleLeaseConflict(q *queue, l leaseCommitted) {
	for _, current := range l.result.Current {
		s.updateLease(q, current)
	}
	own := q.holder.Host == s.self.Host && q.holder.Incarnation == s.self.Incarnation
	q.leased = own && !s.draining
	if q.leased {
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
	return leasesRead{r.names, rows, err}
}

// commitLease acquires, renews or releases a schedule lease.
type commitLease struct {
	queue   string
	version uint64
	next    scheduleRow
	release bool
}

func (c commitLease) run(ctx context.Context, s *Service) event {
	key := scheduleKey(c.queue)
	result, err := s.platform.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: c.version}},
		Writes:     []services.Write{{Key: key, Value: encode(c.next)}},
	})
	return leaseCommitted{c, result, err}
}
