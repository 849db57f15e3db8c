package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/placewait"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// placementWait is the wait of a task, or of a group, for room in a rack. There is at most
// one for each start.
type placementWait struct {
	// task is the one that began the wait, or the first member of a gang.
	task    *task
	rack    string
	begunAt time.Time
	// until is the end of the wait at the latest.
	until time.Time
	// executors is the number of those in the rack that the decision was based on.
	executors int
	over      bool
}

// placementState is the state of the placement that concerns racks.
type placementState struct {
	// byRack holds the candidates of this round by rack; nil until it is needed.
	byRack map[string][]*executor
	// supplies holds the expected ends of this round.
	supplies map[supplyKey]*placewait.Supply
	// ahead counts the tasks that wait for each rack and come first in this round.
	ahead map[string]int
	// kept is the capacity that is kept for gangs until the next round.
	kept []keptCapacity
	// nextEnd is the first end of a wait; zero if there is none.
	nextEnd time.Time
	// roomWaits counts the groups that wait for room in this round, and othersWait is set
	// if there were some in the last one.
	roomWaits  int
	othersWait bool
}

type supplyKey struct {
	rack   string
	demand fleet.Resources
}

// beginPlacementRound forgets what holds for one round only.
func (p *Plan) beginPlacementRound() {
	s := &p.placement
	s.othersWait, s.roomWaits = s.roomWaits > 0, 0
	s.nextEnd = time.Time{}
	s.byRack = nil
	clear(s.supplies)
	clear(s.ahead)
}

// noteReason records why a group waits.
func (s *placementState) noteReason(reason waitReason) {
	if reason == waitRoom {
		s.roomWaits++
	}
}

// placementMatters reports whether tasks take longer away from their preferred placement.
func (p *Plan) placementMatters() bool { return p.params.RemoteFactor > 1 }

// waitsForPlacement reports whether the group's tasks may wait for room in a rack. Service
// tasks do not wait, and the time that a best-effort task takes is not known.
func (p *Plan) waitsForPlacement(g *group) bool {
	return g.prefersRack() && p.placementMatters() && !g.step.Service && !g.step.BestEffort
}

// findPlace returns the executor for a task that is not a member of a gang, or nil, and
// whether the task waits for its preferred placement.
func (p *Plan) findPlace(now time.Time, g *group, t *task, candidates []*executor) (e *executor, waits bool) {
	if !p.waitsForPlacement(g) {
		return p.findRoom(g, t, candidates), false
	}
	w := g.waitOf(t)
	if p.knownUnplaceable(g.step) && (*w == nil || (*w).over) {
		return nil, false
	}
	rack, preferred := p.preferredRack(g, candidates)
	if !preferred {
		p.giveUpWait(now, *w)
		return p.findRoom(g, t, candidates), false
	}
	near := p.inRack(rack, candidates)
	if e := p.chooseExecutor(g, t, near, nil); e != nil {
		p.endWaitNear(now, g, w)
		return e, false
	}
	decide := func(rack string, near []*executor) placewait.Decision { return p.decideWait(now, g, t, rack, near) }
	if p.goesOnWaiting(now, *w, 1, candidates, decide) {
		return nil, true
	}
	away := p.findRoom(g, t, candidates)
	if away == nil || !p.beginWait(now, t, w, rack, near, decide) {
		return away, false
	}
	return nil, true
}

// waitOf returns where the wait of a task is kept. The tasks of a step that is slower on
// more than one rack wait together.
func (g *group) waitOf(t *task) **placementWait {
	if g.step.OneRack {
		return &g.wait
	}
	return &t.wait
}

// inRack returns the candidates in a rack.
func (p *Plan) inRack(rack string, candidates []*executor) []*executor {
	return p.candidatesByRack(candidates)[rack]
}

// candidatesByRack returns the candidates of this round by rack.
func (p *Plan) candidatesByRack(candidates []*executor) map[string][]*executor {
	if p.placement.byRack == nil {
		p.placement.byRack = make(map[string][]*executor)
		for _, e := range candidates {
			p.placement.byRack[e.Rack] = append(p.placement.byRack[e.Rack], e)
		}
	}
	return p.placement.byRack
}

