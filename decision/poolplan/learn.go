package poolplan

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

const (
	// sampleWeight is the weight of one task in the moving mean of its queue.
	sampleWeight = 0.05
	// earlySampleWeight is the weight of each of the first earlySamples tasks.
	earlySampleWeight = 0.25
	// earlySamples is the number of these tasks; the mean is used only after
	// them.
	earlySamples = 10
	// worthlessFactor is the multiple of its time objective after which a job
	// has no value any more.
	worthlessFactor = waitestimate.WorthlessFactor
)

// durationEstimator estimates how long the tasks of a queue take.
type durationEstimator struct {
	// logMean is the moving mean of the logarithms of the durations in seconds.
	logMean float64
	samples int
}

func (d *durationEstimator) add(t time.Duration) {
	if t <= 0 {
		return
	}
	weight := sampleWeight
	if d.samples < earlySamples {
		weight = earlySampleWeight
	}
	value := math.Log(t.Seconds())
	if d.samples == 0 {
		weight = 1
	}
	d.logMean += weight * (value - d.logMean)
	d.samples++
}

// learned returns what the queue's tasks have shown of their durations.
func (d *durationEstimator) learned() waitestimate.Durations {
	if d == nil {
		return waitestimate.Durations{}
	}
	return waitestimate.Durations{LogMean: d.logMean, Learned: d.samples >= earlySamples}
}

// expected returns the expected duration of a task with the given estimate.
func (d *durationEstimator) expected(estimate time.Duration) time.Duration {
	return d.learned().Expected(estimate)
}

// recordDuration adds the duration of a task that succeeded to the estimator of
// its queue.
func (p *Plan) recordDuration(now time.Time, r *run) {
	if r == nil || r.confirmedAt.IsZero() || r.task.group.step.Service || r.task.group.step.BestEffort {
		return
	}
	queue := r.task.group.job.spec.Queue.Name
	if p.taskDurations[queue] == nil {
		p.taskDurations[queue] = new(durationEstimator)
	}
	duration := p.durationWhenNear(r, now.Sub(r.orderedAt))
	p.recordKindDuration(r.task.group, duration)
	p.taskDurations[queue].add(duration)
}

// remainingTime returns the expected time that a job needs from step first on.
func (p *Plan) remainingTime(s *workload.Spec, first int) time.Duration {
	d := p.taskDurations[s.Queue.Name]
	return waitestimate.CriticalPath(s.Steps, first, func(st *workload.Step) time.Duration { return d.expected(st.Estimate) })
}

// allowedTime returns the time within which a job has to be complete to be on
// time.
func (p *Plan) allowedTime(s *workload.Spec) time.Duration {
	terms := p.catalog.TermsOf(&s.Queue)
	return time.Duration(float64(p.remainingTime(s, 0))*terms.SlackFactor) + terms.LatencyTarget
}
