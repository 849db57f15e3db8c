package poolplan

import (
	"maps"
	"slices"
	"time"
)

// placeGang starts all members of a gang, or none.
func (p *Plan) placeGang(now time.Time, g *group, candidates []*executor) waitReason {
	for _, t := range g.tasks {
		switch {
		case t.done || len(t.runs) > 0:
			return waitGang
		case t.runLost && p.mayBeSuperseded:
			return waitPossibleSuccessor
		case p.mayHaveLateStart(now, t):
			return waitLateStart
		}
	}
	if !p.withinLimit(g, int64(len(g.tasks))) {
		p.recordBlocked(now, g, int64(len(g.tasks)))
		return waitLimit
	}
	if !p.fitsBesideUnaccounted(g, int64(len(g.tasks))) {
		return waitInheritedUse
	}
	places, waits := p.findGangPlaces(now, g, candidates)
	if waits {
		return waitPlace
	}
	if places == nil {
		// A member alone does no work, so that its trial cannot be done.
		p.startTrial(now, g, g.tasks[0], candidates)
		return waitRoom
	}
	attempt := 0
	for _, t := range g.tasks {
		attempt = max(attempt, p.nextAttempt(t))
	}
	for i, t := range g.tasks {
		p.startTask(now, t, places[i], attempt)
	}
	p.noteGangStart(g)
	return notWaiting
}

// chooseGangExecutors returns an executor for each member, in one rack if the
// step asks for it and a rack has room, or nil.
func (p *Plan) chooseGangExecutors(g *group, candidates []*executor) []*executor {
	if g.step.OneRack {
		byRack := make(map[string][]*executor)
		for _, e := range candidates {
			byRack[e.Rack] = append(byRack[e.Rack], e)
		}
		for _, rack := range slices.Sorted(maps.Keys(byRack)) {
			if places := p.fitGang(g, byRack[rack]); places != nil {
				return places
			}
		}
	}
	return p.fitGang(g, candidates)
}

func (p *Plan) fitGang(g *group, candidates []*executor) []*executor {
	planned := make(map[*executor]int)
	places := make([]*executor, 0, len(g.tasks))
	for _, t := range g.tasks {
		e := p.chooseExecutor(g, t, candidates, planned)
		if e == nil {
			return nil
		}
		planned[e]++
		places = append(places, e)
	}
	return places
}
