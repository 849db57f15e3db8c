package poolplan

import (
	"time"
)

// Detection of runs that make no progress.
const (
	// stallAfter is how long the percent of a run may stay the same. Tasks of
	// the deployments take seconds, and a report comes each holdWait.
	stallAfter = 2500 * time.Millisecond
	// stallPercent is the percent below which a run can stall.
	stallPercent = 100
)

// Pacing of fillers beside service tasks.
const (
	// paceRetry separates changes of pace on one run, so that a report shows
	// the effect of one before the next.
	paceRetry = 700 * time.Millisecond
	// paceHigh is the share of the latency target, in percent, above which
	// fillers are slowed.
	paceHigh = 85
	// paceLow is the share below which fillers are sped up.
	paceLow = 60
	// paceStep is how much faster a filler gets at a time, in percent.
	paceStep = 25
)

// watch stops runs that stand still and paces fillers.
func (p *Plan) watch(now time.Time) {
	for _, e := range p.executors {
		if e.serviceRuns > 0 && e.fillerRuns > 0 {
			p.paceFillers(now, e)
		}
		for _, r := range e.runs {
			if r.stalled(now) {
				p.note(Event{What: "run stands still", Job: r.key.task.Job, Task: r.key.task.String(), Peer: e.ID, Age: now.Sub(r.percentAt)})
				p.stalledOn(now, e, r)
			}
		}
	}
}

func (r *run) stalled(now time.Time) bool {
	s := r.task.group.step
	if r.state != runRunning || s.Gang || s.Filler || r.percent >= stallPercent || r.pace < 100 {
		return false
	}
	heard := r.executor.heardAt
	return heard.Sub(r.percentAt) > stallAfter
}

func (p *Plan) stalledOn(now time.Time, e *executor, r *run) {
	r.task.failOn(e)
	e.failures++
	if e.failures >= failureStreak {
		p.avoid(now, e, "tasks stand still")
	}
	p.stop(now, r, "stands still")
}

// paceFillers slows the fillers of an executor while a service task beside them
// is near its latency target, and speeds them up when all are well below.
func (p *Plan) paceFillers(now time.Time, e *executor) {
	worst := 0
	for _, r := range e.runs {
		target := r.task.group.step.LatencyTarget.Milliseconds()
		if target > 0 && r.state == runRunning && r.figure > 0 {
			worst = max(worst, r.figure*100/int(target))
		}
	}
	for _, r := range sortedRuns(e) {
		if !r.task.group.step.Filler || r.state != runRunning || now.Sub(r.paceAt) < paceRetry {
			continue
		}
		switch {
		case worst >= 100 && r.pace > 0:
			p.pace(now, r, 0, worst)
		case worst > paceHigh && r.pace > 0:
			p.pace(now, r, r.pace/2, worst)
		case worst < paceLow && r.pace < 100:
			p.pace(now, r, min(r.pace+paceStep, 100), worst)
		}
	}
}

func (p *Plan) pace(now time.Time, r *run, percent, worst int) {
	p.note(Event{What: "filler paced", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, Reason: paceReason(worst)})
	r.pace, r.paceAt = percent, now
	p.orders = append(p.orders, Pace{Target: r.executor.target(), Task: r.key.task, Attempt: r.key.attempt, Percent: percent, Reason: paceReason(worst)})
}

func paceReason(worst int) string {
	switch {
	case worst >= 100:
		return "service task over its latency target"
	case worst > paceHigh:
		return "service task near its latency target"
	}
	return "service tasks well below their latency target"
}

// PaceDone records the answer to a pace. One that was not confirmed is sent
// again after the usual pause.
func (p *Plan) PaceDone(now time.Time, o Pace, out Outcome) {
	e := p.find(o.Target)
	if e == nil {
		return
	}
	if out.Answer == RefusedFence {
		p.deposed = true
		return
	}
	if out.Answer == Accepted {
		e.heard(now, out)
		return
	}
	if r := e.runs[runKey{o.Task, o.Attempt}]; r != nil && r.pace == o.Percent {
		// The pace in force is not known; any other value makes the next
		// report send it again.
		r.pace = min(o.Percent+1, 100)
		r.paceAt = now
	}
}
