package poolplan

import "time"

// PlacementCounts counts what concerns tasks whose duration depends on the rack.
type PlacementCounts struct {
	// DataRackTasks and RackSensitiveTasks are the submitted tasks whose step names the
	// rack of its data, and those whose step is slower on more than one rack.
	DataRackTasks, RackSensitiveTasks int64
	// NearStarts and AwayStarts are the starts of such tasks in their preferred placement
	// and elsewhere.
	NearStarts, AwayStarts int64
	// WaitsBegun, WaitsEndedNear and WaitsGivenUp count the waits for a preferred
	// placement. Those of jobs that end meanwhile count as begun only.
	WaitsBegun, WaitsEndedNear, WaitsGivenUp int64
	// WaitTimes are the times that the ended waits took.
	WaitTimes []time.Duration
}

// TakePlacementCounts returns the counts since the last call.
func (p *Plan) TakePlacementCounts() PlacementCounts {
	c := p.placementCounts
	p.placementCounts = PlacementCounts{}
	return c
}

// countSubmitted counts the tasks of a job that was not inherited.
func (p *Plan) countSubmitted(j *job) {
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		tasks := int64(step.Count) * int64(j.spec.Occurrences())
		switch {
		case step.DataRack != "":
			p.placementCounts.DataRackTasks += tasks
		case step.OneRack:
			p.placementCounts.RackSensitiveTasks += tasks
		}
	}
}

// notePlacement counts the start of a run and records whether it is away from the
// preferred placement of its task. If it is, so are the runs of the step that would be fast
// only together with it.
func (p *Plan) notePlacement(r *run) {
	g := r.task.group
	r.task.wait = nil
	if !r.noteAway() {
		p.placementCounts.NearStarts++
		return
	}
	p.placementCounts.AwayStarts++
	g.rackChoice = nil
	if g.step.OneRack {
		g.markAway()
	}
}

// noteAway records and reports whether the run is away from its preferred placement.
func (r *run) noteAway() bool {
	g := r.task.group
	r.away = g.prefersRack() && !g.isNear(r.executor)
	return r.away
}

// noteGangStart does the same for the members of a gang, which are all fast or all slow.
func (p *Plan) noteGangStart(g *group) {
	if !g.prefersRack() {
		return
	}
	g.wait = nil
	members := int64(len(g.tasks))
	for _, t := range g.tasks {
		if !g.isNear(t.runs[0].executor) {
			g.markAway()
			p.placementCounts.AwayStarts += members
			return
		}
	}
	p.placementCounts.NearStarts += members
}

// markAway marks all runs of a group as away from their preferred placement.
func (g *group) markAway() {
	for _, t := range g.tasks {
		for _, r := range t.runs {
			r.away = true
		}
	}
}

// prefersRack reports whether the duration of the group's tasks depends on the rack.
func (g *group) prefersRack() bool { return g.step.DataRack != "" || g.step.OneRack }

// isNear reports whether e is in the rack of the step's data, if it names one, and in the
// rack of all runs of the group, if the step is slower on more than one rack.
func (g *group) isNear(e *executor) bool {
	if g.step.DataRack != "" && g.step.DataRack != e.Rack {
		return false
	}
	return !g.step.OneRack || g.runsOnlyIn(e.Rack)
}

// runsOnlyIn reports whether no run of the group is outside a rack.
func (g *group) runsOnlyIn(rack string) bool {
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if !r.trial && r.executor.Rack != rack {
				return false
			}
		}
	}
	return true
}
