package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/placewait"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// blockedTime is how long an executor with room is expected to accept no start, because
	// earlier ones or an acknowledgement have no answer yet.
	blockedTime = 50 * time.Millisecond
	// maxSlotsPerExecutor bounds the starts that are expected on one executor; tasks may
	// demand next to nothing.
	maxSlotsPerExecutor = 64
)

// waitable reports whether an executor that accepts work now is one to wait for.
func (e *executor) waitable() bool { return !e.Leaving && !e.StaleAck }

func waitableCount(executors []*executor) int {
	n := 0
	for _, e := range executors {
		if e.waitable() {
			n++
		}
	}
	return n
}

// slots returns how many of the group's tasks fit into the free part of an executor.
func (g *group) slots(e *executor, free fleet.Resources) int {
	if !g.mayRunOn(e, 0) {
		return 0
	}
	most := maxSlotsPerExecutor
	if g.step.MaxPerExecutor > 0 {
		most = min(most, g.step.MaxPerExecutor)
	}
	n := 0
	for demand := g.step.Demand(); n < most && demand.Fits(free); n++ {
		free = free.Sub(demand)
	}
	return n
}

// supply returns the room that is expected for a group's tasks on the executors of a rack.
func (p *Plan) supply(now time.Time, g *group, t *task, rack string, near []*executor) *placewait.Supply {
	key := supplyKey{rack, g.step.Demand()}
	shared := !g.constrained() && len(t.failedOn) == 0
	if s := p.placement.supplies[key]; shared && s != nil {
		return s
	}
	var ends []placewait.End
	leaveOutFailed := p.leavesOutFailed(g, t, nil)
	for _, e := range near {
		if e.waitable() && !(leaveOutFailed && t.failedOnExecutor(e)) {
			ends = p.appendEnds(ends, now, g, e)
		}
	}
	s := placewait.NewSupply(ends)
	if shared {
		if p.placement.supplies == nil {
			p.placement.supplies = make(map[supplyKey]*placewait.Supply)
		}
		p.placement.supplies[key] = s
	}
	return s
}

// appendEnds appends the ends on an executor each of which makes room for one more of the
// group's tasks. Ends that do not suffice alone are added up in the expected order.
func (p *Plan) appendEnds(ends []placewait.End, now time.Time, g *group, e *executor) []placewait.End {
	if !g.mayRunOn(e, 0) {
		return ends
	}
	demand, free := g.step.Demand(), e.free()
	first := len(ends)
	for demand.Fits(free) && len(ends)-first < maxSlotsPerExecutor {
		free = free.Sub(demand)
		ends = append(ends, placewait.End{Median: blockedTime, LogDeviation: estimateDeviation})
	}
	for _, r := range p.endingRuns(now, e) {
		free = free.Add(r.demand)
		for demand.Fits(free) && len(ends)-first < maxSlotsPerExecutor {
			free = free.Sub(demand)
			ends = append(ends, r.end)
		}
	}
	return ends
}

// endingRun is a run whose end is expected.
type endingRun struct {
	key    runKey
	demand fleet.Resources
	end    placewait.End
}

// endingRuns returns the runs on an executor whose end is expected, in the order of that.
func (p *Plan) endingRuns(now time.Time, e *executor) []endingRun {
	runs := make([]endingRun, 0, len(e.runs))
	for _, r := range e.runs {
		step := r.task.group.step
		if r.state != runStopping && (step.Service || step.BestEffort) {
			continue
		}
		runs = append(runs, endingRun{r.key, step.Demand(), p.expectedEnd(now, r)})
	}
	slices.SortFunc(runs, func(a, b endingRun) int {
		return cmp.Or(cmp.Compare(a.end.Median-a.end.Age, b.end.Median-b.end.Age), a.key.compare(b.key))
	})
	return runs
}

// expectedEnd returns when a run is expected to end.
func (p *Plan) expectedEnd(now time.Time, r *run) placewait.End {
	if r.state == runStopping {
		return placewait.End{Median: max(p.params.StopTime/2, time.Millisecond), LogDeviation: estimateDeviation, Age: now.Sub(r.stopOrderedAt)}
	}
	expected := p.predict(r.task.group)
	median := expected.median
	if r.away {
		median = time.Duration(float64(median) * p.params.RemoteFactor)
	}
	return placewait.End{Median: max(median, time.Millisecond), LogDeviation: expected.logDeviation, Age: now.Sub(r.orderedAt)}
}

// durationWhenNear returns how long a run that took a time would have taken in its
// preferred placement.
func (p *Plan) durationWhenNear(r *run, took time.Duration) time.Duration {
	if !r.away || !p.placementMatters() {
		return took
	}
	return time.Duration(float64(took) / p.params.RemoteFactor)
}

// nearFirst returns the candidates in a rack, and then the others from number first on.
func nearFirst(rack string, candidates []*executor, first int) []*executor {
	list := make([]*executor, 0, len(candidates))
	for _, e := range candidates {
		if e.Rack == rack {
			list = append(list, e)
		}
	}
	for i := range candidates {
		if e := candidates[(first+i)%len(candidates)]; e.Rack != rack {
			list = append(list, e)
		}
	}
	return list
}

func sortedKeys(byRack map[string][]*executor) []string { return slices.Sorted(maps.Keys(byRack)) }
