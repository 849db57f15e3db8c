package poolplan

import (
	"time"
)

// Detection of runs that make no progress.
const (
	// stallTimeout is how long the progress of a run may stay the same. Tasks
	// of the deployments take seconds, and a report arrives every reportWait.
	stallTimeout = 2500 * time.Millisecond
	// stallBelowPercent is the progress below which a run can stall.
	stallBelowPercent = 100
)

// Throttling of best-effort tasks beside service tasks.
const (
	// throttleInterval is the time between changes of one run's speed, so that
	// a report shows the effect of one before the next.
	throttleInterval = 700 * time.Millisecond
	// slowAbovePercent is the latency, in percent of the target, above which
	// best-effort tasks are slowed.
	slowAbovePercent = 85
	// speedUpBelowPercent is the latency below which they are sped up.
	speedUpBelowPercent = 60
	// speedUpStepPercent is by how much they are sped up at a time, in percent
	// of full speed.
	speedUpStepPercent = 25
)

// checkRuns stops stalled runs and throttles best-effort tasks.
func (p *Plan) checkRuns(now time.Time) {
	for _, e := range p.allExecutors() {
		if e.bestEffortRuns > 0 {
			p.throttleBestEffort(now, e)
		}
		for _, r := range e.runs {
			if r.stalled(now) {
				p.addEvent(Event{Kind: "run stands still", Job: r.key.task.Job, Task: r.key.task.String(), Peer: e.ID, Age: now.Sub(r.percentChangedAt)})
				p.handleStall(now, e, r)
			}
		}
	}
}

// stalled reports whether reports have shown the same progress for stallTimeout. An
// executor that only answers other orders says nothing about its runs.
func (r *run) stalled(now time.Time) bool {
	s := r.task.group.step
	if r.state != runRunning || s.Gang || s.BestEffort || r.percent >= stallBelowPercent || r.speedPercent < 100 {
		return false
	}
	return r.executor.reportedAt.Sub(r.percentChangedAt) > stallTimeout
}

func (p *Plan) handleStall(now time.Time, e *executor, r *run) {
	r.task.recordFailureOn(e)
	e.consecutiveFailures++
	if e.consecutiveFailures >= maxConsecutiveFailures {
		p.avoidExecutor(now, e, "tasks stand still")
	}
	p.stopRun(now, r, "stands still")
}

// throttleBestEffort slows the best-effort tasks of an executor while a service
// task beside them is near its latency target, and speeds them up while all are
// well below it or none is left.
func (p *Plan) throttleBestEffort(now time.Time, e *executor) {
	worstPercent := 0
	for _, r := range e.runs {
		target := r.task.group.step.LatencyTarget.Milliseconds()
		if target > 0 && r.state == runRunning && r.measurement > 0 {
			worstPercent = max(worstPercent, r.measurement*100/int(target))
		}
	}
	for _, r := range sortedRuns(e) {
		if !r.task.group.step.BestEffort || r.state != runRunning || r.undecided || now.Sub(r.throttleOrderedAt) < throttleInterval {
			continue
		}
		switch {
		case worstPercent >= 100 && (r.speedPercent > 0 || r.speedUnconfirmed):
			p.orderThrottle(now, r, 0, worstPercent)
		case worstPercent > slowAbovePercent && r.speedPercent > 0:
			p.orderThrottle(now, r, r.speedPercent/2, worstPercent)
		case worstPercent < speedUpBelowPercent && (r.speedPercent < 100 || r.speedUnconfirmed):
			p.orderThrottle(now, r, min(r.speedPercent+speedUpStepPercent, 100), worstPercent)
		case r.speedUnconfirmed:
			p.orderThrottle(now, r, r.speedPercent, worstPercent)
		}
	}
}

func (p *Plan) orderThrottle(now time.Time, r *run, percent, worstPercent int) {
	p.addEvent(Event{Kind: "filler paced", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, Reason: throttleReason(worstPercent)})
	r.speedPercent, r.throttleOrderedAt, r.speedUnconfirmed = percent, now, false
	p.orders = append(p.orders, Throttle{Target: p.target(r.executor), Task: r.key.task, Attempt: r.key.attempt, Percent: percent, Reason: throttleReason(worstPercent)})
}

func throttleReason(worstPercent int) string {
	switch {
	case worstPercent >= 100:
		return "service task over its latency target"
	case worstPercent > slowAbovePercent:
		return "service task near its latency target"
	}
	return "service tasks well below their latency target"
}

// ThrottleDone records the answer to a throttle. A throttle that was not
// confirmed is sent again after throttleInterval.
func (p *Plan) ThrottleDone(now time.Time, o Throttle, out Outcome) {
	e := p.findTarget(o.Target)
	if e == nil {
		return
	}
	if out.Answer == RefusedFencingToken {
		p.superseded = true
		return
	}
	if out.Answer == Accepted {
		e.recordAnswer(now, out)
		return
	}
	if r := e.runs[runKey{o.Task, o.Attempt}]; r != nil && r.speedPercent == o.Percent {
		// The speed in force is not known until a later check sends it again.
		r.speedUnconfirmed = true
		r.throttleOrderedAt = now
	}
}
