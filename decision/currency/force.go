package currency

import "time"

// Force tells why a withdrawal is in force on a member, or that it is not.
type Force string

// Values of Force.
const (
	ForcePending   Force = "pending"
	ForceConfirmed Force = "confirmed"
	ForceBound     Force = "bound-passed"
)

// ForceOn decides whether a change at a revision is in force on a member that
// last stated stated. acceptedAt is a time at or after the one at which the
// platform committed the change. A member that lacks the change can hold no
// proof as of a later time than that, so it refuses keyed work once bound,
// the longest time without proof plus a margin, has passed.
func ForceOn(stated, revision uint64, acceptedAt, now time.Time, bound time.Duration) Force {
	if stated >= revision {
		return ForceConfirmed
	}
	if now.Sub(acceptedAt) > bound {
		return ForceBound
	}
	return ForcePending
}
