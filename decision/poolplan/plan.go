// Package poolplan plans the work of one pool: which task starts on which
// executor, which runs are stopped, held and paced, and what has to be saved.
//
// A Plan is driven by messages (jobs, executors, answers, reports) and by
// calls of Step, and returns orders. It performs no I/O and reads no clock.
package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Params are the bounds of the deployment that the plan depends on.
type Params struct {
	// HoldMax is the longest lease that an executor grants.
	HoldMax time.Duration
	// LeaseCap is when, after the last confirmed renewal of an owner, all leases
	// end that it grants.
	LeaseCap time.Duration
}

// Timing of the plan.
const (
	// holdWait is how long an executor may hold back a report for want of an
	// end. The protocol allows 2 s; shorter waits notice silence sooner.
	holdWait = 1500 * time.Millisecond
	// holdPause collects ends that follow each other closely in one report. A
	// large pool collects for longer, because every report costs its owner
	// processor time: holdPauseEach is added for each executor, up to
	// holdPauseMost.
	holdPause     = 20 * time.Millisecond
	holdPauseEach = time.Millisecond
	holdPauseMost = 250 * time.Millisecond
	// unsavedPause separates reports while ends wait to be saved, because the
	// executor answers at once while it has ends to list.
	unsavedPause = 700 * time.Millisecond
	// silentRetry separates holds to an executor that did not answer.
	silentRetry = 400 * time.Millisecond
	// clockDrift is how much slower than true time an executor's clock may
	// run, from the platform's pages.
	clockDrift = 0.02
	// lapseMargin covers the time that an executor takes to end what lapsed.
	lapseMargin = 500 * time.Millisecond
	// attemptsPerTerm separates the attempt numbers of successive owners,
	// because an owner does not know all attempts of the one before.
	attemptsPerTerm = 64
)

// Plan is the state of one pool. It is owned by one duty.
type Plan struct {
	term    int
	params  Params
	catalog *catalog.Catalog

	executors map[string]*executor
	jobs      map[string]*job
	// ended holds the jobs that ended a short time ago.
	ended    map[string]time.Time
	prunedAt time.Time
	// groups are the ready groups that have not ended; regroup tells that there
	// are others since groupedAt.
	groups    []*group
	regroup   bool
	groupedAt time.Time
	sweptAt   time.Time
	// noRoom holds demands for which no executor has room in this step.
	noRoom []fleet.Resources
	// sorted are the executors by identifier; nil when there are others.
	sorted []*executor
	limits map[string]fleet.Resources
	used   map[string]fleet.Resources
	// blocked holds, for each tenant that is at its limit, what the first of its
	// groups needs; pass numbers the rounds of placement.
	blocked  map[string]blocked
	pass     int64
	orders   []Order
	unsaved  map[string]*job
	deposed  bool
	takeover time.Time
	// silent is for how long the earlier owner had not renewed at the takeover.
	silent time.Duration
	// renewedAt and renewal are the time and the version of this owner's last
	// confirmed renewal.
	renewedAt time.Time
	renewal   int64
	// stale tells that a later owner may exist.
	stale bool
	// removed tells that an executor was dropped since the last record.
	removed bool
	// settled tells that no run of an earlier owner can be alive unseen.
	settled bool
	// advising counts the open calls for advice.
	advising int
	events   []Event
	// openStarts counts the starts that have not been answered.
	openStarts int
	// shares holds what each tenant has left of its share.
	shares map[string]*shareBucket
	// learned holds the durations of tasks by queue.
	learned map[string]*durations
}

// Event is a decision or a change of belief worth a line in the log.
type Event struct {
	What   string
	Job    string
	Task   string
	Peer   string
	Reason string
	Age    time.Duration
}

// New returns the plan of an owner that took over at now. term counts the
// owners that the pool has had, from one. silent is for how long the owner
// before is known not to have renewed.
func New(term int, now time.Time, silent time.Duration, params Params) *Plan {
	return &Plan{
		term:      term,
		silent:    silent,
		renewedAt: now,
		params:    params,
		executors: make(map[string]*executor),
		jobs:      make(map[string]*job),
		ended:     make(map[string]time.Time),
		prunedAt:  now,
		limits:    make(map[string]fleet.Resources),
		used:      make(map[string]fleet.Resources),
		blocked:   make(map[string]blocked),
		unsaved:   make(map[string]*job),
		shares:    make(map[string]*shareBucket),
		learned:   make(map[string]*durations),
		takeover:  now,
		settled:   term <= 1,
	}
}

// SetCatalog replaces the configuration.
func (p *Plan) SetCatalog(c *catalog.Catalog) {
	p.catalog = c
	p.regroup = true
}

// SetLimits replaces what tenants may have running in this pool. A tenant
// without an entry may start nothing.
func (p *Plan) SetLimits(limits map[string]fleet.Resources) { p.limits = limits }

// SetCurrent tells whether no later owner can exist. While one can, a task whose
// run was lost without a report is not started again: the later owner may have
// seen its end.
func (p *Plan) SetCurrent(current bool) { p.stale = !current }

// SetRenewed notes this owner's last confirmed renewal.
func (p *Plan) SetRenewed(at time.Time, version int64) { p.renewedAt, p.renewal = at, version }

// Deposed reports whether an executor has seen a later owner.
func (p *Plan) Deposed() bool { return p.deposed }

// Events returns what was decided since the last call.
func (p *Plan) Events() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Plan) note(e Event) { p.events = append(p.events, e) }

// Step decides what to do at now and returns the orders.
func (p *Plan) Step(now time.Time) []Order {
	if p.deposed {
		return nil
	}
	p.expire(now)
	p.settle(now)
	p.stopCancelled(now)
	if !p.mayPause(now, p.sweptAt, sweepEvery) {
		p.sweptAt = now
		p.relocate(now)
		p.watch(now)
	}
	p.place(now)
	p.hold(now)
	orders := p.orders
	p.orders = nil
	return orders
}

// settle notes when every executor that an earlier owner may have used has
// either answered this owner or certainly lost its lease.
func (p *Plan) settle(now time.Time) {
	if p.settled {
		return
	}
	if now.Sub(p.takeover) < p.inheritedLapse() {
		for _, e := range p.executors {
			if e.inherited && !e.fenced {
				return
			}
		}
	}
	p.settled = true
	p.regroup = true
	p.note(Event{What: "inherited work accounted for", Age: now.Sub(p.takeover)})
}

// inheritedLapse is when, after the takeover, all leases that an earlier owner
// granted are over.
func (p *Plan) inheritedLapse() time.Duration {
	lease := time.Duration(float64(p.params.LeaseCap) * (1 + clockDrift))
	return max(lease+lapseMargin-p.silent, 0)
}

// Settled reports whether all work of earlier owners is accounted for.
func (p *Plan) Settled() bool { return p.settled }

// taskOf returns the task that a name stands for, or nil.
func (p *Plan) taskOf(id workload.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id.TaskName)
}

// Runs returns the number of runs that are not certainly over.
func (p *Plan) Runs() int {
	n := 0
	for _, e := range p.executors {
		n += len(e.runs)
	}
	return n
}

// Jobs returns the number of jobs that have not ended.
func (p *Plan) Jobs() int { return len(p.jobs) }
