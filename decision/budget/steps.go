package budget

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// StepTimes are the durations that pace the steps of a host.
type StepTimes struct {
	// MinDrain is the least time between the drain and the next step, so that
	// every entry host has stopped sending work (3 s) and short work ends.
	MinDrain time.Duration
	// MinReturn is the least time in the returning step, so that a list read
	// through a lagging replica is not taken for the effect of the return.
	MinReturn time.Duration
	// Timeout is the time after which a host that does not come through
	// its step counts as failed.
	Timeout time.Duration
}

// Observation is what one process knows of a host in a step.
type Observation struct {
	// Phase is the phase in the host list, empty when the host is missing.
	Phase fleet.HostPhase
	// TimeInStep is how long this process has seen the host in this step, on
	// its own clock.
	TimeInStep time.Duration
	// Confirmed means that the platform's operation for this step succeeded.
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

// NextAction decides the action for the host of o and why. Draining ends only after
// the host list has shown the host as not live: the list then already
// reflects the drain, so that a live phase seen while returning is newer.
func NextAction(o LedgerEntry, seen Observation, t StepTimes) (Action, string) {
	if o.Cause == CauseFailed && o.Step != StepReturning {
		return ActionWait, "failed"
	}
	switch o.Step {
	case StepDraining:
		return nextDraining(seen, t)
	case StepMaintenance:
		return nextMaintenance(o, seen, t)
	default:
		return nextReturning(seen, t)
	}
}

func nextDraining(seen Observation, t StepTimes) (Action, string) {
	switch {
	case !seen.Confirmed && seen.TimeInStep > t.Timeout:
		return ActionFail, "the platform did not accept the drain in time"
	case !seen.Confirmed:
		return ActionWait, "drain not confirmed by the platform"
	case seen.Phase == fleet.PhaseLive:
		return ActionWait, "host list does not show the drain yet"
	case seen.TimeInStep < t.MinDrain:
		return ActionWait, "work ends"
	}
	return ActionAdvance, "drained"
}

func nextMaintenance(o LedgerEntry, seen Observation, t StepTimes) (Action, string) {
	switch {
	case o.Cause == CauseDrain:
		return ActionWait, "until an operator returns the host"
	case o.Cause == CauseMove:
		return ActionAdvance, "a move needs no maintenance"
	case seen.Confirmed:
		return ActionAdvance, "rebooted"
	case seen.TimeInStep > t.Timeout:
		return ActionFail, "the platform did not reboot the host in time"
	}
	return ActionWait, "reboot not confirmed by the platform"
}

func nextReturning(seen Observation, t StepTimes) (Action, string) {
	switch {
	case seen.Confirmed && seen.Phase == fleet.PhaseLive && seen.TimeInStep >= t.MinReturn:
		return ActionFinish, "live"
	case seen.TimeInStep > t.Timeout:
		return ActionFail, "the host did not come back in time"
	}
	return ActionWait, "not live yet"
}

// Advance moves a host to its next step before in service.
func (d *Draft) Advance(host string) {
	o, ok := d.ledger.Entries[host]
	if !ok {
		return
	}
	switch o.Step {
	case StepDraining:
		o.Step = StepMaintenance
	case StepMaintenance:
		o.Step = StepReturning
	default:
		return
	}
	o.Since = d.snapshot.Now
	d.putEntry(o)
}

// Return sends a host back into service from any step, on an operator's
// request. A move that has not ended is abandoned. A failed host that is
// missing from the host list is retired instead: it loses its entry and its
// pool, and no longer counts against the budget. Retire does this without a
// request, where the absence has lasted and is not likely that of a zone.
func (d *Draft) Return(host string) (LedgerEntry, *Refusal) {
	o, ok := d.ledger.Entries[host]
	if !ok {
		return LedgerEntry{}, refuse(fault.ReasonHostInService, host, "not out of service")
	}
	if _, listed := d.listed[host]; !listed && o.Cause == CauseFailed {
		if d.hostListStale() {
			return LedgerEntry{}, refuse(fault.ReasonStaleHostList, host, "the host list is older than %v", MaxHostListAge)
		}
		d.retire(o)
		return o, nil
	}
	if o.Step == StepReturning {
		return o, nil
	}
	o.Step = StepReturning
	o.MoveTo = ""
	o.Since = d.snapshot.Now
	d.putEntry(o)
	return o, nil
}

// Finish puts a returning host that is live back into service. When it was
// moved, its assignment changes together with the end of its entry.
func (d *Draft) Finish(host string) {
	o, ok := d.ledger.Entries[host]
	if !ok || o.Step != StepReturning || d.hostListStale() {
		return
	}
	if h, listed := d.listed[host]; !listed || h.Phase != fleet.PhaseLive {
		return
	}
	if to, declared := d.pools[o.MoveTo]; declared {
		d.assigned[host] = o.MoveTo
		d.sections[to.section] = true
	}
	d.removeEntry(o)
	d.countSuccessInWave(o)
}

// Fail marks a host as failed. The failure counts in its wave. A host that
// fails while draining goes to returning, because the drain may have taken
// effect and has to be undone.
func (d *Draft) Fail(host string) {
	o, ok := d.ledger.Entries[host]
	if !ok {
		return
	}
	o.Cause = CauseFailed
	if o.Step == StepDraining {
		o.Step = StepReturning
	} else {
		o.Step = StepMaintenance
	}
	o.MoveTo = ""
	o.Since = d.snapshot.Now
	d.putEntry(o)
	d.countFailureInWaves(host)
}

// RecordFailures adds entries for assigned hosts that are failed or missing
// in the host list, and removes those of failed hosts that are live again.
// lastSeen tells the place of hosts missing from the list; it may be nil.
func (d *Draft) RecordFailures(lastSeen map[string]fleet.Host) {
	if d.hostListStale() {
		return
	}
	for host, pool := range d.snapshot.Assignments {
		h, listed := d.listed[host]
		o, out := d.ledger.Entries[host]
		switch {
		case out && o.Cause == CauseFailed && o.Step == StepMaintenance && listed && h.Phase == fleet.PhaseLive:
			d.removeEntry(o)
		case !out && !listed:
			d.addFailed(pool, host, lastSeen[host])
		case !out && h.Phase == fleet.PhaseFailed:
			d.addFailed(pool, host, *h)
		}
	}
}

func (d *Draft) addFailed(pool, host string, h fleet.Host) {
	counted := location{}
	if listed, ok := d.listed[host]; ok {
		counted = location{listed.Zone, listed.Rack}
	}
	d.adjustUsage(pool, counted, -1)
	d.adjustUsage(pool, location{h.Zone, h.Rack}, 1)
	d.putEntry(LedgerEntry{
		Host: host, Pool: pool, Zone: h.Zone, Rack: h.Rack,
		Cause: CauseFailed, Step: StepMaintenance,
		Since: d.snapshot.Now, GrantedAt: d.snapshot.Now,
	})
	d.countFailureInWaves(host)
}

// removeEntry deletes the entry of a host that is live or retired.
func (d *Draft) removeEntry(o LedgerEntry) {
	delete(d.ledger.Entries, o.Host)
	d.changed = true
	d.adjustUsage(o.Pool, location{o.Zone, o.Rack}, -1)
}

// AssignNewHosts assigns live hosts that have no pool. Hosts that are not
// live wait, because an unavailable host that joined a pool without a ledger
// change would escape the condition of a concurrent grant. It returns the
// hosts that no pool takes.
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
