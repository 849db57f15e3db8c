// Package evacuation keeps the set of availability zones that the operator has asked to
// evacuate, as merged from changes and reads of the whole state. Answers may arrive out
// of order.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Request is the latest word of the operator about one zone.
type Request struct {
	Zone string
	// Version is that of the row, or of its removal.
	Version int64
	// TakenBack is set if the row was removed, which ends the evacuation.
	TakenBack bool
}

// Set is an immutable set of zones. The zero value is empty.
type Set struct {
	// requests has the latest request of each zone that was ever named, by zone.
	requests map[string]Request
	// completeAt is the version of the newest read of the whole state.
	completeAt int64
}

// WithChanges returns the set after changes, in any order. A change that is not newer
// than what is known of its zone has no effect.
func (s Set) WithChanges(changes []Request) Set {
	next := Set{maps.Clone(s.requests), s.completeAt}
	for _, r := range changes {
		if r.Version <= next.knownVersion(r.Zone) {
			continue
		}
		if next.requests == nil {
			next.requests = make(map[string]Request, len(changes))
		}
		next.requests[r.Zone] = r
	}
	return next
}

// WithComplete returns the set after a read of the whole state at a version. A zone that
// the read does not name was taken back, at that version at the latest, unless a newer
// request is known. Reads are needed when the store no longer has the changes.
func (s Set) WithComplete(version int64, requests []Request) Set {
	next := s.WithChanges(requests)
	named := make(map[string]bool, len(requests))
	for _, r := range requests {
		named[r.Zone] = true
	}
	for zone, r := range next.requests {
		if !named[zone] && !r.TakenBack && r.Version <= version {
			next.requests[zone] = Request{Zone: zone, Version: version, TakenBack: true}
		}
	}
	next.completeAt = max(next.completeAt, version)
	return next
}

// knownVersion returns the version up to which everything about a zone is known.
func (s Set) knownVersion(zone string) int64 {
	if r, ok := s.requests[zone]; ok {
		return r.Version
	}
	return s.completeAt
}

// Has reports whether a zone is evacuated.
func (s Set) Has(zone string) bool {
	r, ok := s.requests[zone]
	return ok && !r.TakenBack
}

// Active returns the requests that are in force, by zone.
func (s Set) Active() []Request {
	var active []Request
	for _, r := range s.requests {
		if !r.TakenBack {
			active = append(active, r)
		}
	}
	slices.SortFunc(active, func(a, b Request) int { return cmp.Compare(a.Zone, b.Zone) })
	return active
}

// ChangesTo returns the requests of next that differ in effect or version from those of
// s, by zone. A zone that was taken back before s knew of it is not among them.
func (s Set) ChangesTo(next Set) []Request {
	var changes []Request
	for zone, r := range next.requests {
		if r.TakenBack && !s.Has(zone) || r == s.requests[zone] {
			continue
		}
		changes = append(changes, r)
	}
	slices.SortFunc(changes, func(a, b Request) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}
