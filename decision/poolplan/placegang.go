package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/placewait"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// keptCapacity is capacity that is kept free for a gang in this round.
type keptCapacity struct {
	executor *executor
	demand   fleet.Resources
}

// releaseKept ends the keeping of capacity. Gangs that still wait keep it again at their
// turn, so that work that comes before them may use it.
func (p *Plan) releaseKept() {
	for _, k := range p.placement.kept {
		k.executor.reserved = k.executor.reserved.Sub(k.demand)
	}
	p.placement.kept = p.placement.kept[:0]
}

// findGangPlaces returns an executor for each member of a gang, or nil, and whether the
// gang waits for its preferred placement.
func (p *Plan) findGangPlaces(now time.Time, g *group, candidates []*executor) (places []*executor, waits bool) {
	if !p.waitsForPlacement(g) {
		return p.chooseGangExecutors(g, candidates), false
	}
	byRack := p.candidatesByRack(candidates)
	racks := g.preferredRacks(byRack)
	for _, rack := range racks {
		if places := p.fitGang(g, byRack[rack]); places != nil {
			p.endWaitNear(now, g, &g.wait)
			return places, false
		}
	}
	if g.wait != nil {
		decide := func(rack string, near []*executor) placewait.Decision { return p.decideGangWait(now, g, rack, near) }
		if p.goesOnWaiting(now, g.wait, len(g.tasks), candidates, decide) {
			p.keepRoom(g, byRack[g.wait.rack])
			return nil, true
		}
		return p.fitGang(g, candidates), false
	}
	places = p.fitGang(g, candidates)
	if places == nil || !p.beginGangWait(now, g, racks, byRack) {
		return places, false
	}
	p.keepRoom(g, byRack[g.wait.rack])
	return nil, true
}

// preferredRacks returns the racks in which the gang runs fastest.
func (g *group) preferredRacks(byRack map[string][]*executor) []string {
	if g.step.DataRack != "" {
		return []string{g.step.DataRack}
	}
	return sortedKeys(byRack)
}

// beginGangWait begins the wait of a gang for the rack with the largest expected gain, if
// there is one.
func (p *Plan) beginGangWait(now time.Time, g *group, racks []string, byRack map[string][]*executor) bool {
	var best placewait.Decision
	bestRack := ""
	for _, rack := range racks {
		if d := p.decideGangWait(now, g, rack, byRack[rack]); d.Gain > best.Gain {
			best, bestRack = d, rack
		}
	}
	if best.Action != placewait.Prepare {
		return false
	}
	g.wait = p.newWait(now, g.tasks[0], bestRack, byRack[bestRack], best)
	p.noteWaiting(g.wait, len(g.tasks))
	return true
}

// decideGangWait decides whether a gang waits for room in a rack, while the room that is
// there and comes free is kept for it.
func (p *Plan) decideGangWait(now time.Time, g *group, rack string, near []*executor) placewait.Decision {
	free := 0
	for _, e := range near {
		if e.waitable() {
			free += g.slots(e, e.free())
		}
	}
	members := len(g.tasks)
	free = min(free, members-1)
	r := p.waitRequest(now, g)
	r.Group, r.Openings = true, members
	r.Ahead = p.placement.ahead[rack]
	r.AwayDelay *= time.Duration(members)
	if p.placement.othersWait {
		// What is free is idle for the whole wait, the rest for half of it on average.
		r.IdleShare = float64(members+free) / float64(2*members)
	}
	return placewait.Decide(&r, p.supply(now, g, g.tasks[0], rack, near))
}

// keepRoom keeps the room in a rack that members of a gang can have.
func (p *Plan) keepRoom(g *group, near []*executor) {
	planned := make(map[*executor]int)
	var waitable []*executor
	for _, e := range near {
		if e.waitable() {
			waitable = append(waitable, e)
		}
	}
	demand := g.step.Demand()
	for _, t := range g.tasks {
		e := p.chooseExecutor(g, t, waitable, planned)
		if e == nil {
			break
		}
		planned[e]++
	}
	for e, n := range planned {
		k := keptCapacity{e, scale(demand, int64(n))}
		e.reserved = e.reserved.Add(k.demand)
		p.placement.kept = append(p.placement.kept, k)
	}
}
