package poolplan

import (
	"cmp"
	"slices"
	"time"
)

// Intervals between updates that take much time in a pool with many jobs.
const (
	// rankInterval is the time between sorts of the ready groups, whose order
	// changes as time passes and when scheduled occurrences are due.
	rankInterval = 100 * time.Millisecond
	// regroupInterval is the time between updates after groups have come or
	// gone.
	regroupInterval = 10 * time.Millisecond
	// regroupIntervalPerGroup is added for each group, because the time for an
	// update grows with their number.
	regroupIntervalPerGroup = 50 * time.Microsecond
	// runCheckInterval is the time between checks of all runs.
	runCheckInterval = 50 * time.Millisecond
	// smallPoolJobs is the number of jobs up to which no update is deferred.
	smallPoolJobs = 32
)

// mayDefer reports whether an update that was made at time last may be deferred
// until pause has passed.
func (p *Plan) mayDefer(now, last time.Time, pause time.Duration) bool {
	return len(p.jobs) > smallPoolJobs && now.Sub(last) < pause
}

// refreshGroups updates the list of groups that are ready and sorts it in the
// order of service.
func (p *Plan) refreshGroups(now time.Time) {
	pause := rankInterval
	if p.groupsChanged {
		pause = min(regroupInterval+time.Duration(len(p.readyGroups))*regroupIntervalPerGroup, rankInterval)
	}
	if p.mayDefer(now, p.groupsListedAt, pause) {
		return
	}
	p.groupsChanged, p.groupsListedAt = false, now
	p.readyGroups = p.readyGroups[:0]
	for _, j := range p.jobs {
		if j.closed() {
			continue
		}
		for _, o := range j.occurrences {
			p.addGroups(now, j, o)
		}
	}
	for _, g := range p.readyGroups {
		g.lateness, g.priority = p.lateness(now, g), p.catalog.TermsOf(&g.job.spec.Queue).Priority
	}
	slices.SortFunc(p.readyGroups, compareGroups)
}

func (p *Plan) addGroups(now time.Time, j *job, o *occurrence) {
	if o.openTasks == 0 || now.Before(j.spec.Due(o.number)) {
		return
	}
	for _, g := range o.groups {
		if g.doneCount == len(g.tasks) || !o.dependenciesDone(g) {
			continue
		}
		if !g.ready {
			g.ready, g.readyAt = true, now
		}
		p.readyGroups = append(p.readyGroups, g)
	}
}

func (o *occurrence) dependenciesDone(g *group) bool {
	for _, a := range g.step.After {
		if a < 0 || a >= len(o.groups) {
			continue
		}
		if dep := o.groups[a]; dep.doneCount < len(dep.tasks) {
			return false
		}
	}
	return true
}

// compareGroups orders groups: first the jobs that can still be on time and are
// within their tenant's share, then by priority, then by compareAge.
func compareGroups(a, b *group) int {
	if a.job != b.job {
		return cmp.Or(
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.priority, b.priority),
			a.compareAge(b),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		)
	}
	return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.stepIndex, b.stepIndex))
}

// Classes of groups by the value that finishing their job still has.
const (
	onTime = iota
	// tight jobs are not under way and will be on time only if their tasks take
	// hardly longer than expected.
	tight
	late
	worthless
)

// tightPercent is the percentage of the expected time below which the time left
// until a job's objective is tight, if the job is not under way. Tasks take up to
// half an order of magnitude longer than expected.
const tightPercent = 130

// lateness returns the group's class: whether its job can still complete on
// time, or late but with some value. Service tasks are never late.
func (p *Plan) lateness(now time.Time, g *group) int {
	j := g.job
	if j.spec.Times > 0 || g.step.Service {
		return onTime
	}
	allowance, remaining := p.allowedTime(j.spec), p.remainingTime(j.spec, g.stepIndex)
	left := j.spec.AcceptedAt.Add(allowance).Sub(now)
	switch {
	case remaining > left+(worthlessFactor-1)*allowance:
		return worthless
	case remaining > left || j.beyondShare:
		return late
	case !j.underWay() && remaining*tightPercent/100 > left:
		return tight
	}
	return onTime
}

// compareAge orders groups of one class and priority: on-time jobs that are
// under way come first, because their work is lost when they are late, then the
// oldest. Of the tight ones the newest comes first: when a queue asks for more
// than there is room for, starting the oldest first would start every job at
// the last moment, and all would end slightly late.
func (g *group) compareAge(o *group) int {
	byAcceptance := g.job.spec.AcceptedAt.Compare(o.job.spec.AcceptedAt)
	switch {
	case g.lateness == tight:
		return -byAcceptance
	case g.lateness != onTime || g.job.underWay() == o.job.underWay():
		return byAcceptance
	case g.job.underWay():
		return -1
	}
	return 1
}
