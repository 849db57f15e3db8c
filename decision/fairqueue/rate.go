package fairqueue

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant with which older starts lose weight.
	rateMemory = 10 * time.Second
	// rateEvidence is the time with waiting requests that must have been
	// seen before the rate says anything.
	rateEvidence = 500 * time.Millisecond
)

// rate measures the starts per second of a line over the time in which it had
// waiting requests. Both sums decay, so that the rate follows the load.
type rate struct {
	as      time.Time
	starts  float64
	backlog float64
}

// advance moves the rate to now; waiting tells whether requests waited since
// the last call.
func (r *rate) advance(waiting bool, now time.Time) {
	elapsed := now.Sub(r.as)
	if r.as.IsZero() || elapsed <= 0 {
		if r.as.IsZero() {
			r.as = now
		}
		return
	}
	r.as = now
	if !waiting {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
	r.starts *= keep
	r.backlog = r.backlog*keep + rateMemory.Seconds()*(1-keep)
}

func (r *rate) started() { r.starts++ }

// wait estimates the time until a request with a number of others ahead
// starts. The start that is about to come counts as one more, so that a pause
// without any start is not taken as a rate of zero.
func (r *rate) wait(ahead int) time.Duration {
	if ahead == 0 || r.backlog < rateEvidence.Seconds() {
		return 0
	}
	seconds := float64(ahead) * r.backlog / (r.starts + 1)
	return time.Duration(seconds * float64(time.Second))
}
