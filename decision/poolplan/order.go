package poolplan

import (
	"cmp"
	"slices"
	"time"
)

// Pauses between renewals of what costs time in a pool with many jobs.
const (
	// rankInterval separates renewals of the order, which changes as time passes
	// and when timed jobs are due.
	rankInterval = 100 * time.Millisecond
	// regroupInterval separates renewals because groups have come or gone.
	regroupInterval = 10 * time.Millisecond
	// regroupIntervalPerGroup is added for each group, because the time that it takes grows
	// with their number.
	regroupIntervalPerGroup = 50 * time.Microsecond
	// runCheckInterval separates looks at all runs.
	runCheckInterval = 50 * time.Millisecond
	// smallPoolJobs is the number of jobs up to which nothing of this is put off.
	smallPoolJobs = 32
)

// mayDefer reports whether what was done at last may wait until a pause is over.
func (p *Plan) mayDefer(now, last time.Time, pause time.Duration) bool {
	return len(p.jobs) > smallPoolJobs && now.Sub(last) < pause
}

// refreshGroups renews the list of groups that are ready, in the order in which
// they are served.
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
		g.lateness, g.priority = p.lateness(now, g), p.priority(g.job)
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
// within their tenant's share, then by priority, then as compareAge says.
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

// Classes of groups by what their job can still be worth.
const (
	onTime = iota
	// tight jobs have not begun and are on time only if their tasks take hardly
	// longer than expected.
	tight
	late
	worthless
)

// tightPercent of the expected time of a job that has not begun has to be left
// until its objective; otherwise it is tight. Tasks take up to half an order longer
// than expected.
const tightPercent = 130

// lateness tells whether the group's job can still be complete on time, or at
// least late. Service work is never late.
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
	case !j.begun && remaining*tightPercent/100 > left:
		return tight
	}
	return onTime
}

func (p *Plan) priority(j *job) int {
	if q, ok := p.catalog.Queue(j.spec.Queue); ok {
		return q.Priority
	}
	return 0
}

// compareAge orders groups of one class and priority: jobs under way first, because
// their work is lost when they are late, then the oldest. Of the tight ones the
// newest comes first: when a queue asks for more than there is room for, the oldest
// would all start as late as they just can, and end late by a little.
func (g *group) compareAge(o *group) int {
	oldest := g.job.spec.AcceptedAt.Compare(o.job.spec.AcceptedAt)
	switch {
	case g.lateness == tight:
		return -oldest
	case g.lateness != onTime || g.job.begun == o.job.begun:
		return oldest
	case g.job.begun:
		return -1
	}
	return 1
}
