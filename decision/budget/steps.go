package budget

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// StepTimes are the durations that bound the steps of a host.
type StepTimes struct {
	// MinDrain is the minimum time between the drain and the next step, in
	// which every entry host stops sending work (3 s) and short work ends.
	MinDrain time.Duration
	// MinReturn is the minimum time in the returning step, so that a host list
	// read from a lagging replica is not mistaken for the effect of the return.
	MinReturn time.Duration
	// Timeout is the time after which a host that has not completed its step
	// counts as failed.
	Timeout time.Duration
}

// Observation is what one process has observed of a host in a step.
type Observation struct {
	// Phase is the phase in the host list, empty when the host is missing.
	Phase fleet.HostPhase
	// TimeInStep is how long this process has seen the host in this step, on
	// its own clock.
	TimeInStep time.Duration
	// Confirmed is set once the platform's operation for this step succeeded.
	Confirmed bool
}

// Action is what to do with a host in a step.
type Action string

// Actions on a host in a step.
const (
	ActionWait    Action = "wait"
	ActionAdvance Action = "advance"
	ActionFinish  Action = "finish"
	ActionFail    Action = "fail"
)

// NextAction returns the action for the host of e and its reason. Draining
// ends only after the host list has shown the host as not live: the list then
// reflects the drain, so a live phase seen in StepReturning is newer.
func NextAction(e LedgerEntry, observed Observation, t StepTimes) (Action, string) {
	if e.Cause == CauseFailed && e.Step != StepReturning {
		return ActionWait, "failed"
	}
	switch e.Step {
	case StepDraining:
		return nextDraining(observed, t)
	case StepMaintenance:
		return nextMaintenance(e, observed, t)
	default:
		return nextReturning(observed, t)
	}
}

func nextDraining(observed Observation, t StepTimes) (Action, string) {
	switch {
	case !observed.Confirmed && observed.TimeInStep > t.Timeout:
		return ActionFail, "the platform did not accept the drain in time"
	case !observed.Confirmed:
		return ActionWait, "drain not confirmed by the platform"
	case observed.Phase == fleet.PhaseLive:
		return ActionWait, "host list does not show the drain yet"
	case observed.TimeInStep < t.MinDrain:
		return ActionWait, "waiting for running work to end"
	}
	return ActionAdvance, "drained"
}

func nextMaintenance(e LedgerEntry, observed Observation, t StepTimes) (Action, string) {
	switch {
	case e.Cause == CauseDrain:
		return ActionWait, "waiting for an operator to return the host"
	case e.Cause == CauseMove:
		return ActionAdvance, "a move needs no maintenance"
	case observed.Confirmed:
		return ActionAdvance, "rebooted"
	case observed.TimeInStep > t.Timeout:
		return ActionFail, "the platform did not reboot the host in time"
	}
	return ActionWait, "reboot not confirmed by the platform"
}

func nextReturning(observed Observation, t StepTimes) (Action, string) {
	switch {
	case observed.Confirmed && observed.Phase == fleet.PhaseLive && observed.TimeInStep >= t.MinReturn:
		return ActionFinish, "live"
	case observed.TimeInStep > t.Timeout:
		return ActionFail, "the host was not live again in time"
	}
	return ActionWait, "not live yet"
}

// Advance moves a host to its next step, at most to StepReturning.
func (d *Draft) Advance(host string) {
	e, ok := d.ledger.Entries[host]
	if !ok {
		return
	}
	switch e.Step {
	case StepDraining:
		e.Step = StepMaintenance
	case StepMaintenance:
		e.Step = StepReturning
	default:
		return
	}
	e.Since = d.snapshot.Now
	d.putEntry(e)
}

// Return starts the return of a host from any step, on an operator's request.
// An unfinished move is abandoned. A failed host that is missing from the host
// list is retired instead: it loses its entry and its pool, and no longer
// counts against the budget. Retire does the same without a request once a host
// has been missing for long enough and the cause is unlikely to be the outage
// of a zone.
func (d *Draft) Return(host string) (LedgerEntry, *Refusal) {
	e, ok := d.ledger.Entries[host]
	if !ok {
		return LedgerEntry{}, refuse(fault.ReasonHostInService, host, "not out of service")
	}
	if _, listed := d.listed[host]; !listed && e.Cause == CauseFailed {
		if d.hostListStale() {
			return LedgerEntry{}, refuse(fault.ReasonStaleHostList, host, "the host list is older than %v", MaxHostListAge)
		}
		d.retire(e)
		return e, nil
	}
	if e.Step == StepReturning {
		return e, nil
	}
	e.Step = StepReturning
	e.MoveTo = ""
	e.Since = d.snapshot.Now
	d.putEntry(e)
	return e, nil
}

