package waitestimate

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
	// unlearnedDeviation is the log deviation of a duration from its estimate.
	unlearnedDeviation = 0.9
	// learnedDeviation is the same once the mean of the queue is weighed in:
	// 0.5·0.9/√(0.5²+0.9²).
	learnedDeviation = 0.44
	// WorthlessFactor is the multiple of its objective after which a job has no value
	// any more.
	WorthlessFactor = 3
)

// Durations is what was learned of the durations of a queue's tasks.
type Durations struct {
	// LogMean is the mean of the logarithms of the durations in seconds.
	LogMean float64
	// Learned is set once LogMean rests on enough tasks.
	Learned bool
}

// Expected returns the expected duration of a task with the given estimate.
func (d Durations) Expected(estimate time.Duration) time.Duration {
	if !d.Learned || estimate <= 0 {
		return estimate
	}
	expectedLog := d.LogMean + estimateWeight*(math.Log(estimate.Seconds())-d.LogMean)
	return time.Duration(math.Exp(expectedLog) * float64(time.Second))
}

// deviation returns the log deviation of durations from Expected.
func (d Durations) deviation() float64 {
	if d.Learned {
		return learnedDeviation
	}
	return unlearnedDeviation
}

// sumDeviation returns the log deviation of the sum of a number of durations, whose errors
// are independent. Those of the tasks of several queues are taken as not learned.
func sumDeviation(tasks int) float64 {
	variance := math.Exp(unlearnedDeviation*unlearnedDeviation) - 1
	return math.Sqrt(math.Log(1 + variance/float64(max(tasks, 1))))
}

// CriticalPath returns the duration of the longest chain of dependent steps
// among those numbered first or higher.
func CriticalPath(steps []workload.Step, first int, duration func(*workload.Step) time.Duration) time.Duration {
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
