// Package rollout decides whether a revision is in force on all entry hosts.
//
// It does no I/O. All times are on the clock of the host that decides.
package rollout

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
)

// maxArrivals is the maximum length of a History. For a revision older than all
// of its arrivals the oldest one is used, which is later than the actual time
// and therefore safe.
const maxArrivals = 256

// Arrival is the time at which this host first received a revision.
type Arrival struct {
	Revision uint64
	At       time.Time
}

// History lists arrivals, oldest first. It is immutable.
type History []Arrival

// Add returns the history with an arrival added, if the revision is new.
func (h History) Add(revision uint64, at time.Time) History {
	if n := len(h); n > 0 && h[n-1].Revision >= revision {
		return h
	}
	next := append(slices.Clone(h), Arrival{revision, at})
	if excess := len(next) - maxArrivals; excess > 0 {
		next = next[excess:]
	}
	return next
}

// AcceptedBy returns a time not before the one at which a revision was
// accepted; ok is false while this host does not have the revision.
func (h History) AcceptedBy(revision uint64) (at time.Time, ok bool) {
	for _, s := range h {
		if s.Revision >= revision {
			return s.At, true
		}
	}
	return time.Time{}, false
}

// Member is what this host knows of one entry host.
type Member struct {
	Name     string
	Zone     string
	Revision uint64
	// LastContactAt is the time of the last message from the member, zero if
	// there was none.
	LastContactAt time.Time
}

// Status is the state of a revision's roll-out on one member.
type Status struct {
	Member
	// Confirmed is set if the member has the revision.
	Confirmed bool
	// ByBound is set if the member has not confirmed the revision, but no longer
	// serves keyed work with an older one (freshness.EnforcementOn).
	ByBound bool
}

// InForce reports whether the member serves keyed work only with the revision
// or a later one.
func (s Status) InForce() bool { return s.Confirmed || s.ByBound }

// Decide returns the status of each member at now, and whether the revision is
// in force on all of them. bound is the longest time for which a host serves
// keyed work without knowing its keys to be fresh, including a margin for
// clocks that run at different rates.
func Decide(now time.Time, revision uint64, h History, bound time.Duration, members []Member) ([]Status, bool) {
	accepted, known := h.AcceptedBy(revision)
	if !known {
		accepted = now
	}
	inForceOnAll := known
	statuses := make([]Status, 0, len(members))
	for _, m := range members {
		enforcement := freshness.EnforcementOn(m.Revision, revision, accepted, now, bound)
		s := Status{
			Member:    m,
			Confirmed: enforcement == freshness.EnforcementConfirmed,
			ByBound:   enforcement == freshness.EnforcementBoundPassed,
		}
		statuses = append(statuses, s)
		inForceOnAll = inForceOnAll && s.InForce()
	}
	return statuses, inForceOnAll
}
