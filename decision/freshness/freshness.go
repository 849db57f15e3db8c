// Package freshness decides as of which time a replica of the shared state is
// fresh, and whether a change is in force on every member.
//
// A replica at revision r is fresh as of time t if no change that it lacks was
// acknowledged before t. The evidence is a read of the platform's head that
// started at or after t, or self-reports of all members that could have
// accepted a change, each made at or after t. All times are on the clock of
// the host that owns the Tracker; clocks of different hosts are never compared.
// The time since t is the staleness of the replica.
package freshness

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// absenceGracePeriod is how long a member's row must have been missing before
// the member counts as ended. It is longer than the renewal period of member
// rows (10 s), so that a member that started during a platform outage can
// write its row first.
const absenceGracePeriod = 15 * time.Second

// departureRetention is how long a departure is sent to other hosts. A host
// that has not received it by then removes the member after its next listing.
const departureRetention = 75 * time.Minute

// Member identifies one process of an entry host.
type Member struct {
	Name        string
	Incarnation uint64
}

// SelfReport is a member's report on its own replica.
type SelfReport struct {
	Revision uint64
	// InDoubt is set while the member does not know the outcome of a change
	// that it sent to the platform.
	InDoubt bool
	// AsOf is a lower bound of the time at which the report was made.
	AsOf time.Time
}

// PlatformRead is a read of the platform's head that started at or after AsOf.
// AsOf is zero if there was none.
type PlatformRead struct {
	Revision uint64
	AsOf     time.Time
}

// Departure states that a member accepts no further changes and that every
// change it accepted is at or below Revision.
type Departure struct {
	Member   Member
	Revision uint64
}

// Report is the part of a digest that this package evaluates. Times are on the
// receiver's clock.
type Report struct {
	From Member
	// Members are the members known to the sender that may accept changes.
	Members []Member
	// MembersAsOf is a time as of which Members is complete; zero if it is
	// not known to be complete.
	MembersAsOf time.Time
	SelfReports map[Member]SelfReport
	Departures  []Departure
	Platform    PlatformRead
}

// memberRecord is what a host knows about a member that may accept changes.
type memberRecord struct {
	selfReport    SelfReport
	addedAt       time.Time
	lastContactAt time.Time
	// endedAsOf is a time by which the process had ended because a later
	// incarnation existed; zero if there is no such evidence.
	endedAsOf time.Time
	// absentAsOf is the start of the first listing without the member.
	absentAsOf time.Time
	// departure is set once the member announced that it accepts no further
	// changes.
	departure *Departure
}

type removedMember struct {
	revision  uint64
	removedAt time.Time
}

// Tracker records which members may accept changes and at which revisions they
// are, as known to one host. It is owned by one goroutine.
type Tracker struct {
	self     Member
	members  map[Member]*memberRecord
	removed  map[Member]removedMember
	platform PlatformRead
	// membersAsOf is the time as of which members is complete, as reported by
	// other hosts.
	membersAsOf time.Time
	// listedAsOf is the start of a listing that was read after this host's own
	// row was written; zero while that row is not in force.
	listedAsOf time.Time
	// membersComplete is set once the replica is fresh as of listedAsOf. From
	// then on a new member needs this host's confirmation before it accepts
	// changes, so the known members are always complete.
	membersComplete bool
	freshAsOf       time.Time
}

// NewTracker returns the tracker of a host that has just started.
func NewTracker(self Member) *Tracker {
	return &Tracker{self: self, members: map[Member]*memberRecord{}, removed: map[Member]removedMember{}}
}

// AddMember adds a member named by another host or by a setting.
func (t *Tracker) AddMember(m Member, now time.Time) {
	if m == t.self || t.isRemoved(m) {
		return
	}
	if _, known := t.members[m]; !known {
		t.members[m] = &memberRecord{addedAt: now}
	}
	t.endEarlierIncarnations(m.Name, now)
	if r := t.members[m]; m.Name == t.self.Name && m.Incarnation < t.self.Incarnation && r.endedAsOf.IsZero() {
		r.endedAsOf = now
	}
}

