package currency

import "time"

// Enforcement tells why a withdrawal is in force on a member, or that it is not.
type Enforcement string

// Values of Force.
const (
	EnforcementPending     Enforcement = "pending"
	EnforcementConfirmed   Enforcement = "confirmed"
	EnforcementBoundPassed Enforcement = "bound-passed"
)

// EnforcementOn decides whether a change at a revision is in force on a member that
// last stated stated. acceptedAt is a time at or after the one at which the
// platform committed the change. A member that lacks the change can hold no
// proof as of a later time than that, so it refuses keyed work once bound,
// the longest time without proof plus a margin, has passed.
func EnforcementOn(stated, revision uint64, acceptedAt, now time.Time, bound time.Duration) Enforcement {
	if stated >= revision {
		return EnforcementConfirmed
	}
	if now.Sub(acceptedAt) > bound {
		return EnforcementBoundPassed
	}
	return EnforcementPending
}
