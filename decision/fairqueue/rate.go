package fairqueue

import (
	"math"
	"time"
)

const (
	// rateDecayTime is the time constant with which older starts lose weight.
	rateDecayTime = 10 * time.Second
	// minBacklogTime is the time with waiting requests that must have been
	// seen before the rate says anything.
	minBacklogTime = 500 * time.Millisecond
)

// startRate measures the starts per second of a line over the time in which it had
// waiting requests. Both sums decay, so that the rate follows the load.
type startRate struct {
	updatedAt      time.Time
	starts         float64
	backlogSeconds float64
}

// advance moves the rate to now; waiting tells whether requests waited since
// the last call.
func (r *startRate) advance(waiting bool, now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || elapsed <= 0 {
		if r.updatedAt.IsZero() {
			r.updatedAt = now
		}
		return
	}
	r.updatedAt = now
	if !waiting {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateDecayTime.Seconds())
	r.starts *= keep
	r.backlogSeconds = r.backlogSeconds*keep + rateDecayTime.Seconds()*(1-keep)
}

func (r *startRate) started() { r.starts++ }

// estimateWait estimates the time until a request with a number of others ahead
// starts. The start that is about to come counts as one more, so that a pause
// without any start is not taken as a rate of zero.
func (r *startRate) estimateWait(ahead int) time.Duration {
	if ahead == 0 || r.backlogSeconds < minBacklogTime.Seconds() {
		return 0
	}
	seconds := float64(ahead) * r.backlogSeconds / (r.starts + 1)
	return time.Duration(seconds * float64(time.Second))
}
