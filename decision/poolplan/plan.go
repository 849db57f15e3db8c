// Package poolplan plans the work of one pool: which task starts on which
// executor, which runs are stopped or throttled, which leases are renewed, and
// what has to be saved.
//
// A Plan is driven by messages (jobs, executors, answers, reports) and by calls
// of Step, which returns orders. It performs no I/O and reads no clock.
package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Params are the limits of the deployment that a plan depends on.
type Params struct {
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// LeaseCap is the time after an owner's last confirmed renewal of its
	// ownership at which all leases that it granted end.
	LeaseCap time.Duration
	// StopTime is the longest time that a run takes to end after its executor has
	// accepted a stop.
	StopTime time.Duration
	// RemoteFactor is by how much tasks take longer away from their preferred placement;
	// the placement does not matter if it is at most 1.
	RemoteFactor float64
}

// Timing of the plan.
const (
	// reportWait is how long an executor may delay its report when no run has
	// ended. The protocol allows 2 s; shorter waits detect an unresponsive
	// executor sooner.
	reportWait = 1500 * time.Millisecond
	// relocationReportWait is reportWait for executors with service tasks while some
	// have to be relocated. The next task of a step may be interrupted once a
	// report shows that the last one serves again, which ends no run.
	relocationReportWait = 300 * time.Millisecond
	// leaseRenewalDelay is the delay of a lease renewal after a report of run
	// ends. It batches ends that follow each other closely into one report.
	// Each report costs the owner processor time, so large pools batch for
	// longer: leaseRenewalDelayPerExecutor is added for each executor, up to
	// maxLeaseRenewalDelay.
	leaseRenewalDelay            = 20 * time.Millisecond
	leaseRenewalDelayPerExecutor = time.Millisecond
	maxLeaseRenewalDelay         = 250 * time.Millisecond
	// unsavedLeaseRenewalInterval is the time between reports while run ends
	// wait to be saved, because an executor that has ends to list answers at
	// once.
	unsavedLeaseRenewalInterval = 700 * time.Millisecond
	// heldLeaseRenewalInterval is the same while ends wait to be acknowledged, which
	// takes seconds.
	heldLeaseRenewalInterval = 200 * time.Millisecond
	// leaseRenewalRetryDelay is the time between lease renewals of an executor
	// that did not answer.
	leaseRenewalRetryDelay = 400 * time.Millisecond
	// maxClockDrift is the fraction by which an executor's clock may run slower
	// than true time, according to the platform's documentation.
	maxClockDrift = 0.02
	// clockTolerance covers the resolution of clocks and the time at which answers are
	// recorded.
	clockTolerance = 100 * time.Millisecond
	// maxAnswerTime is how old the clock in an answer may be when it arrives.
	maxAnswerTime = 500 * time.Millisecond
	// leaseExpiryMargin covers the time that an executor takes to end its runs
	// after its lease has expired.
	leaseExpiryMargin = 500 * time.Millisecond
	// attemptsPerTerm is the distance between the attempt numbers of successive
	// owners, because an owner does not know all attempts of its predecessor.
	attemptsPerTerm = 64
	// maxUnrecordedAttempts is by how many an attempt number may exceed what a later
	// owner knows of before it is recorded. The rest of attemptsPerTerm is for those
	// that are used while the record is written.
	maxUnrecordedAttempts = attemptsPerTerm / 2
)

