package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Executor is one life of an executor as the registry shows it.
type Executor struct {
	ID string `json:"ID"`
	// Machine is what the executor runs on; empty when not known.
	Machine  string          `json:"Machine"`
	Born     int64           `json:"Born"`
	Address  string          `json:"Address"`
	Zone     string          `json:"Zone"`
	Rack     string          `json:"Rack"`
	Labels   []string        `json:"Labels"`
	Capacity fleet.Resources `json:"Capacity"`
	Draining bool            `json:"Draining"`
	// ClockMs is the executor's clock at some time before the entry was read.
	ClockMs int64 `json:"ClockMs"`
	// Cordoned executors get no new work and are emptied.
	Cordoned bool `json:"Cordoned"`
	// Leaving executors get no new service tasks, and those that they have
	// move away.
	Leaving bool `json:"Leaving"`
}

// executor is what the plan knows of one life of an executor.
type executor struct {
	Executor
	listed bool
	// usable tells that the record of executors that this owner may have used
	// holds this one, so that a later owner knows of it.
	usable    bool
	inherited bool
	// fenced tells that the executor has seen this owner's fencing token.
	fenced bool
	used   fleet.Resources
	runs   map[runKey]*run
	// unknownRuns counts the runs of the last report whose size is not known,
	// because their job has ended or belongs to another pool.
	unknownRuns int

	// clock is the executor's clock at clockAt.
	clock   int64
	clockAt time.Time
	// leaseUntil is the highest end of a lease that was sent.
	leaseUntil int64
	leaseSent  time.Time

	holding    bool
	holdAt     time.Time
	heardAt    time.Time
	probedAt   time.Time
	silent     int
	unanswered time.Time
	seen       int64
	saved      int64
	// unsavedEnds are the numbers of ends that are not durable yet.
	unsavedEnds map[int64]bool
	// failures counts failed runs of different jobs since the last good one.
	failures    int
	failedJob   string
	avoidUntil  time.Time
	avoidances  int
	serviceRuns int
	fillerRuns  int
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

// runState is how sure the plan is of a run.
type runState int

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// run is one attempt of a task on an executor.
type run struct {
	key        runKey
	task       *task
	executor   *executor
	state      runState
	orderedAt  time.Time
	confirmed  time.Time
	tries      int
	unanswered bool
	percent    int
	percentAt  time.Time
	figure     int
	pace       int
	paceAt     time.Time
	checkpoint string
	stopAsked  time.Time
	// stoppedAt is when the executor first confirmed a stop.
	stoppedAt  time.Time
	stopReason string
	stopBusy   bool
}

func (e *executor) target() Target {
	return Target{Executor: e.ID, Address: e.Address, Born: e.Born}
}

// free returns the capacity that no run takes.
func (e *executor) free() fleet.Resources { return e.Capacity.Sub(e.used) }

// reachable reports whether the executor answered the last orders.
func (e *executor) reachable() bool { return e.silent == 0 && e.unanswered.IsZero() }

// accepts reports whether new work may start here. What an earlier owner has
// left on the executor has to be known.
func (e *executor) accepts() bool {
	known := e.fenced || !e.inherited
	return e.listed && e.usable && known && e.unknownRuns == 0 && !e.Draining && !e.Cordoned && e.reachable()
}

// lease returns the end of a lease of d from now on the executor's clock, or
// zero when its clock is not known or d is over.
func (e *executor) lease(now time.Time, d time.Duration) int64 {
	if e.clockAt.IsZero() || d <= 0 {
		return 0
	}
	return e.clock + now.Sub(e.clockAt).Milliseconds() + d.Milliseconds()
}

// grant records that a lease is sent.
func (e *executor) grant(now time.Time, until int64) {
	e.leaseUntil = max(e.leaseUntil, until)
	e.leaseSent = now
}

// heard records an answer.
func (e *executor) heard(now time.Time, o Outcome) {
	// A busy owner takes an answer in some time after its arrival; what it says
	// is not newer for that.
	if !o.ReceivedAt.IsZero() {
		now = o.ReceivedAt
	}
	if o.ClockMs > 0 && (e.clockAt.IsZero() || o.SentAt.After(e.clockAt)) {
		e.clock, e.clockAt = o.ClockMs, now
	}
	if now.After(e.heardAt) {
		e.heardAt = now
	}
}

// inheritLease notes that an earlier owner may have granted a lease up to now.
func (e *executor) inheritLease(holdMax time.Duration) {
	e.leaseUntil = max(e.leaseUntil, e.clock+holdMax.Milliseconds())
}

// lapsed reports whether every lease that was sent is certainly over.
func (e *executor) lapsed(now time.Time, holdMax time.Duration) bool {
	if e.clockAt.IsZero() {
		return now.Sub(e.leaseSent) > holdMax+holdMax/20+lapseMargin
	}
	elapsed := float64(now.Sub(e.clockAt).Milliseconds()) * (1 - clockDrift)
	return float64(e.clock)+elapsed > float64(e.leaseUntil+lapseMargin.Milliseconds())
}

// SetExecutors replaces the registry's view of the pool. Executors that are
// not listed any more keep their runs until these are certainly over.
func (p *Plan) SetExecutors(now time.Time, listed []Executor) {
	present := make(map[string]bool, len(listed))
	for _, info := range listed {
		present[info.ID] = true
		p.setExecutor(now, info)
	}
	for id, e := range p.executors {
		if present[id] {
			continue
		}
		if e.listed {
			e.listed = false
			p.regroup = true
			p.note(Event{What: "executor left the registry", Peer: id})
		}
	}
}

func (p *Plan) setExecutor(now time.Time, info Executor) {
	e := p.executors[info.ID]
	if e != nil && e.Born != info.Born && info.Born != 0 && e.Born != 0 {
		if info.Born < e.Born {
			return
		}
		p.endLife(now, e, "executor started again")
		e = nil
	}
	if e == nil {
		p.addExecutor(now, info, false)
		return
	}
	if info.Draining && !e.Draining {
		p.note(Event{What: "executor is draining", Peer: info.ID})
	}
	if info.Cordoned != e.Cordoned {
		p.note(Event{What: "executor cordon changed", Peer: info.ID})
	}
	born := max(e.Born, info.Born)
	e.Executor, e.listed = info, true
	e.Born = born
}

func (p *Plan) addExecutor(now time.Time, info Executor, inherited bool) *executor {
	for _, other := range p.executors {
		if other.Address == info.Address && other.ID != info.ID && other.Born < info.Born {
			p.endLife(now, other, "address belongs to another executor")
		}
	}
	e := &executor{Executor: info, clock: info.ClockMs, listed: !inherited, inherited: inherited, usable: inherited, runs: make(map[runKey]*run), leaseSent: now}
	if info.ClockMs > 0 {
		e.clockAt = now
	}
	p.executors[info.ID] = e
	p.sorted = nil
	return e
}

// Inherit adds an executor that an earlier owner may have used. It is called
// before the first Step.
func (p *Plan) Inherit(now time.Time, info Executor) {
	if p.executors[info.ID] == nil {
		p.addExecutor(now, info, true)
	}
}

// Unrecorded returns the executors that are listed but may not be used yet,
// because a later owner would not know of them.
func (p *Plan) Unrecorded() []Executor {
	var missing []Executor
	for _, e := range p.executors {
		if e.listed && !e.usable {
			missing = append(missing, e.Executor)
		}
	}
	slices.SortFunc(missing, byID)
	return missing
}

// Recordable returns the executors that a later owner has to know of.
func (p *Plan) Recordable() []Executor {
	var all []Executor
	for _, e := range p.executors {
		all = append(all, e.Executor)
	}
	slices.SortFunc(all, byID)
	return all
}

func byID(a, b Executor) int { return cmp.Compare(a.ID, b.ID) }

// EndLives drops executors that are not listed any more and whose machine or
// address runs a later life of another one. all lists the executors of all pools.
func (p *Plan) EndLives(now time.Time, all []Executor) {
	var gone []*executor
	for _, e := range p.executors {
		if !e.listed {
			gone = append(gone, e)
		}
	}
	if len(gone) == 0 {
		return
	}
	latest := make(map[string]int64, 2*len(all))
	for i := range all {
		latest[all[i].Address] = max(latest[all[i].Address], all[i].Born)
		if all[i].Machine != "" {
			latest[all[i].Machine] = max(latest[all[i].Machine], all[i].Born)
		}
	}
	for _, e := range gone {
		if e.Born > 0 && (latest[e.Address] > e.Born || latest[e.Machine] > e.Born) {
			p.endLife(now, e, "its machine or address runs another life")
		}
	}
}

// RecordOutdated reports whether the record of executors names some that are
// certainly gone, for which a later owner would wait.
func (p *Plan) RecordOutdated() bool { return p.removed }

// Recorded marks executors as known to later owners.
func (p *Plan) Recorded(recorded []Executor) {
	p.removed = false
	for _, info := range recorded {
		if e := p.executors[info.ID]; e != nil && e.Born == info.Born {
			e.usable = true
		}
	}
}

// endLife drops an executor whose process has certainly ended.
func (p *Plan) endLife(now time.Time, e *executor, why string) {
	p.note(Event{What: "executor ended", Peer: e.ID, Reason: why, Age: now.Sub(e.heardAt)})
	for _, r := range sortedRuns(e) {
		p.lose(now, r, why)
	}
	p.dropExecutor(e)
}

// dropExecutor forgets an executor that has certainly ended.
func (p *Plan) dropExecutor(e *executor) {
	delete(p.executors, e.ID)
	p.sorted = nil
	p.removed = true
}

func sortedRuns(e *executor) []*run {
	runs := slices.Collect(maps.Values(e.runs))
	slices.SortFunc(runs, func(a, b *run) int { return a.key.compare(b.key) })
	return runs
}

// expire gives up the runs of executors whose lease is certainly over.
func (p *Plan) expire(now time.Time) {
	for _, e := range p.executors {
		if e.reachable() && (e.listed || now.Sub(e.heardAt) < p.params.HoldMax) {
			continue
		}
		if !e.lapsed(now, p.params.HoldMax) || p.mayBeHeld(now, e) {
			continue
		}
		if len(e.runs) > 0 {
			p.note(Event{What: "lease certainly over", Peer: e.ID, Age: now.Sub(e.heardAt)})
		}
		for _, r := range sortedRuns(e) {
			p.lose(now, r, "lease over")
		}
		if !e.listed && !e.holding {
			p.dropExecutor(e)
		}
	}
}

// mayBeHeld reports whether an earlier owner may still hold the executor.
func (p *Plan) mayBeHeld(now time.Time, e *executor) bool {
	return e.inherited && !e.fenced && now.Sub(p.takeover) < p.inheritedLapse()
}
