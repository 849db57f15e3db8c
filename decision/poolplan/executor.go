package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Executor is one incarnation of an executor as listed in the registry.
type Executor struct {
	ID string `json:"ID"`
	// Machine is the machine that the executor runs on; empty when not known.
	Machine string `json:"Machine"`
	// StartedMs is the start of the incarnation in Unix milliseconds; zero when
	// not known.
	StartedMs int64           `json:"Born"`
	Address   string          `json:"Address"`
	Zone      string          `json:"Zone"`
	Rack      string          `json:"Rack"`
	Labels    []string        `json:"Labels"`
	Capacity  fleet.Resources `json:"Capacity"`
	Draining  bool            `json:"Draining"`
	// ClockMs is the executor's clock at some time before the entry was read.
	ClockMs int64 `json:"ClockMs"`
	// Cordoned executors get no new work and are emptied.
	Cordoned bool `json:"Cordoned"`
	// StaleAck is set while the incarnation may have received an acknowledgement that
	// was meant for an earlier one, and forget its own ends as they happen. In the record
	// for later owners it is also set while an order may have reached another incarnation
	// than the recorded one.
	StaleAck bool `json:"StaleAck"`
	// Leaving executors get no new service tasks, and their present service
	// tasks move away.
	Leaving bool `json:"Leaving"`
}

// executor is the plan's state of one incarnation of an executor.
type executor struct {
	Executor
	incarnationState
	listed bool
	// recorded is set once the record of executors that this owner may have
	// used holds this one, so that a later owner knows of it.
	recorded  bool
	inherited bool
	// fencingTokenSeen is set once the executor has seen this owner's fencing
	// token.
	fencingTokenSeen bool
	// fencingTokenSeenAt is when the first report showed that.
	fencingTokenSeenAt time.Time
	// reportRequestedAt and reportedAt are when the last report was requested and
	// when it arrived.
	reportRequestedAt time.Time
	reportedAt        time.Time
	used              fleet.Resources
	runs              map[runKey]*run
	// reserved is kept for tasks that are relocated to the executor.
	reserved fleet.Resources
	// reportDueAt is when a report is needed that shows what a late start has begun, and
	// idleReportDueAt when one shows that no acknowledgement is at large any more. An
	// executor with runs reports anyway.
	reportDueAt, idleReportDueAt time.Time
	// unknownRuns counts the runs of the last report whose demand is not known
	// because their job has ended or belongs to another pool.
	unknownRuns int

	// clockMs is the executor's clock at clockAt.
	clockMs int64
	clockAt time.Time
	// leaseUntilMs is the latest lease end that was sent, on the executor's
	// clock.
	leaseUntilMs int64
	leaseSentAt  time.Time
	// grantedUntilMs is the same without the leases that others may have sent.
	grantedUntilMs int64
	// leaseOverNoted is set once an event has said that the lease is over.
	leaseOverNoted bool

	leaseRenewalOpen   bool
	nextLeaseRenewalAt time.Time
	lastAnswerAt       time.Time
	lastLeaseRenewalAt time.Time
	// missedAnswers counts the missed answers since the last one received.
	missedAnswers int
	// openStarts counts the starts that have not been answered.
	openStarts           int
	startUnansweredSince time.Time
	// lastEnd is the highest run-end number seen, ackedEnd the highest whose
	// acknowledgement was answered.
	lastEnd  int64
	ackedEnd int64
	// heldEnds holds the numbers of run ends that must not be acknowledged before a time.
	heldEnds map[int64]time.Time
	// unsavedEnds holds the numbers of run ends that are not durable yet.
	unsavedEnds map[int64]bool
	// consecutiveFailures counts failed runs of different jobs, and stalled
	// runs, since the last successful run.
	consecutiveFailures int
	lastFailedJob       string
	avoidUntil          time.Time
	avoidCount          int
	serviceRuns         int
	latencyBoundRuns    int
	bestEffortRuns      int
}

type runKey struct {
	task    workload.TaskID
	attempt int
}

func (k runKey) compare(o runKey) int {
	return cmp.Or(
		cmp.Compare(k.task.Job, o.task.Job),
		cmp.Compare(k.task.Occurrence, o.task.Occurrence),
		cmp.Compare(k.task.Step, o.task.Step),
		cmp.Compare(k.task.Index, o.task.Index),
		cmp.Compare(k.attempt, o.attempt),
	)
}

