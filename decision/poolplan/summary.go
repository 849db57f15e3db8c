package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
)

const (
	// shrinkPercent is the loss of capacity between two summaries, in percent, above
	// which the pool is unsettled: an availability zone is cut off or evacuated.
	shrinkPercent = 10
	// settleTime is how long a pool is unsettled after that: machines of the standby
	// pool take a move (1.5 s) and a second to join.
	settleTime = 3 * time.Second
)

// summarizedCapacity is the capacity at the last summary.
type summarizedCapacity struct {
	milliCPU int64
	shrunkAt time.Time
}

// settled records the capacity, and reports whether it has not shrunk a short time ago.
func (c *summarizedCapacity) settled(now time.Time, milliCPU int64) bool {
	if milliCPU*100 < c.milliCPU*(100-shrinkPercent) {
		c.shrunkAt = now
	}
	c.milliCPU = milliCPU
	return c.shrunkAt.IsZero() || now.Sub(c.shrunkAt) >= settleTime
}

// Summary returns the load of the pool, from which hosts estimate when a new job would
// start and end. It returns nil if that is not known: after a takeover, while a later
// owner may exist, and after a loss of capacity.
func (p *Plan) Summary(now time.Time) *waitestimate.Summary {
	s := &waitestimate.Summary{At: now}
	capacity := p.summarizeRuns(now, s)
	settled := p.summarized.settled(now, capacity)
	if p.catalog == nil || !p.inheritedRunsKnown || p.mayBeSuperseded || p.superseded || !settled {
		return nil
	}
	p.summarizeWaiting(now, s)
	if s.Waits() {
		p.summarizeTenants(now, s)
	}
	return s
}

// summarizeRuns adds the capacity that is in use and free, and returns all that accepts
// work.
func (p *Plan) summarizeRuns(now time.Time, s *waitestimate.Summary) (capacity int64) {
	for _, e := range p.executors {
		if !p.mayStartOn(e) {
			continue
		}
		capacity += e.Capacity.MilliCPU
		s.FreeMilliCPU += max(e.free().MilliCPU, 0)
		for _, r := range e.runs {
			step := r.task.group.step
			if step.Service {
				continue
			}
			s.UsedMilliCPU += step.Demand().MilliCPU
			expected := p.taskDurations[r.task.group.job.spec.Queue.Name].expected(step.Estimate)
			s.Running = s.Running.Plus(amountOf(max(expected-now.Sub(r.orderedAt), 0), step.Demand().MilliCPU, 1))
		}
	}
	return capacity
}

func amountOf(d time.Duration, milliCPU int64, tasks int) waitestimate.Amount {
	return waitestimate.Amount{CoreMs: d.Seconds() * float64(milliCPU) * float64(tasks), Tasks: tasks}
}

// waitingGroup is the waiting work of one group.
type waitingGroup struct {
	group *group
	class int
	// readyIn is the expected time until the group can start if nothing waits.
	readyIn time.Duration
	amount  waitestimate.Amount
}

// summarizeWaiting adds the waiting work. A later step counts if it can be ready while
// the steps that are ready now are on average still waiting; the work of one that becomes
// ready after that does not precede a new job.
func (p *Plan) summarizeWaiting(now time.Time, s *waitestimate.Summary) {
	groups := p.waitingGroups(now)
	ready := 0.0
	for i := range groups {
		if groups[i].readyIn == 0 {
			ready += groups[i].amount.CoreMs
		}
	}
	cores := float64(max(s.UsedMilliCPU+s.FreeMilliCPU, 1)) / 1000
	horizonMs := ready / cores / 2
	s.Preferred, s.Other, s.Beyond = waitestimate.Work{}, waitestimate.Work{}, make(map[string]waitestimate.Work)
	for i := range groups {
		if w := &groups[i]; float64(w.readyIn.Milliseconds()) <= horizonMs {
			p.addWaiting(s, w)
		}
	}
}

func (p *Plan) addWaiting(s *waitestimate.Summary, w *waitingGroup) {
	spec := w.group.job.spec
	work := s.Preferred
	switch {
	case w.group.job.beyondShare:
		if s.Beyond[spec.Tenant] == nil {
			s.Beyond[spec.Tenant] = waitestimate.Work{}
		}
		work = s.Beyond[spec.Tenant]
	case w.class == late:
		work = s.Other
	}
	work.Add(p.catalog.TermsOf(&spec.Queue).Priority, w.amount)
}

// waitingGroups returns the groups with waiting tasks of all jobs that have value. Tenants
// at their limit use no more of the pool, so that their work does not precede that of
// others.
func (p *Plan) waitingGroups(now time.Time) []waitingGroup {
	var groups []waitingGroup
	for _, j := range p.jobs {
		if _, blocked := p.blockedTenants[j.spec.Tenant]; blocked || j.closed() {
			continue
		}
		for _, o := range j.occurrences {
			if o.openTasks > 0 && !now.Before(j.spec.Due(o.number)) {
				groups = p.appendWaiting(now, groups, o)
			}
		}
	}
	return groups
}

// appendWaiting appends the waiting groups of one occurrence. Its first group that is not
// done decides on the class of all.
func (p *Plan) appendWaiting(now time.Time, groups []waitingGroup, o *occurrence) []waitingGroup {
	ends := make([]time.Duration, len(o.groups))
	class := -1
	for i, g := range o.groups {
		if g.doneCount == len(g.tasks) || g.step.Service {
			continue
		}
		if class < 0 {
			class = p.lateness(now, g)
		}
		if class == worthless {
			break
		}
		w := waitingGroup{group: g, class: class}
		for _, a := range g.step.After {
			if a >= 0 && a < i {
				w.readyIn = max(w.readyIn, ends[a])
			}
		}
		expected := p.taskDurations[g.job.spec.Queue.Name].expected(g.step.Estimate)
		ends[i] = w.readyIn + expected
		if tasks := g.waitingTasks(); tasks > 0 {
			w.amount = amountOf(expected, g.step.Demand().MilliCPU, tasks)
			groups = append(groups, w)
		}
	}
	return groups
}

// summarizeTenants adds which tenants have spent their share, and what was learned of the
// queues. Both matter only while work waits.
func (p *Plan) summarizeTenants(now time.Time, s *waitestimate.Summary) {
	s.ShareSpent = make(map[string]bool)
	for tenant, b := range p.shareBuckets {
		weight := p.catalog.Tenants[tenant].Weight
		if weight > 0 && b.tokens+max(now.Sub(b.filledAt).Seconds(), 0)*weight < 1 {
			s.ShareSpent[tenant] = true
		}
	}
	s.Durations = make(map[string]waitestimate.Durations, len(p.taskDurations))
	for queue, d := range p.taskDurations {
		if learned := d.learned(); learned.Learned {
			s.Durations[queue] = learned
		}
	}
}