// Plan is the state of one pool. It is owned by one duty.
type Plan struct {
	term    int
	params  Params
	catalog *catalog.Catalog

	executors map[string]*executor
	jobs      map[string]*job
	// recentlyEnded holds the jobs that ended a short time ago, with the times
	// of their removal.
	recentlyEnded map[string]time.Time
	endedPrunedAt time.Time
	// readyGroups are the unfinished groups that may start, as of
	// groupsListedAt; groupsChanged is set when groups have come or gone since.
	readyGroups    []*group
	groupsChanged  bool
	groupsListedAt time.Time
	runsCheckedAt  time.Time
	// unplaceable holds demands for which no executor had room in this step.
	unplaceable []fleet.Resources
	// reservations keep room for the service tasks that are relocated.
	reservations []reservation
	// evacuatedZones has the availability zones in which nothing may start.
	evacuatedZones map[string]bool
	// relocating is set while service tasks have to leave executors.
	relocating bool
	// sortedExecutors are the executors by identifier; nil after the set has
	// changed.
	sortedExecutors []*executor
	tenantLimits    map[string]fleet.Resources
	heldBack        map[string]fleet.Resources
	tenantUsed      map[string]fleet.Resources
	// accepting has the executors that accepted work when they were last listed.
	accepting []*executor
	// tenantLasting is the part of tenantUsed that service tasks use.
	tenantLasting map[string]fleet.Resources
	// blockedTenants holds, for each tenant that is at its limit, what its
	// first waiting group needs; round numbers the rounds of placement.
	blockedTenants map[string]blockedTenant
	round          int64
	orders         []Order
	unsavedJobs    map[string]*job
	// unsavedCount numbers the jobs in the order in which they became unsaved.
	unsavedCount int64
	superseded   bool
	takenOverAt  time.Time
	// firstStepAt is the time of the first Step, from which executors are asked.
	firstStepAt time.Time
	// predecessorSilence is how long the previous owner had not renewed its
	// ownership at the takeover.
	predecessorSilence time.Duration
	// ownershipRenewedAt and ownershipRenewalVersion are the time and the
	// version of this owner's last confirmed renewal of its ownership.
	ownershipRenewedAt      time.Time
	ownershipRenewalVersion int64
	// mayBeSuperseded is set while a later owner may exist.
	mayBeSuperseded bool
	// recordOutdated is set when an executor was dropped since the last record.
	recordOutdated bool
	// inheritedRunsKnown is set once no unknown run of a previous owner can
	// still be running.
	inheritedRunsKnown bool
	unaccounted        unaccounted
	// openAdviceCalls counts the advice calls that have not been answered.
	openAdviceCalls int
	events          []Event
	// openStarts counts the starts that have not been answered.
	openStarts int
	// shareBuckets holds what is left of each tenant's share.
	shareBuckets map[string]*shareBucket
	// sentStarts has the runs whose start may be in doubt, lateStarts the starts in doubt
	// whose run is over or that a previous owner has sent.
	sentStarts map[*run]bool
	lateStarts []endedLateStart
	// inheritedStarts has, by task, the last start in doubt of a previous owner; nil if
	// that did not record them.
	inheritedStarts map[workload.TaskID]lateStart
	// former holds the executors that were dropped a short time ago, by identifier.
	former map[string]formerIncarnation
	// trialsNeeded is set if an executor that accepts work needs a trial.
	trialsNeeded bool
	// serials counts the incarnations that the plan has known.
	serials int64
	// taskDurations holds the estimators of task durations by queue.
	taskDurations map[string]*durationEstimator
	// summarized is the capacity at the last summary.
	summarized summarizedCapacity
	// outcomes counts the ends of jobs that were accepted with an estimate.
	outcomes map[JobOutcome]int
	// kindDurations holds the estimators of task durations by queue, image and tenant.
	kindDurations map[taskKind]*kindEstimator
	placement     placementState
	// placementCounts are the counts since they were last taken.
	placementCounts PlacementCounts
}

// Event is a decision or a state change that is logged and counted.
type Event struct {
	Kind string
	Job  string
	Task string
	Peer string
	// StartedMs is the start of the executor's incarnation; zero if the event is not
	// about one.
	StartedMs int64
	Reason    string
	Age       time.Duration
	// EndsIn is when a wait ends at the latest; zero if that is not known.
	EndsIn time.Duration
}

// New returns the plan of an owner that took over at now. term numbers the
// owners of the pool from one. predecessorSilence is how long the previous
// owner is known not to have renewed its ownership.
func New(term int, now time.Time, predecessorSilence time.Duration, params Params) *Plan {
	return &Plan{
		term:               term,
		predecessorSilence: predecessorSilence,
		ownershipRenewedAt: now,
		params:             params,
		executors:          make(map[string]*executor),
		jobs:               make(map[string]*job),
		recentlyEnded:      make(map[string]time.Time),
		endedPrunedAt:      now,
		tenantLimits:       make(map[string]fleet.Resources),
		tenantUsed:         make(map[string]fleet.Resources),
		tenantLasting:      make(map[string]fleet.Resources),
		blockedTenants:     make(map[string]blockedTenant),
		unsavedJobs:        make(map[string]*job),
		sentStarts:         make(map[*run]bool),
		shareBuckets:       make(map[string]*shareBucket),
		taskDurations:      make(map[string]*durationEstimator),
		kindDurations:      make(map[taskKind]*kindEstimator),
		takenOverAt:        now,
		inheritedRunsKnown: term <= 1,
	}
}

