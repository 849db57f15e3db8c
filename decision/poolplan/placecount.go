package poolplan

// PlacementCounts counts what concerns tasks whose duration depends on the rack.
type PlacementCounts struct {
	// DataRackTasks and RackSensitiveTasks are the submitted tasks whose step names the
	// rack of its data, and those whose step is slower on more than one rack.
	DataRackTasks, RackSensitiveTasks int64
	// NearStarts and AwayStarts are the starts of such tasks in their preferred placement
	// and elsewhere.
	NearStarts, AwayStarts int64
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

// countStart counts the start of a task on an executor.
func (p *Plan) countStart(t *task, e *executor) {
	g := t.group
	switch {
	case !g.prefersRack():
	case g.isNear(e):
		p.placementCounts.NearStarts++
	default:
		p.placementCounts.AwayStarts++
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
			if r.executor.Rack != rack {
				return false
			}
		}
	}
	return true
}
