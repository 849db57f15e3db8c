// Package rollout decides whether a revision is in force on all entry hosts.
//
// It is free of I/O; times are on the clock of the host that decides.
package rollout

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/currency"
)

// maxArrivals is the number of sightings that a history holds. With an
// older revision than all of them, the oldest one stands in, which is later
// than the true time and therefore safe.
const maxArrivals = 256

// Arrival is the time at which this host first had a revision.
type Arrival struct {
	Revision uint64
	At       time.Time
}

// History lists sightings, oldest first. It is immutable.
type History []Arrival

// Add returns the history with a sighting added, if the revision is new.
func (h History) Add(revision uint64, at time.Time) History {
	if n := len(h); n > 0 && h[n-1].Revision >= revision {
		return h
	}
	next := append(slices.Clone(h), Arrival{revision, at})
	if extra := len(next) - maxArrivals; extra > 0 {
		next = next[extra:]
	}
	return next
}

// AcceptedBy returns a time at or after the one at which a revision was
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
	// HeardAt is zero when the member was never heard.
	HeardAt time.Time
}

// Status is what the roll-out of a revision has come to on one member.
type Status struct {
	Member
	// Confirmed members have the revision.
	Confirmed bool
	// ByBound members have not confirmed it, and serve no keyed work with an
	// older one any more (currency.EnforcementOn).
	ByBound bool
}

// InForce reports whether keyed work is bound to the revision on the member.
func (s Status) InForce() bool { return s.Confirmed || s.ByBound }

// Decide returns the status of each member at now, and whether the revision
// is in force on all of them. bound is the longest time without proof for
// which a host serves keyed work, and includes a margin for clocks that run
// at different rates.
func Decide(now time.Time, revision uint64, h History, bound time.Duration, members []Member) ([]Status, bool) {
	accepted, known := h.AcceptedBy(revision)
	if !known {
		accepted = now
	}
	all := known
	statuses := make([]Status, 0, len(members))
	for _, m := range members {
		force := currency.EnforcementOn(m.Revision, revision, accepted, now, bound)
		s := Status{
			Member:    m,
			Confirmed: force == currency.EnforcementConfirmed,
			ByBound:   force == currency.EnforcementBoundPassed,
		}
		statuses = append(statuses, s)
		all = all && s.InForce()
	}
	return statuses, all
}