// SetCatalog replaces the configuration.
func (p *Plan) SetCatalog(c *catalog.Catalog) {
	p.catalog = c
	p.groupsChanged = true
}

// SetLimits replaces the resources that tenants may use in this pool. A tenant
// without an entry may start nothing.
func (p *Plan) SetLimits(limits map[string]fleet.Resources) { p.tenantLimits = limits }

// SetHeldBack replaces the parts of these limits that work which ends leaves unused, because
// other pools wait for them.
func (p *Plan) SetHeldBack(heldBack map[string]fleet.Resources) { p.heldBack = heldBack }

// SetCurrent sets whether this owner is certain to have no successor. While it
// is not, a task whose run was lost without a report is not started again,
// because the successor may have recorded its end.
func (p *Plan) SetCurrent(current bool) { p.mayBeSuperseded = !current }

// SetOwnershipRenewed records this owner's last confirmed renewal of its
// ownership.
func (p *Plan) SetOwnershipRenewed(at time.Time, version int64) {
	p.ownershipRenewedAt, p.ownershipRenewalVersion = at, version
}

// Superseded reports whether an executor has seen a later owner.
func (p *Plan) Superseded() bool { return p.superseded }

// Events returns the events since the last call.
func (p *Plan) Events() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Plan) addEvent(e Event) { p.events = append(p.events, e) }

// Step plans the work at now and returns the orders.
func (p *Plan) Step(now time.Time) []Order {
	if p.superseded {
		return nil
	}
	if p.firstStepAt.IsZero() {
		p.firstStepAt = now
	}
	p.expireLeases(now)
	p.releaseUnused(now)
	p.releaseKept()
	p.checkInheritedRuns(now)
	p.stopEndedJobs(now)
	if !p.mayDefer(now, p.runsCheckedAt, runCheckInterval) {
		p.runsCheckedAt = now
		p.relocateServices(now)
		p.checkRuns(now)
	}
	p.stopTrials(now)
	p.place(now)
	p.renewLeases(now)
	orders := p.orders
	p.orders = nil
	return orders
}

// minReportTime is how long executors of a previous owner have to report after the
// plan's first step: two requests, each of which waits for up to half a second. A
// plan may begin long after the takeover, when all leases have expired but reports
// still list ended runs that the previous owner could not save.
const minReportTime = 1500 * time.Millisecond

// checkInheritedRuns sets inheritedRunsKnown when every executor that a
// previous owner may have used has either answered this owner, or certainly lost
// its lease and had time to report.
func (p *Plan) checkInheritedRuns(now time.Time) {
	if p.inheritedRunsKnown {
		return
	}
	early := now.Sub(p.firstStepAt) < minReportTime
	for _, e := range p.executors {
		if e.inherited && !e.fencingTokenSeen && (early || p.mayHaveInheritedLease(now, e)) {
			return
		}
	}
	p.inheritedRunsKnown = true
	p.groupsChanged = true
	p.addEvent(Event{Kind: "inherited work accounted for", Age: now.Sub(p.takenOverAt)})
}

// inheritedLeaseTime returns the time after the takeover at which all leases that a
// previous owner granted on an executor have expired. If the executor may have started
// again, a start of that owner may have reached the later incarnation with a lease that
// ends on the earlier one's clock.
func (p *Plan) inheritedLeaseTime(e *executor) time.Duration {
	lease := time.Duration(float64(p.params.LeaseCap)*(1+maxClockDrift)) + leaseExpiryMargin
	if e.StaleAck || e.isOther(e.entry.StartedMs) {
		lease = max(lease, briefLateTime+p.longestLease())
	}
	return max(lease-p.predecessorSilence, 0)
}

// InheritedRunsKnown reports whether all runs of previous owners are accounted
// for.
func (p *Plan) InheritedRunsKnown() bool { return p.inheritedRunsKnown }

// findTask returns the task with an identifier, or nil.
func (p *Plan) findTask(id workload.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.task(id.TaskName)
}

// RunCount returns the number of runs that may not be over yet.
func (p *Plan) RunCount() int {
	n := 0
	for _, e := range p.executors {
		n += len(e.runs)
	}
	return n
}

// JobCount returns the number of jobs that have not ended.
func (p *Plan) JobCount() int { return len(p.jobs) }
