package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// JobOutcome is how a job that was accepted with an estimate has ended.
type JobOutcome struct {
	// Estimate is what was expected at acceptance, and Actual what came of it.
	Estimate, Actual Timeliness
}

// Timeliness is when a job ends, by the value that it has then.
type Timeliness string

// Values of Timeliness. EndedOtherwise stands for jobs that failed or were cancelled.
const (
	EndedOnTime    Timeliness = "on-time"
	EndedLate      Timeliness = "late"
	EndedWorthless Timeliness = "worthless"
	EndedOtherwise Timeliness = "other"
)

func timelinessOf(took, allowed time.Duration) Timeliness {
	switch {
	case took <= allowed:
		return EndedOnTime
	case took <= worthlessFactor*allowed:
		return EndedLate
	}
	return EndedWorthless
}

// countOutcome counts the end of a job that was accepted with an estimate.
func (p *Plan) countOutcome(now time.Time, j *job) {
	if j.spec.ExpectedEnd == 0 || p.catalog == nil {
		return
	}
	allowed := p.allowedTime(j.spec)
	outcome := JobOutcome{timelinessOf(j.spec.ExpectedEnd, allowed), EndedOtherwise}
	if j.progress.State == workload.Completed {
		outcome.Actual = timelinessOf(now.Sub(j.spec.AcceptedAt), allowed)
	}
	if p.outcomes == nil {
		p.outcomes = make(map[JobOutcome]int)
	}
	p.outcomes[outcome]++
}

// TakeOutcomes returns the outcomes since the last call.
func (p *Plan) TakeOutcomes() map[JobOutcome]int {
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}
