package poolplan

import "time"

// Delays of the restarts of a service task that keeps failing soon after its start. They
// stay well below the 6 s within which such a task has to be started again.
const (
	// settledAfter is how long a run must have lasted for its failure not to count.
	settledAfter = 5 * time.Second
	// promptRestarts is the number of failures after which a restart is not delayed.
	promptRestarts = 2
	// baseRestartDelay is doubled with each further failure, up to maxRestartDoublings
	// times.
	baseRestartDelay    = 100 * time.Millisecond
	maxRestartDoublings = 4
)

// restart says when a service task may start again.
type restart struct {
	// earlyFailures is the number of runs in a row that failed soon after their start.
	earlyFailures int
	notBefore     time.Time
}

// recordFailure records a run that failed after ranFor.
func (r *restart) recordFailure(now time.Time, ranFor time.Duration) {
	if ranFor >= settledAfter {
		*r = restart{}
		return
	}
	r.earlyFailures++
	if extra := r.earlyFailures - promptRestarts; extra > 0 {
		r.notBefore = now.Add(baseRestartDelay << min(extra-1, maxRestartDoublings))
	}
}
