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
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// LeaseCap is when, after the last confirmed renewal of an owner, all leases
	// end that it grants.
	LeaseCap time.Duration
}

// Timing of the plan.
const (
	// holdWait is how long an executor may hold back a report for want of an
	// end. The protocol allows 2 s; shorter waits notice silence sooner.
	holdWait = 1500 * time.Millisecond
	// holdDelay collects ends that follow each other closely in one report. A
	// large pool collects for longer, because every report costs its owner
	// processor time: holdDelayPerExecutor is added for each executor, up to
	// maxHoldDelay.
	holdDelay            = 20 * time.Millisecond
	holdDelayPerExecutor = time.Millisecond
	maxHoldDelay         = 250 * time.Millisecond
	// unsavedHoldInterval separates reports while ends wait to be saved, because the
	// executor answers at once while it has ends to list.
	unsavedHoldInterval = 700 * time.Millisecond
	// holdRetryDelay separates holds to an executor that did not answer.
	holdRetryDelay = 400 * time.Millisecond
	// maxClockDrift is how much slower than true time an executor's clock may
	// run, from the platform's pages.
	maxClockDrift = 0.02
	// leaseExpiryMargin covers the time that an executor takes to end what lapsed.
	leaseExpiryMargin = 500 * time.Millisecond
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
	// recentlyEnded holds the jobs that ended a short time ago.
	recentlyEnded map[string]time.Time
	endedPrunedAt time.Time
	// readyGroups are the ready groups that have not ended; regroup tells that there
	// are others since groupsListedAt.
	readyGroups    []*group
	groupsChanged  bool
	groupsListedAt time.Time
	runsCheckedAt  time.Time
	// unplaceable holds demands for which no executor has room in this step.
	unplaceable []fleet.Resources
	// sortedExecutors are the executors by identifier; nil when there are others.
	sortedExecutors []*executor
	tenantLimits    map[string]fleet.Resources
	tenantUsed      map[string]fleet.Resources
	// blockedTenants holds, for each tenant that is at its limit, what the first of its
	// groups needs; pass numbers the rounds of placement.
	blockedTenants map[string]blockedTenant
	round          int64
	orders         []Order
	unsavedJobs    map[string]*job
	superseded     bool
	takenOverAt    time.Time
	// predecessorSilence is for how long the earlier owner had not renewed at the takeover.
	predecessorSilence time.Duration
	// renewedAt and renewal are the time and the version of this owner's last
	// confirmed renewal.
	renewedAt      time.Time
	renewalVersion int64
	// mayBeSuperseded tells that a later owner may exist.
	mayBeSuperseded bool
	// recordOutdated tells that an executor was dropped since the last record.
	recordOutdated bool
	// inheritedRunsKnown tells that no run of an earlier owner can be alive unseen.
	inheritedRunsKnown bool
	// openAdviceCalls counts the open calls for advice.
	openAdviceCalls int
	events          []Event
	// openStarts counts the starts that have not been answered.
	openStarts int
	// shareBuckets holds what each tenant has left of its share.
	shareBuckets map[string]*shareBucket
	// taskDurations holds the durations of tasks by queue.
	taskDurations map[string]*durationEstimator
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
		term:               term,
		predecessorSilence: silent,
		renewedAt:          now,
		params:             params,
		executors:          make(map[string]*executor),
		jobs:               make(map[string]*job),
		recentlyEnded:      make(map[string]time.Time),
		endedPrunedAt:      now,
		tenantLimits:       make(map[string]fleet.Resources),
		tenantUsed:         make(map[string]fleet.Resources),
		blockedTenants:     make(map[string]blockedTenant),
		unsavedJobs:        make(map[string]*job),
		shareBuckets:       make(map[string]*shareBucket),
		taskDurations:      make(map[string]*durationEstimator),
		takenOverAt:        now,
		inheritedRunsKnown: term <= 1,
	}
}

// SetCatalog replaces the configuration.
func (p *Plan) SetCatalog(c *catalog.Catalog) {
	p.catalog = c
	p.groupsChanged = true
}

// SetLimits replaces what tenants may have running in this pool. A tenant
// without an entry may start nothing.
func (p *Plan) SetLimits(limits map[string]fleet.Resources) { p.tenantLimits = limits }

// SetCurrent tells whether no later owner can exist. While one can, a task whose
// run was lost without a report is not started again: the later owner may have
// seen its end.
func (p *Plan) SetCurrent(current bool) { p.mayBeSuperseded = !current }

// SetRenewed notes this owner's last confirmed renewal.
func (p *Plan) SetRenewed(at time.Time, version int64) { p.renewedAt, p.renewalVersion = at, version }

// Superseded reports whether an executor has seen a later owner.
func (p *Plan) Superseded() bool { return p.superseded }

// Events returns what was decided since the last call.
func (p *Plan) Events() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Plan) addEvent(e Event) { p.events = append(p.events, e) }

// Step decides what to do at now and returns the orders.
func (p *Plan) Step(now time.Time) []Order {
	if p.superseded {
		return nil
	}
	p.expireLeases(now)
	p.checkInheritedRuns(now)
	p.stopEndedJobs(now)
	if !p.mayDefer(now, p.runsCheckedAt, runCheckInterval) {
		p.runsCheckedAt = now
		p.relocateServices(now)
		p.checkRuns(now)
	}
	p.place(now)
	p.sendHolds(now)
	orders := p.orders
	p.orders = nil
	return orders
}

// checkInheritedRuns notes when every executor that an earlier owner may have used has
// either answered this owner or certainly lost its lease.
func (p *Plan) checkInheritedRuns(now time.Time) {
	if p.inheritedRunsKnown {
		return
	}
	if now.Sub(p.takenOverAt) < p.inheritedLeaseTime() {
		for _, e := range p.executors {
			if e.inherited && !e.fenced {
				return
			}
		}
	}
	p.inheritedRunsKnown = true
	p.groupsChanged = true
	p.addEvent(Event{What: "inherited work accounted for", Age: now.Sub(p.takenOverAt)})
}

// inheritedLeaseTime is when, after the takeover, all leases that an earlier owner
// granted are over.
func (p *Plan) inheritedLeaseTime() time.Duration {
	lease := time.Duration(float64(p.params.LeaseCap) * (1 + maxClockDrift))
	return max(lease+leaseExpiryMargin-p.predecessorSilence, 0)
}

// InheritedRunsKnown reports whether all work of earlier owners is accounted for.
func (p *Plan) InheritedRunsKnown() bool { return p.inheritedRunsKnown }

// findTask returns the task that a name stands for, or nil.
func (p *Plan) findTask(id workload.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id.TaskName)
}

// RunCount returns the number of runs that are not certainly over.
func (p *Plan) RunCount() int {
	n := 0
	for _, e := range p.executors {
		n += len(e.runs)
	}
	return n
}

// JobCount returns the number of jobs that have not ended.
func (p *Plan) JobCount() int { return len(p.jobs) }
