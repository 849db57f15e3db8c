package poolplan

import (
	"maps"
	"slices"
	"time"
)

// The operator can have an availability zone evacuated. Until it is taken back, no order
// starts anything on the zone's executors, a start without an answer is not sent again,
// and service tasks move to other zones as from executors that are leaving. Short tasks
// end where they are, and leases are renewed until then.

// reasonEvacuated is why the runs in an evacuated zone are stopped.
const reasonEvacuated = "zone is evacuated"

// SetEvacuated replaces the set of evacuated zones. It must be called before the first
// Step of a plan.
func (p *Plan) SetEvacuated(zones map[string]bool) {
	if maps.Equal(zones, p.evacuatedZones) {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if !p.evacuatedZones[zone] {
			p.addEvent(Event{Kind: "zone evacuated", Peer: zone})
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(p.evacuatedZones)) {
		if !zones[zone] {
			p.addEvent(Event{Kind: "zone taken back", Peer: zone})
		}
	}
	p.evacuatedZones = maps.Clone(zones)
	p.groupsChanged = true
}

// evacuated reports whether nothing may start on e. The registry may name another zone
// for a later incarnation, which an order for this one may reach.
func (p *Plan) evacuated(e *executor) bool {
	return len(p.evacuatedZones) > 0 && (p.evacuatedZones[e.Zone] || p.evacuatedZones[e.entry.Zone])
}

// mayStartOn reports whether new work may start on e.
func (p *Plan) mayStartOn(e *executor) bool { return e.acceptsWork() && !p.evacuated(e) }

// stopStartIn stops a run whose start would have to be sent again in an evacuated zone, as
// after the last try.
func (p *Plan) stopStartIn(now time.Time, r *run) {
	p.stopRun(now, r, reasonEvacuated)
	p.stopIncompleteGang(now, r)
}

// stopIncompleteGang stops the other members of a gang one of which does not start because
// its zone is evacuated. They would wait for it until their time-out.
func (p *Plan) stopIncompleteGang(now time.Time, r *run) {
	if !r.task.group.step.Gang || !p.evacuated(r.executor) {
		return
	}
	for _, t := range r.task.group.tasks {
		for _, other := range t.runs {
			if other != r && other.key.attempt == r.key.attempt {
				p.stopRun(now, other, reasonEvacuated)
			}
		}
	}
}

// ZoneUse describes what is left in an evacuated zone.
type ZoneUse struct {
	Zone string
	// Tasks counts the runs that may not be over, ServiceTasks those of service tasks.
	Tasks, ServiceTasks int
	// WithoutRoom counts the service tasks for which no executor elsewhere has room.
	WithoutRoom int
	// Silent counts the executors with runs that do not answer: their runs are over when
	// the lease is.
	Silent int
	// Unsettled counts the executors of which it is not known yet what an earlier owner,
	// or a start without an answer, has left there.
	Unsettled int
}

// EvacuatedUses returns what is left in each evacuated zone, by zone.
func (p *Plan) EvacuatedUses() []ZoneUse {
	var uses []ZoneUse
	for _, zone := range slices.Sorted(maps.Keys(p.evacuatedZones)) {
		use := ZoneUse{Zone: zone}
		for _, e := range p.executors {
			if e.Zone == zone || e.entry.Zone == zone {
				use.add(e)
			}
		}
		uses = append(uses, use)
	}
	return uses
}

func (u *ZoneUse) add(e *executor) {
	runs := len(e.runs) + e.unknownRuns
	u.Tasks += runs
	for _, r := range e.runs {
		if !r.task.group.step.Service {
			continue
		}
		u.ServiceTasks++
		if r.withoutRoom {
			u.WithoutRoom++
		}
	}
	if runs > 0 && !e.reachable() {
		u.Silent++
	}
	if !e.runsKnown() || e.reportRequestedAt.Before(e.reportDueAt) {
		u.Unsettled++
	}
}
