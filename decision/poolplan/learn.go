package poolplan

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

const (
	// estimateTrust is the weight of a submitter's estimate, in logarithms,
	// against the mean duration learned for its queue. Estimates of the
	// deployments are off by a factor with a log deviation of 0.9 around
	// durations with one of 0.5, and 0.5²/(0.5²+0.9²) is 0.24.
	estimateTrust = 0.24
	// learnWeight is the weight of one task in the mean of its queue.
	learnWeight = 0.05
	// firstWeight is the weight of the first tasks.
	firstWeight = 0.25
	// firstTasks is the number of tasks with that weight.
	firstTasks = 10
	// lateFactor times its objective is when a job is worth nothing any more.
	lateFactor = 3
)

// durations learns how long the tasks of a queue take.
type durations struct {
	// logMean is the mean of the logarithms of the durations in seconds.
	logMean float64
	tasks   int
}

func (d *durations) add(t time.Duration) {
	if t <= 0 {
		return
	}
	weight := learnWeight
	if d.tasks < firstTasks {
		weight = firstWeight
	}
	value := math.Log(t.Seconds())
	if d.tasks == 0 {
		weight = 1
	}
	d.logMean += weight * (value - d.logMean)
	d.tasks++
}

// expect returns the expected duration of a task with the given estimate.
func (d *durations) expect(estimate time.Duration) time.Duration {
	if d == nil || d.tasks < firstTasks || estimate <= 0 {
		return estimate
	}
	logged := d.logMean + estimateTrust*(math.Log(estimate.Seconds())-d.logMean)
	return time.Duration(math.Exp(logged) * float64(time.Second))
}

// learn takes in the duration of a task that ended well without a checkpoint.
func (p *Plan) learn(now time.Time, r *run) {
	if r == nil || r.confirmed.IsZero() || r.task.group.step.Service || r.task.group.step.Filler {
		return
	}
	queue := r.task.group.job.spec.Queue
	if p.learned[queue] == nil {
		p.learned[queue] = new(durations)
	}
	p.learned[queue].add(now.Sub(r.orderedAt))
}

// remaining returns the expected time that a job needs from a step on.
func (p *Plan) remaining(s *workload.Spec, first int) time.Duration {
	d := p.learned[s.Queue]
	return longestChain(s.Steps, first, func(st *workload.Step) time.Duration { return d.expect(st.Estimate) })
}

// allowance returns the time in which a job has to be complete to be on time.
func (p *Plan) allowance(s *workload.Spec) time.Duration {
	slack, target := 1.5, time.Second
	if q, ok := p.catalog.Queue(s.Queue); ok {
		slack, target = q.SlackFactor, q.LatencyTarget
	}
	return time.Duration(float64(p.remaining(s, 0))*slack) + target
}

// longestChain returns the longest chain of work over the steps that are
// numbered first or higher.
func longestChain(steps []workload.Step, first int, duration func(*workload.Step) time.Duration) time.Duration {
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
