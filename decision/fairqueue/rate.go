package fairqueue

import (
	"math"
	"time"
)

const (
	// rateDecayTime is the time constant of the exponential decay of past
	// starts.
	rateDecayTime = 10 * time.Second
	// minBacklogTime is the time with waiting requests that must be observed
	// before the rate is used.
	minBacklogTime = 500 * time.Millisecond
)

// startRate measures the starts per second of a flow over the time in which it
// had waiting requests. Both sums decay, so that the rate follows the load.
type startRate struct {
	updatedAt      time.Time
	starts         float64
	backlogSeconds float64
}

// advance updates the rate to now; wasWaiting states whether requests have been
// waiting since the last call.
func (r *startRate) advance(wasWaiting bool, now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || elapsed <= 0 {
		if r.updatedAt.IsZero() {
			r.updatedAt = now
		}
		return
	}
	r.updatedAt = now
	if !wasWaiting {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rateDecayTime.Seconds())
	r.starts *= decay
	r.backlogSeconds = r.backlogSeconds*decay + rateDecayTime.Seconds()*(1-decay)
}

func (r *startRate) started() { r.starts++ }

// estimateWait estimates the time until a request with ahead requests before it
// starts. The upcoming start is counted too, so that a period without starts
// does not give a rate of zero.
func (r *startRate) estimateWait(ahead int) time.Duration {
	if ahead == 0 || r.backlogSeconds < minBacklogTime.Seconds() {
		return 0
	}
	seconds := float64(ahead) * r.backlogSeconds / (r.starts + 1)
	return time.Duration(seconds * float64(time.Second))
}
