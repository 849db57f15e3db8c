package freshness

import "time"

// Enforcement states why a withdrawal is in force on a member, or that it is
// not yet.
type Enforcement string

// Enforcement states.
const (
	EnforcementPending     Enforcement = "pending"
	EnforcementConfirmed   Enforcement = "confirmed"
	EnforcementBoundPassed Enforcement = "bound-passed"
)

// EnforcementOn decides whether a change at a revision is in force on a member
// that last reported reportedRevision. acceptedAt is an upper bound of the time
// at which the platform committed the change. A member that lacks the change
// cannot be fresh as of a later time, so it refuses keyed work once bound, the
// maximum staleness plus a margin, has passed.
func EnforcementOn(reportedRevision, revision uint64, acceptedAt, now time.Time, bound time.Duration) Enforcement {
	if reportedRevision >= revision {
		return EnforcementConfirmed
	}
	if now.Sub(acceptedAt) > bound {
		return EnforcementBoundPassed
	}
	return EnforcementPending
}