// runState is the state of a run as far as the plan knows it.
type runState int

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// run is one attempt of a task on an executor.
type run struct {
	key         runKey
	task        *task
	executor    *executor
	state       runState
	orderedAt   time.Time
	confirmedAt time.Time
	startTries  int
	// startUnanswered is set while a report has to show whether a start without an
	// answer was carried out; unansweredAt is when that became known.
	startUnanswered bool
	unansweredAt    time.Time
	// lastTryAt is when the start was last sent, sentStarts how often. startAtLarge is set
	// once a try had no answer, the last of these at unansweredTryAt: it may be carried out
	// later, in whichever incarnation is there then.
	lastTryAt, unansweredTryAt time.Time
	sentStarts                 int
	startAtLarge               bool
	// startOpen is set while the last try has neither an answer nor been given up.
	startOpen bool
	// sentTo is the serial of the incarnation that the last try was sent to, and
	// unansweredBy of that which has not answered one.
	sentTo, unansweredBy int64
	// undecided is set if the start went to an earlier incarnation of the executor and
	// no report of the present one has shown whether that carried it out.
	undecided bool
	// trial is set if the run is there to see whether the executor lists its end, and
	// verified if its start also asks whether it has ended there before.
	trial, verified bool
	// verifications counts the starts of that kind. verifiedSince is when the first one
	// without an answer was sent.
	verifications int
	// withoutRoom is set while a service task has to leave its executor and no other has
	// room for it.
	withoutRoom bool
	// away is set if the run is not in its task's preferred placement.
	away          bool
	verifiedSince time.Time
	// endInDoubt is set if nothing more is to be found out about whether the run has ended
	// unseen.
	endInDoubt bool
	// exclusive is set if the run before was lost without a report of its end.
	exclusive bool
	// listed is set once a report has listed the run.
	listed            bool
	percent           int
	percentChangedAt  time.Time
	measurement       int
	speedPercent      int
	throttleOrderedAt time.Time
	// speedUnconfirmed is set if speedPercent was ordered and not confirmed.
	speedUnconfirmed bool
	checkpoint       string
	stopOrderedAt    time.Time
	// stopConfirmedAt is when the executor first confirmed a stop.
	stopConfirmedAt time.Time
	stopReason      string
	stopInFlight    bool
}

// free returns the capacity that no run uses and that is not reserved.
func (e *executor) free() fleet.Resources { return e.Capacity.Sub(e.used).Sub(e.reserved) }

// freeFor returns the capacity that a task may use.
func (e *executor) freeFor(t *task) fleet.Resources {
	if t.reservedOn != e {
		return e.free()
	}
	return e.free().Add(t.group.step.Demand())
}

// reachable reports whether the executor answered the latest orders.
func (e *executor) reachable() bool { return e.missedAnswers == 0 && e.startUnansweredSince.IsZero() }

// acceptsWork reports whether new work may start here.
func (e *executor) acceptsWork() bool { return e.workObstacle() == "" }

// runsKnown reports whether no run is there that the plan does not know, and whether
// none can begin by an order of a previous owner or to an earlier incarnation.
func (e *executor) runsKnown() bool { return e.fencingTokenSeen || !e.inherited && !e.restarted }

// recordAnswer records when an answer arrived and the executor's clock in it.
func (e *executor) recordAnswer(now time.Time, o Outcome) {
	// A busy owner processes an answer some time after its arrival; that does
	// not make its content newer.
	if !o.ReceivedAt.IsZero() {
		now = o.ReceivedAt
	}
	if o.ClockMs > 0 && (e.clockAt.IsZero() || o.SentAt.After(e.clockAt)) {
		switch e.compareClock(now, o) {
		case clockBehind:
			e.doubtful = true
		case clockGoesOn:
			e.missedAnswers, e.startUnansweredSince = 0, time.Time{}
		}
		e.clockMs, e.clockAt = o.ClockMs, now
	}
	if now.After(e.lastAnswerAt) {
		e.lastAnswerAt = now
	}
}

// clockComparison is what the clock in an answer says of the process that gave it. The
// clock of another incarnation starts anew, and no other answer than a report names one.
type clockComparison int

const (
	clockUnknown clockComparison = iota
	// clockBehind means that another incarnation has answered.
	clockBehind
	// clockGoesOn means that the same one has answered.
	clockGoesOn
)

// compareClock compares the clock in an answer that arrived at receivedAt with earlier ones.
func (e *executor) compareClock(receivedAt time.Time, o Outcome) clockComparison {
	if e.lastAnswerAt.IsZero() || e.clockAt.IsZero() {
		return clockUnknown
	}
	sinceSentMs := float64(o.SentAt.Sub(e.clockAt).Milliseconds()) * (1 - maxClockDrift)
	earliest := float64(e.clockMs) + sinceSentMs - float64(clockTolerance.Milliseconds())
	latest := e.clockMs + (receivedAt.Sub(e.clockAt) + maxAnswerTime).Milliseconds()
	switch {
	case float64(o.ClockMs) < earliest:
		return clockBehind
	case o.ClockMs <= latest:
		return clockGoesOn
	}
	return clockUnknown
}

// recordReport records when a report was requested and when it arrived.
func (e *executor) recordReport(now time.Time, o Outcome) {
	e.reportRequestedAt, e.reportedAt = o.SentAt, now
	if !o.ReceivedAt.IsZero() {
		e.reportedAt = o.ReceivedAt
	}
}

