// Package calltime sets the timeout of calls to the platform.
//
// The timeout adapts to the response times as RFC 6298 specifies for
// retransmissions: the smoothed response time plus a multiple of its deviation,
// doubled while calls time out. With a fixed timeout that is long enough for a
// slow store, a call whose answer was lost, or whose connection stalled, would
// wait for seconds.
package calltime

import "time"

// Bounds of the timeout.
const (
	// MinTimeout allows for a transaction that waits for others on the same
	// state part, and for a host that is short of CPU time.
	MinTimeout = 400 * time.Millisecond
	// MaxTimeout allows for a store that is 60 times slower than usual, which
	// takes 0.7 s for a transaction, behind a queue of up to 1 s.
	MaxTimeout = 2 * time.Second
	// initialTimeout is the timeout before the first answer (RFC 6298, section 2.1).
	initialTimeout = time.Second
	// maxDoublings suffices to get from MinTimeout to MaxTimeout.
	maxDoublings = 3
)

// Estimate is the response time estimate for one kind of call.
type Estimate struct {
	smoothedTime, deviation time.Duration
	timeoutDoublings        int
}

// Answered returns the estimate updated with an answer that took d.
func (e Estimate) Answered(d time.Duration) Estimate {
	if e.smoothedTime == 0 {
		return Estimate{smoothedTime: d, deviation: d / 2}
	}
	diff := (e.smoothedTime - d).Abs()
	return Estimate{
		smoothedTime: e.smoothedTime - e.smoothedTime/8 + d/8,
		deviation:    e.deviation - e.deviation/4 + diff/4,
	}
}

// TimedOut returns the estimate updated with a call that timed out.
func (e Estimate) TimedOut() Estimate {
	e.timeoutDoublings = min(e.timeoutDoublings+1, maxDoublings)
	return e
}

// SmoothedTime returns the smoothed response time; zero before the first answer.
func (e Estimate) SmoothedTime() time.Duration { return e.smoothedTime }

// Timeout returns the timeout of the next call.
func (e Estimate) Timeout() time.Duration {
	timeout := initialTimeout
	if e.smoothedTime > 0 {
		timeout = e.smoothedTime + 4*e.deviation
	}
	timeout = max(timeout, MinTimeout) << e.timeoutDoublings
	return min(timeout, MaxTimeout)
}