// preferredRack returns the rack in which tasks of the group run fastest, and whether
// there is one: the runs of a step that is slower on more than one rack may be on several
// already.
func (p *Plan) preferredRack(g *group, candidates []*executor) (rack string, preferred bool) {
	if g.step.DataRack != "" {
		return g.step.DataRack, true
	}
	if g.rackChoice == nil || g.rackChoice.round != p.round {
		g.rackChoice = &rackChoice{round: p.round}
		g.rackChoice.rack, g.rackChoice.preferred = p.findPreferredRack(g, candidates)
	}
	return g.rackChoice.rack, g.rackChoice.preferred
}

// rackChoice is the preferred rack of a step that is slower on more than one rack. It holds
// for all tasks in a round of placement, unless one of them starts away from it.
type rackChoice struct {
	round     int64
	rack      string
	preferred bool
}

// findPreferredRack looks at all tasks of the group.
func (p *Plan) findPreferredRack(g *group, candidates []*executor) (rack string, preferred bool) {
	rack, runs := g.rackOfRuns()
	if runs > 0 {
		return rack, g.runsOnlyIn(rack)
	}
	return p.roomiestRack(g, candidates)
}

// rackOfRuns returns the rack of one of the group's runs, and their number.
func (g *group) rackOfRuns() (rack string, runs int) {
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if !r.trial {
				rack = r.executor.Rack
				runs++
			}
		}
	}
	return rack, runs
}

// roomiestRack returns the rack that has room for most of the group's waiting tasks; of
// several, the one with the least room, so that others keep room for larger groups.
func (p *Plan) roomiestRack(g *group, candidates []*executor) (rack string, found bool) {
	waiting := g.waitingTasks()
	bestSlots := 0
	for _, name := range sortedKeys(p.candidatesByRack(candidates)) {
		slots := 0
		for _, e := range p.placement.byRack[name] {
			slots += g.slots(e, e.free())
		}
		usable, bestUsable := min(slots, waiting), min(bestSlots, waiting)
		if usable > bestUsable || usable == bestUsable && usable > 0 && slots < bestSlots {
			rack, bestSlots, found = name, slots, true
		}
	}
	return rack, found
}

// goesOnWaiting reports whether a wait of some tasks goes on. It is decided again when the
// rack has lost executors, and never becomes longer.
func (p *Plan) goesOnWaiting(now time.Time, w *placementWait, tasks int, candidates []*executor, decide func(rack string, near []*executor) placewait.Decision) bool {
	if w == nil || w.over {
		return false
	}
	near := p.inRack(w.rack, candidates)
	if n := waitableCount(near); now.Before(w.until) && n < w.executors {
		w.executors = n
		w.until = earlier(w.until, now.Add(decide(w.rack, near).Until))
	}
	if !now.Before(w.until) {
		p.giveUpWait(now, w)
		return false
	}
	p.noteWaiting(w, tasks)
	return true
}

// beginWait begins the wait of a task that could start away, if it is worthwhile.
func (p *Plan) beginWait(now time.Time, t *task, w **placementWait, rack string, near []*executor, decide func(rack string, near []*executor) placewait.Decision) bool {
	if *w != nil {
		return false
	}
	d := decide(rack, near)
	if d.Action == placewait.StartHere {
		return false
	}
	*w = p.newWait(now, t, rack, near, d)
	p.noteWaiting(*w, 1)
	return true
}

// newWait returns a wait that has been decided.
func (p *Plan) newWait(now time.Time, t *task, rack string, near []*executor, d placewait.Decision) *placementWait {
	p.placementCounts.WaitsBegun++
	reason := "rack " + rack + ", expected gain " + d.Gain.Round(time.Millisecond).String()
	p.addEvent(Event{Kind: "placement wait begun", Job: t.group.job.spec.ID, Task: t.id().String(), Reason: reason, EndsIn: d.Until})
	return &placementWait{task: t, rack: rack, begunAt: now, until: now.Add(d.Until), executors: waitableCount(near)}
}