// RecordContact records a message from m that arrived at now. The message may
// have been delayed, so its arrival says nothing about when it was sent.
func (t *Tracker) RecordContact(m Member, now time.Time) {
	t.AddMember(m, now)
	if r := t.members[m]; r != nil {
		r.lastContactAt = now
		r.absentAsOf = time.Time{}
	}
}

// endEarlierIncarnations marks all but the latest process of a name as ended.
// The platform gives a name to a new process only after the old one has ended.
func (t *Tracker) endEarlierIncarnations(name string, now time.Time) {
	var latest uint64
	for m := range t.members {
		if m.Name == name {
			latest = max(latest, m.Incarnation)
		}
	}
	for m, r := range t.members {
		if m.Name == name && m.Incarnation < latest && r.endedAsOf.IsZero() {
			r.endedAsOf = now
		}
	}
}

func (t *Tracker) isRemoved(m Member) bool {
	_, ok := t.removed[m]
	return ok
}

// MergeUnsolicited merges a report that this host did not ask for. It may have
// been delayed by any amount, so only facts that do not age are taken from it.
func (t *Tracker) MergeUnsolicited(r Report, now time.Time) {
	t.RecordContact(r.From, now)
	t.mergeTimelessFacts(r, now)
}

// MergeReply merges a report sent in reply to a request of this host.
func (t *Tracker) MergeReply(r Report, now time.Time) {
	t.RecordContact(r.From, now)
	t.mergeTimelessFacts(r, now)
	for m, s := range r.SelfReports {
		t.recordSelfReport(m, s)
	}
	if r.Platform.AsOf.After(t.platform.AsOf) {
		t.platform = r.Platform
	}
	// If the sender knows a member that this host has removed, the member came
	// back, and the members known here are not the sender's.
	if r.MembersAsOf.After(t.membersAsOf) && !slices.ContainsFunc(r.Members, t.isRemoved) {
		t.membersAsOf = r.MembersAsOf
	}
}

func (t *Tracker) mergeTimelessFacts(r Report, now time.Time) {
	for _, m := range r.Members {
		t.AddMember(m, now)
	}
	for _, d := range r.Departures {
		t.RecordDeparture(d)
	}
}

func (t *Tracker) recordSelfReport(m Member, s SelfReport) {
	r := t.members[m]
	if r == nil || !s.AsOf.After(r.selfReport.AsOf) {
		return
	}
	r.selfReport = s
	if s.AsOf.After(r.absentAsOf) {
		r.absentAsOf = time.Time{}
	}
}

// RecordDeparture records that a member accepts no further changes. The member
// is removed once this host's own revision is at or above d.Revision.
func (t *Tracker) RecordDeparture(d Departure) {
	if d.Member == t.self || t.isRemoved(d.Member) {
		return
	}
	r := t.members[d.Member]
	if r == nil {
		r = &memberRecord{}
		t.members[d.Member] = r
	}
	if r.departure == nil || r.departure.Revision < d.Revision {
		r.departure = &d
	}
}

// RecordPlatformRead records this host's read of the head.
func (t *Tracker) RecordPlatformRead(read PlatformRead) {
	if read.AsOf.After(t.platform.AsOf) {
		t.platform = read
	}
}

// MergeListing merges a listing of the members' rows whose read started at
// asOf. selfListed is set if this host's own row was written before asOf and is
// in force.
func (t *Tracker) MergeListing(members []Member, asOf time.Time, selfListed bool, now time.Time) {
	listed := make(map[Member]bool, len(members))
	for _, m := range members {
		listed[m] = true
		t.AddMember(m, now)
	}
	if !selfListed {
		return
	}
	for m, r := range t.members {
		updateAbsence(r, listed[m], asOf)
	}
	if t.listedAsOf.IsZero() {
		t.listedAsOf = asOf
	}
}

func updateAbsence(r *memberRecord, listed bool, asOf time.Time) {
	if listed {
		r.absentAsOf = time.Time{}
		return
	}
	seenSinceListing := !r.addedAt.Before(asOf) || !r.lastContactAt.Before(asOf) || r.selfReport.AsOf.After(asOf)
	if r.absentAsOf.IsZero() && !seenSinceListing {
		r.absentAsOf = asOf
	}
}