// Finish puts a returning host that is live back into service. If it was
// moved, its assignment changes together with the removal of its entry.
func (d *Draft) Finish(host string) {
	e, ok := d.ledger.Entries[host]
	if !ok || e.Step != StepReturning || d.hostListStale() {
		return
	}
	if h, listed := d.listed[host]; !listed || h.Phase != fleet.PhaseLive {
		return
	}
	if to, declared := d.pools[e.MoveTo]; declared {
		d.assigned[host] = e.MoveTo
		d.sections[to.section] = true
	}
	d.removeEntry(e)
	d.countSuccessInWave(e)
}

// Fail marks a host as failed and counts the failure in its wave. A host that
// fails in StepDraining goes to StepReturning, because the drain may have
// taken effect and has to be undone.
func (d *Draft) Fail(host string) {
	e, ok := d.ledger.Entries[host]
	if !ok {
		return
	}
	e.Cause = CauseFailed
	if e.Step == StepDraining {
		e.Step = StepReturning
	} else {
		e.Step = StepMaintenance
	}
	e.MoveTo = ""
	e.Since = d.snapshot.Now
	d.putEntry(e)
	d.countFailureInWaves(host)
}

// RecordFailures adds entries for assigned hosts that are failed or missing
// in the host list, and removes those of failed hosts that are live again.
// lastSeen gives the location of hosts missing from the list; it may be nil.
func (d *Draft) RecordFailures(lastSeen map[string]fleet.Host) {
	if d.hostListStale() {
		return
	}
	for host, pool := range d.snapshot.Assignments {
		h, listed := d.listed[host]
		e, out := d.ledger.Entries[host]
		switch {
		case out && e.Cause == CauseFailed && e.Step == StepMaintenance && listed && h.Phase == fleet.PhaseLive:
			d.removeEntry(e)
		case !out && !listed:
			d.addFailed(pool, host, lastSeen[host])
		case !out && h.Phase == fleet.PhaseFailed:
			d.addFailed(pool, host, *h)
		}
	}
}

func (d *Draft) addFailed(pool, host string, h fleet.Host) {
	previous := location{}
	if listed, ok := d.listed[host]; ok {
		previous = location{listed.Zone, listed.Rack}
	}
	d.adjustUsage(pool, previous, -1)
	d.adjustUsage(pool, location{h.Zone, h.Rack}, 1)
	d.putEntry(LedgerEntry{
		Host: host, Pool: pool, Zone: h.Zone, Rack: h.Rack,
		Cause: CauseFailed, Step: StepMaintenance,
		Since: d.snapshot.Now, GrantedAt: d.snapshot.Now,
	})
	d.countFailureInWaves(host)
}

// removeEntry deletes the entry of a host that is live or retired.
func (d *Draft) removeEntry(e LedgerEntry) {
	delete(d.ledger.Entries, e.Host)
	d.changed = true
	d.adjustUsage(e.Pool, location{e.Zone, e.Rack}, -1)
}

// AssignNewHosts assigns live hosts that have no pool. Hosts that are not live
// are skipped: the assignment does not change the ledger, so the commit
// condition of a concurrent grant would not detect that an unavailable host
// joined the pool. It returns the hosts for which there is no pool.
func (d *Draft) AssignNewHosts() (unassigned []string) {
	for i := range d.snapshot.Hosts.Hosts {
		h := &d.snapshot.Hosts.Hosts[i]
		if _, has := d.Pool(h.Name); has || h.Phase != fleet.PhaseLive {
			continue
		}
		p, ok := initialPool(d.declared, *h)
		if !ok {
			unassigned = append(unassigned, h.Name)
			continue
		}
		d.assigned[h.Name] = p.Name
		d.sections[p.section] = true
	}
	slices.Sort(unassigned)
	return unassigned
}
