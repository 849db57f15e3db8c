package poolplan

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

const (
	// estimateWeight is the weight of a submitter's estimate against the mean
	// duration measured for its queue, both as logarithms. In the deployments,
	// estimates have a log deviation of 0.9 from the durations, which have one
	// of 0.5 themselves, and 0.5²/(0.5²+0.9²) is 0.24.
	estimateWeight = 0.24
	// sampleWeight is the weight of one task in the moving mean of its queue.
	sampleWeight = 0.05
	// earlySampleWeight is the weight of each of the first earlySamples tasks.
	earlySampleWeight = 0.25
	// earlySamples is the number of these tasks; the mean is used only after
	// them.
	earlySamples = 10
	// worthlessFactor is the multiple of its time objective after which a job
	// has no value any more.
	worthlessFactor = 3
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

// expected returns the expected duration of a task with the given estimate.
func (d *durationEstimator) expected(estimate time.Duration) time.Duration {
	if d == nil || d.samples < earlySamples || estimate <= 0 {
		return estimate
	}
	expectedLog := d.logMean + estimateWeight*(math.Log(estimate.Seconds())-d.logMean)
	return time.Duration(math.Exp(expectedLog) * float64(time.Second))
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
	return criticalPath(s.Steps, first, func(st *workload.Step) time.Duration { return d.expected(st.Estimate) })
}

// allowedTime returns the time within which a job has to be complete to be on
// time.
func (p *Plan) allowedTime(s *workload.Spec) time.Duration {
	terms := p.catalog.TermsOf(&s.Queue)
	return time.Duration(float64(p.remainingTime(s, 0))*terms.SlackFactor) + terms.LatencyTarget
}

// criticalPath returns the duration of the longest chain of dependent steps
// among those numbered first or higher.
func criticalPath(steps []workload.Step, first int, duration func(*workload.Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := first; i < len(steps); i++ {
		var begin time.Duration
		for _, a := range steps[i].After {
			if a >= first && a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + duration(&steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}