// InvalidateListing marks the known members as incomplete: this host's own row
// is no longer in force, so others may admit members without this host.
func (t *Tracker) InvalidateListing() {
	t.listedAsOf = time.Time{}
	t.membersComplete = false
}

// UpdateFreshness returns the latest time as of which the replica is known to
// be fresh, or zero if there is none. own is this host's self-report; own.AsOf
// is read from the clock before the rest of it.
func (t *Tracker) UpdateFreshness(own SelfReport) time.Time {
	t.removeEndedMembers(own)
	t.advanceFreshAsOf(t.freshAsOfByPlatform(own))
	t.advanceFreshAsOf(t.freshAsOfBySelfReports(own))
	if !t.membersComplete && !t.listedAsOf.IsZero() && !t.freshAsOf.Before(t.listedAsOf) {
		t.membersComplete = true
	}
	return t.freshAsOf
}

func (t *Tracker) advanceFreshAsOf(asOf time.Time) {
	if asOf.After(t.freshAsOf) {
		t.freshAsOf = asOf
	}
}

func (t *Tracker) freshAsOfByPlatform(own SelfReport) time.Time {
	if t.platform.Revision > own.Revision {
		return time.Time{}
	}
	return t.platform.AsOf
}

func (t *Tracker) freshAsOfBySelfReports(own SelfReport) time.Time {
	if own.InDoubt {
		return time.Time{}
	}
	asOf := t.MembersAsOf(own.AsOf)
	for _, r := range t.members {
		s := r.selfReport
		if s.InDoubt || s.Revision > own.Revision {
			return time.Time{}
		}
		if s.AsOf.Before(asOf) {
			asOf = s.AsOf
		}
	}
	return asOf
}

// MembersAsOf returns the latest time as of which the known members include
// every member that may accept changes.
func (t *Tracker) MembersAsOf(now time.Time) time.Time {
	if t.membersComplete {
		return now
	}
	return t.membersAsOf
}

// removeEndedMembers removes the members that can accept no further changes and
// whose changes are all in this host's replica.
func (t *Tracker) removeEndedMembers(own SelfReport) {
	for m, r := range t.members {
		if !t.removable(r, own) {
			continue
		}
		delete(t.members, m)
		t.removed[m] = removedMember{revision: own.Revision, removedAt: own.AsOf}
	}
	for m, d := range t.removed {
		if own.AsOf.Sub(d.removedAt) > departureRetention {
			delete(t.removed, m)
		}
	}
}

func (t *Tracker) removable(r *memberRecord, own SelfReport) bool {
	if r.departure != nil && r.departure.Revision <= own.Revision {
		return true
	}
	if !r.endedAsOf.IsZero() && !t.freshAsOf.Before(r.endedAsOf) {
		return true
	}
	return !r.absentAsOf.IsZero() && !t.freshAsOf.Before(r.absentAsOf.Add(absenceGracePeriod))
}

// LatestPlatformRead returns the latest read of the head known to this host.
func (t *Tracker) LatestPlatformRead() PlatformRead { return t.platform }

// Members returns the other members that may accept changes, ordered by name
// and incarnation.
func (t *Tracker) Members() []Member {
	return slices.SortedFunc(maps.Keys(t.members), compareMembers)
}

// SelfReports returns the latest self-report of each known member that made one.
func (t *Tracker) SelfReports() map[Member]SelfReport {
	selfReports := make(map[Member]SelfReport, len(t.members))
	for m, r := range t.members {
		if !r.selfReport.AsOf.IsZero() {
			selfReports[m] = r.selfReport
		}
	}
	return selfReports
}

// Departures returns the departures to send to other hosts: of removed members
// and of members that announced that they accept no further changes.
func (t *Tracker) Departures() []Departure {
	var all []Departure
	for m, d := range t.removed {
		all = append(all, Departure{Member: m, Revision: d.revision})
	}
	for _, r := range t.members {
		if r.departure != nil {
			all = append(all, *r.departure)
		}
	}
	slices.SortFunc(all, func(a, b Departure) int { return compareMembers(a.Member, b.Member) })
	return all
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
