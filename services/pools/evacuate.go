package pools

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// maxOperatorStateAge is how old the operator's state may be when a new owner plans for the
// first time. In operation it is at most 2.8 s old (follow.Hedged). Two seconds are left
// until nothing may start in an evacuated zone (evacuate-ms, 5 s).
const maxOperatorStateAge = 3 * time.Second

// operatorStateRecent reports whether the evacuations are known well enough to plan for the
// pool. Once they are, this process follows them.
func (p *planner) operatorStateRecent(m *managedPool) bool {
	if m.operatorStateKnown {
		return true
	}
	asOf := p.s.catalogs.CurrentAsOf()
	if p.now.Sub(asOf) > maxOperatorStateAge {
		if !m.operatorStateAwaited {
			m.operatorStateAwaited = true
			p.s.log.Info().Str("pool", m.name).Int("term", m.ownership.Term).Time("as_of", asOf).Msg("nothing is planned until the operator's state has been read")
		}
		return false
	}
	m.operatorStateKnown = true
	p.refreshEvacuations()
	return true
}

// refreshEvacuations passes the evacuated zones to the plans.
func (p *planner) refreshEvacuations() {
	p.evacuations = p.s.catalogs.Evacuations()
	for _, m := range p.pools {
		if m.plan != nil {
			p.guardPool(m.ref(), func() { m.plan.SetEvacuated(zonesOf(p.evacuations)) })
		}
	}
}

func zonesOf(s evacuation.Set) map[string]bool {
	zones := make(map[string]bool)
	for _, r := range s.Active() {
		zones[r.Zone] = true
	}
	return zones
}

// evacuationStatus returns what is left of a pool in each zone that its plan evacuates.
func (p *planner) evacuationStatus(m *managedPool) []jobrecord.EvacuationStatus {
	versions := make(map[string]int64)
	for _, r := range p.evacuations.Active() {
		versions[r.Zone] = r.Version
	}
	var list []jobrecord.EvacuationStatus
	for _, u := range m.plan.EvacuatedUses() {
		list = append(list, jobrecord.EvacuationStatus{
			Zone: u.Zone, Version: versions[u.Zone], Tasks: u.Tasks, ServiceTasks: u.ServiceTasks, WithoutRoom: u.WithoutRoom, Silent: u.Silent, Unsettled: u.Unsettled,
		})
	}
	return list
}

// mayStartIn reports whether the zone of a start is not evacuated. It is checked just
// before the start is sent, because the start may have waited in a ring, or this process
// may have been paused, since it was planned.
func (s *Service) mayStartIn(o poolplan.Start) bool {
	if !s.catalogs.Evacuations().Has(o.Zone) {
		return true
	}
	s.meters.evacuationWithheld.Inc(1)
	s.log.Info().Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).Str("peer", o.Executor).Str("zone", o.Zone).Msg("start withheld: the zone is evacuated")
	return false
}
