// Package calltime decides how long a call to the platform may go without an
// answer before it is given up.
//
// The timeout follows the answers as RFC 6298 does for retransmissions: a
// smoothed time plus a multiple of its deviation, doubled while calls time out.
// A fixed timeout that is long enough for a slow store leaves a call whose
// answer was lost, or whose connection went silent, waiting for seconds.
package calltime

import "time"

// Bounds of the timeout.
const (
	// MinTimeout leaves room for a transaction that waits for others of its part, and
	// for a host that is short of processor time.
	MinTimeout = 400 * time.Millisecond
	// MaxTimeout covers a store that is 60 times slower, which takes 0.7 s for a
	// transaction, behind a queue of up to 1 s.
	MaxTimeout = 2 * time.Second
	// initialTimeout is the timeout before the first answer (RFC 6298, section 2.1).
	initialTimeout = time.Second
	// maxDoublings is enough to get from Min to Max.
	maxDoublings = 3
)

// Estimate is what is known of the answers to one kind of call.
type Estimate struct {
	smoothedTime, deviation time.Duration
	timeoutDoublings        int
}

// Answered returns the estimate after an answer that took d.
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

// TimedOut returns the estimate after a call without an answer.
func (e Estimate) TimedOut() Estimate {
	e.timeoutDoublings = min(e.timeoutDoublings+1, maxDoublings)
	return e
}

// SmoothedTime returns how long answers have taken lately; zero before the first.
func (e Estimate) SmoothedTime() time.Duration { return e.smoothedTime }

// Timeout returns how long the next call may take.
func (e Estimate) Timeout() time.Duration {
	timeout := initialTimeout
	if e.smoothedTime > 0 {
		timeout = e.smoothedTime + 4*e.deviation
	}
	timeout = max(timeout, MinTimeout) << e.timeoutDoublings
	return min(timeout, MaxTimeout)
}
