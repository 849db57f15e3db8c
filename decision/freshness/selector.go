package freshness

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is a member that the next exchange may go to.
type Candidate struct {
	Address string
	// ReportedAsOf is the AsOf of its latest self-report, zero if there is none.
	ReportedAsOf time.Time
	// MustConfirm is set while the member has yet to confirm this host, which
	// only a reply from the member itself does.
	MustConfirm bool
}

// maxStalestFirst is the size of the largest group in which the member with the
// oldest self-report is asked first. In larger groups all hosts would ask the
// same member, and self-reports would spread more slowly than by random choice.
const maxStalestFirst = 8

// PeerSelector chooses the member to ask next. Among few members this is the
// one with the oldest self-report, because that one bounds the freshness; with
// every second request to the own zone instead, the replicas of 8 hosts in 3
// zones were up to 3.1 s stale during a platform outage. Among many members
// every second request goes to the own zone. A member that was asked and did
// not reply is ranked as if it had. A PeerSelector is owned by one goroutine.
type PeerSelector struct {
	rng     *rand.Rand
	askedAt map[string]time.Time
	calls   int
}

// NewPeerSelector returns a selector that breaks ties at random.
func NewPeerSelector(rng *rand.Rand) *PeerSelector {
	return &PeerSelector{rng: rng, askedAt: map[string]time.Time{}}
}

// Next returns the address to ask at now, or "" if there are no members.
// otherZones are all members outside the own zone. The zone's reader replaces
// the other choices as far as urgency requires.
func (s *PeerSelector) Next(now time.Time, sameZone, otherZones []Candidate, reader string, urgency ReaderUrgency) string {
	s.calls++
	group := otherZones
	if len(sameZone)+len(otherZones) <= maxStalestFirst {
		group = slices.Concat(sameZone, otherZones)
	} else if len(otherZones) == 0 || (s.calls%2 == 0 && len(sameZone) > 0) {
		group = sameZone
	}
	next := s.pickStalest(group)
	if urgency == ReaderUrgentAlways || (urgency == ReaderUrgentInZone && s.calls%2 == 0) {
		next = reader
	}
	s.askedAt[next] = now
	s.pruneAskedAt(sameZone, otherZones)
	return next
}

func (s *PeerSelector) pickStalest(group []Candidate) string {
	group = slices.Clone(group)
	s.rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	var next string
	var oldest time.Time
	for _, c := range group {
		// Relayed self-reports can stay newer than those of the members that are
		// asked in turn, so for MustConfirm only the time of the request counts.
		waitingSince, lastAsked := c.ReportedAsOf, s.askedAt[c.Address]
		if lastAsked.After(waitingSince) || c.MustConfirm {
			waitingSince = lastAsked
		}
		if len(group) > maxStalestFirst {
			return c.Address
		}
		if next == "" || waitingSince.Before(oldest) {
			next, oldest = c.Address, waitingSince
		}
	}
	return next
}

// pruneAskedAt drops entries of members that are no longer listed.
func (s *PeerSelector) pruneAskedAt(sameZone, otherZones []Candidate) {
	if len(s.askedAt) <= 2*(len(sameZone)+len(otherZones))+1 {
		return
	}
	for address := range s.askedAt {
		hasAddress := func(c Candidate) bool { return c.Address == address }
		if !slices.ContainsFunc(sameZone, hasAddress) && !slices.ContainsFunc(otherZones, hasAddress) {
			delete(s.askedAt, address)
		}
	}
}
