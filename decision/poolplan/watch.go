package poolplan

import (
	"time"
)

// Detection of runs that make no progress.
const (
	// stallTimeout is how long the percent of a run may stay the same. Tasks of
	// the deployments take seconds, and a report comes each holdWait.
	stallTimeout = 2500 * time.Millisecond
	// stallBelowPercent is the percent below which a run can stall.
	stallBelowPercent = 100
)

// Pacing of fillers beside service tasks.
const (
	// paceInterval separates changes of pace on one run, so that a report shows
	// the effect of one before the next.
	paceInterval = 700 * time.Millisecond
	// slowAbovePercent is the share of the latency target, in percent, above which
	// fillers are slowed.
	slowAbovePercent = 85
	// speedUpBelowPercent is the share below which fillers are sped up.
	speedUpBelowPercent = 60
	// speedUpStepPercent is how much faster a filler gets at a time, in percent.
	speedUpStepPercent = 25
)

// checkRuns stops runs that stand still and paces fillers.
func (p *Plan) checkRuns(now time.Time) {
	for _, e := range p.executors {
		if e.latencyBoundRuns > 0 && e.fillerRuns > 0 {
			p.paceFillers(now, e)
		}
		for _, r := range e.runs {
			if r.stalled(now) {
				p.addEvent(Event{What: "run stands still", Job: r.key.task.Job, Task: r.key.task.String(), Peer: e.ID, Age: now.Sub(r.percentChangedAt)})
				p.handleStall(now, e, r)
			}
		}
	}
}

func (r *run) stalled(now time.Time) bool {
	s := r.task.group.step
	if r.state != runRunning || s.Gang || s.Filler || r.percent >= stallBelowPercent || r.pacePercent < 100 {
		return false
	}
	heard := r.executor.lastAnswerAt
	return heard.Sub(r.percentChangedAt) > stallTimeout
}

func (p *Plan) handleStall(now time.Time, e *executor, r *run) {
	r.task.recordFailureOn(e)
	e.consecutiveFailures++
	if e.consecutiveFailures >= maxConsecutiveFailures {
		p.avoidExecutor(now, e, "tasks stand still")
	}
	p.stopRun(now, r, "stands still")
}

// paceFillers slows the fillers of an executor while a service task beside them
// is near its latency target, and speeds them up when all are well below.
func (p *Plan) paceFillers(now time.Time, e *executor) {
	worst := 0
	for _, r := range e.runs {
		target := r.task.group.step.LatencyTarget.Milliseconds()
		if target > 0 && r.state == runRunning && r.measurement > 0 {
			worst = max(worst, r.measurement*100/int(target))
		}
	}
	for _, r := range sortedRuns(e) {
		if !r.task.group.step.Filler || r.state != runRunning || now.Sub(r.paceOrderedAt) < paceInterval {
			continue
		}
		switch {
		case worst >= 100 && r.pacePercent > 0:
			p.orderPace(now, r, 0, worst)
		case worst > slowAbovePercent && r.pacePercent > 0:
			p.orderPace(now, r, r.pacePercent/2, worst)
		case worst < speedUpBelowPercent && r.pacePercent < 100:
			p.orderPace(now, r, min(r.pacePercent+speedUpStepPercent, 100), worst)
		}
	}
}

func (p *Plan) orderPace(now time.Time, r *run, percent, worst int) {
	p.addEvent(Event{What: "filler paced", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, Reason: paceReason(worst)})
	r.pacePercent, r.paceOrderedAt = percent, now
	p.orders = append(p.orders, Pace{Target: r.executor.target(), Task: r.key.task, Attempt: r.key.attempt, Percent: percent, Reason: paceReason(worst)})
}

func paceReason(worst int) string {
	switch {
	case worst >= 100:
		return "service task over its latency target"
	case worst > slowAbovePercent:
		return "service task near its latency target"
	}
	return "service tasks well below their latency target"
}

// PaceDone records the answer to a pace. One that was not confirmed is sent
// again after the usual pause.
func (p *Plan) PaceDone(now time.Time, o Pace, out Outcome) {
	e := p.findTarget(o.Target)
	if e == nil {
		return
	}
	if out.Answer == RefusedFence {
		p.superseded = true
		return
	}
	if out.Answer == Accepted {
		e.recordAnswer(now, out)
		return
	}
	if r := e.runs[runKey{o.Task, o.Attempt}]; r != nil && r.pacePercent == o.Percent {
		// The pace in force is not known; any other value makes the next
		// report send it again.
		r.pacePercent = min(o.Percent+1, 100)
		r.paceOrderedAt = now
	}
}
