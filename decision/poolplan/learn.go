package poolplan

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

const (
	// estimateWeight is the weight of a submitter's estimate, in logarithms,
	// against the mean duration learned for its queue. Estimates of the
	// deployments are off by a factor with a log deviation of 0.9 around
	// durations with one of 0.5, and 0.5²/(0.5²+0.9²) is 0.24.
	estimateWeight = 0.24
	// sampleWeight is the weight of one task in the mean of its queue.
	sampleWeight = 0.05
	// earlySampleWeight is the weight of the first tasks.
	earlySampleWeight = 0.25
	// earlySamples is the number of tasks with that weight.
	earlySamples = 10
	// worthlessFactor times its objective is when a job is worth nothing any more.
	worthlessFactor = 3
)

// durationEstimator learns how long the tasks of a queue take.
type durationEstimator struct {
	// logMean is the mean of the logarithms of the durations in seconds.
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
	logged := d.logMean + estimateWeight*(math.Log(estimate.Seconds())-d.logMean)
	return time.Duration(math.Exp(logged) * float64(time.Second))
}

// recordDuration takes in the duration of a task that ended well without a checkpoint.
func (p *Plan) recordDuration(now time.Time, r *run) {
	if r == nil || r.confirmedAt.IsZero() || r.task.group.step.Service || r.task.group.step.Filler {
		return
	}
	queue := r.task.group.job.spec.Queue
	if p.taskDurations[queue] == nil {
		p.taskDurations[queue] = new(durationEstimator)
	}
	p.taskDurations[queue].add(now.Sub(r.orderedAt))
}

// remainingTime returns the expected time that a job needs from a step on.
func (p *Plan) remainingTime(s *workload.Spec, first int) time.Duration {
	d := p.taskDurations[s.Queue]
	return criticalPath(s.Steps, first, func(st *workload.Step) time.Duration { return d.expected(st.Estimate) })
}

// allowedTime returns the time in which a job has to be complete to be on time.
func (p *Plan) allowedTime(s *workload.Spec) time.Duration {
	slack, target := 1.5, time.Second
	if q, ok := p.catalog.Queue(s.Queue); ok {
		slack, target = q.SlackFactor, q.LatencyTarget
	}
	return time.Duration(float64(p.remainingTime(s, 0))*slack) + target
}

// criticalPath returns the longest chain of work over the steps that are
// numbered first or higher.
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