// SetExecutors replaces the registry's list of the pool's executors. Executors
// that are no longer listed keep their runs until these are certainly over.
func (p *Plan) SetExecutors(now time.Time, listed []Executor) {
	present := make(map[string]bool, len(listed))
	for _, info := range listed {
		present[info.ID] = true
		p.setExecutor(now, info)
	}
	for _, e := range p.allExecutors() {
		if e.listed && !present[e.ID] {
			e.listed = false
			p.groupsChanged = true
			p.addEvent(Event{Kind: "executor left the registry", Peer: e.ID})
		}
	}
}

func (p *Plan) setExecutor(now time.Time, info Executor) {
	e := p.executors[info.ID]
	if e == nil {
		p.addExecutor(now, info, false)
		return
	}
	if e.isOther(info.StartedMs) && (e.ordered || e.inherited) {
		p.noteOtherEntry(now, e, info)
		return
	}
	if info.Draining && !e.Draining {
		p.addEvent(Event{Kind: "executor is draining", Peer: info.ID})
	}
	if info.Cordoned != e.Cordoned {
		reason := "cordon of " + info.Machine + " lifted"
		if info.Cordoned {
			reason = info.Machine + " is cordoned"
		}
		p.addEvent(Event{Kind: "executor cordon changed", Peer: info.ID, Reason: reason})
	}
	if info.StartedMs == 0 {
		info.StartedMs = e.StartedMs
	}
	info.StaleAck = e.StaleAck
	e.Executor, e.listed = info, true
	e.entry, e.described = info, true
}

func (p *Plan) addExecutor(now time.Time, info Executor, inherited bool) *executor {
	for _, other := range p.allExecutors() {
		if other.Address != info.Address || other.ID == info.ID || other.StartedMs >= info.StartedMs {
			continue
		}
		if other.listed {
			p.doubtAddress(now, other)
			continue
		}
		p.endUnlessAnswering(now, other, "address belongs to another executor")
	}
	e := &executor{Executor: info, clockMs: info.ClockMs, listed: !inherited, inherited: inherited, recorded: inherited, runs: make(map[runKey]*run), leaseSentAt: now}
	p.serials++
	e.serial, e.addedAt, e.entry, e.described = p.serials, now, info, true
	if info.ClockMs > 0 {
		e.clockAt = now
	}
	p.recallFormer(now, e)
	p.executors[info.ID] = e
	p.sortedExecutors = nil
	return e
}

// doubtAddress requests a report from an executor whose address another entry has. The
// entry may be that of another writer; if it is right, the process at the address does
// not answer for the executor.
func (p *Plan) doubtAddress(now time.Time, e *executor) {
	p.addEvent(Event{Kind: "executor's address in another entry", Peer: e.ID})
	e.doubtful, e.nextLeaseRenewalAt = true, now
}

// Inherit adds an executor that a previous owner may have used. It must be
// called before the first Step.
func (p *Plan) Inherit(now time.Time, info Executor) {
	if p.executors[info.ID] == nil {
		if info.StartedMs == 0 {
			// Nobody knows which incarnation the previous owner has used.
			info.StaleAck = true
		}
		p.addExecutor(now, info, true)
	}
}

// UnrecordedExecutors returns the listed executors that must not be used yet,
// because a later owner would not know of them.
func (p *Plan) UnrecordedExecutors() []Executor {
	var missing []Executor
	for _, e := range p.executors {
		if e.listed && !e.recorded {
			missing = append(missing, e.Executor)
		}
	}
	slices.SortFunc(missing, compareIDs)
	return missing
}

// ExecutorsToRecord returns the executors that a later owner has to know of.
func (p *Plan) ExecutorsToRecord() []Executor {
	var all []Executor
	for _, e := range p.executors {
		info := e.Executor
		info.StaleAck = info.StaleAck || e.unsure()
		all = append(all, info)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

func compareIDs(a, b Executor) int { return cmp.Compare(a.ID, b.ID) }

// ExecutorRecordOutdated reports whether the record of executors names some
// that have certainly ended, for which a later owner would wait.
func (p *Plan) ExecutorRecordOutdated() bool { return p.recordOutdated }

// MarkRecorded marks executors as known to later owners.
func (p *Plan) MarkRecorded(recorded []Executor) {
	p.recordOutdated = false
	for _, info := range recorded {
		if e := p.executors[info.ID]; e != nil && e.StartedMs == info.StartedMs && (info.StaleAck || !e.StaleAck) {
			e.recorded = true
		}
	}
}

// dropExecutor removes an executor that has certainly ended.
func (p *Plan) dropExecutor(now time.Time, e *executor) {
	p.keepFormer(now, e)
	delete(p.executors, e.ID)
	p.sortedExecutors = nil
	p.recordOutdated = true
}

func sortedRuns(e *executor) []*run {
	runs := slices.Collect(maps.Values(e.runs))
	slices.SortFunc(runs, func(a, b *run) int { return a.key.compare(b.key) })
	return runs
}