// noteWaiting records in this round that tasks wait.
func (p *Plan) noteWaiting(w *placementWait, tasks int) {
	s := &p.placement
	if s.ahead == nil {
		s.ahead = make(map[string]int)
	}
	s.ahead[w.rack] += tasks
	if s.nextEnd.IsZero() || w.until.Before(s.nextEnd) {
		s.nextEnd = w.until
	}
}

// endWaitNear ends the wait of a task that starts in the preferred placement. That of a
// group goes on until its last task starts.
func (p *Plan) endWaitNear(now time.Time, g *group, w **placementWait) {
	if *w != nil && !(*w).over && !(g.step.OneRack && !g.step.Gang && g.waitingTasks() > 1) {
		p.placementCounts.WaitsEndedNear++
		p.endWait(now, *w, "in the preferred placement")
	}
}

// giveUpWait ends a wait without a start in the preferred placement.
func (p *Plan) giveUpWait(now time.Time, w *placementWait) {
	if w != nil && !w.over {
		p.placementCounts.WaitsGivenUp++
		p.endWait(now, w, "given up")
	}
}

func (p *Plan) endWait(now time.Time, w *placementWait, reason string) {
	w.over = true
	waited := now.Sub(w.begunAt)
	p.placementCounts.WaitTimes = append(p.placementCounts.WaitTimes, waited)
	p.addEvent(Event{Kind: "placement wait ended", Job: w.task.group.job.spec.ID, Task: w.task.id().String(), Reason: reason, Age: waited})
}

// decideWait decides whether a task, or a group whose tasks wait together, waits for room
// in a rack.
func (p *Plan) decideWait(now time.Time, g *group, t *task, rack string, near []*executor) placewait.Decision {
	r := p.waitRequest(now, g)
	r.Openings = 1
	if g.step.OneRack {
		r.Openings = g.waitingTasks()
	}
	r.Ahead = p.placement.ahead[rack]
	return placewait.Decide(&r, p.supply(now, g, t, rack, near))
}

// waitRequest returns what is the same for all racks.
func (p *Plan) waitRequest(now time.Time, g *group) placewait.Request {
	expected := p.predict(g)
	r := placewait.Request{
		Remaining:    expected.median,
		LogDeviation: expected.logDeviation,
		Factor:       p.params.RemoteFactor,
		Deadlines:    p.deadlines(now, g),
	}
	if p.placement.othersWait {
		// Room elsewhere is given to others, and the next one comes with the next end.
		r.AwayDelay = expected.median / time.Duration(max(p.RunCount(), 1))
	}
	return r
}

// deadlines returns the times at which the group has to be complete so that its job keeps
// its value; none if the job has no objective.
func (p *Plan) deadlines(now time.Time, g *group) []time.Duration {
	spec := g.job.spec
	if spec.Times > 0 {
		return nil
	}
	allowance := p.allowedTime(spec)
	left := spec.AcceptedAt.Add(allowance).Sub(now) - p.timeAfter(spec, g.stepIndex)
	return []time.Duration{left, left + (worthlessFactor-1)*allowance}
}

// timeAfter returns the expected time that a job needs after a step for those that depend
// on it.
func (p *Plan) timeAfter(s *workload.Spec, step int) time.Duration {
	d := p.taskDurations[s.Queue.Name]
	ends := make([]time.Duration, len(s.Steps))
	reached := make([]bool, len(s.Steps))
	reached[step] = true
	var longest time.Duration
	for i := step + 1; i < len(s.Steps); i++ {
		var begin time.Duration
		for _, a := range s.Steps[i].After {
			if a >= step && a < i && reached[a] {
				reached[i] = true
				begin = max(begin, ends[a])
			}
		}
		if reached[i] {
			ends[i] = begin + d.expected(s.Steps[i].Estimate)
			longest = max(longest, ends[i])
		}
	}
	return longest
}
