// Package currency decides as of which time a replica of the shared state is
// proved current, and whether a change is in force on every member.
//
// A host with revision r has proof as of time t when no change that it lacks
// was acknowledged before t. Proof comes from a read of the platform's head
// that started at or after t, or from statements of all members that could
// have accepted a change, each made at or after t. All times are on the clock
// of the host that owns the Knowledge; clocks of different hosts are never
// compared.
package currency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// absenceGracePeriod is how long a member's row must have been missing before the
// member counts as ended. It is longer than the renewal period of member rows
// (10 s), so that a member that started during a platform outage can write
// its row first.
const absenceGracePeriod = 15 * time.Second

// departureRetention is how long a departure is told to others. A host that missed
// it for longer leaves the member out after its next listing.
const departureRetention = 75 * time.Minute

// Member is one process of an entry host.
type Member struct {
	Name        string
	Incarnation uint64
}

// Statement is what a member said of itself.
type Statement struct {
	Revision uint64
	// InDoubt is set while the outcome of a change that the member sent to
	// the platform is not known to it.
	InDoubt bool
	// MadeAt is a time at or before the one at which the statement was made.
	MadeAt time.Time
}

// PlatformRead is a read of the head at the platform that started at or after
// AsOf. AsOf is zero when there was none.
type PlatformRead struct {
	Revision uint64
	AsOf     time.Time
}

// Departure states that a member accepts no more changes and that every
// change it accepted is at or below Revision.
type Departure struct {
	Member   Member
	Revision uint64
}

// Report is the content of a digest that concerns currency. Times are on the
// receiver's clock.
type Report struct {
	From Member
	// Members are those that the sender knows and that may accept changes.
	Members []Member
	// MembersAsOf is a time as of which Members is complete; zero when it
	// is not known to be.
	MembersAsOf time.Time
	Statements  map[Member]Statement
	Departures  []Departure
	Platform    PlatformRead
}

// memberRecord is what a host knows of one member that may accept changes.
type memberRecord struct {
	statement     Statement
	addedAt       time.Time
	lastMessageAt time.Time
	// endedAsOf is a time by which the process had ended, because a later
	// incarnation existed; zero when there is no such evidence.
	endedAsOf time.Time
	// absentAsOf is the start of the first listing without the member.
	absentAsOf time.Time
	// departure is set once the member said that it accepts no more changes.
	departure *Departure
}

type removedMember struct {
	revision  uint64
	removedAt time.Time
}

// Tracker is all that one host knows about who may accept changes and at
// which revisions they are. It is owned by one goroutine.
type Tracker struct {
	self     Member
	members  map[Member]*memberRecord
	removed  map[Member]removedMember
	platform PlatformRead
	// membersAsOf is the completeness learned from others.
	membersAsOf time.Time
	// listedAsOf is the start of a listing that was read after the own row
	// was written; zero while the own row is not in force.
	listedAsOf time.Time
	// membersComplete is set once the replica is proved current as of listedAsOf.
	// From then on a new member needs this host's confirmation before it
	// accepts changes, so the known members are complete at any time.
	membersComplete bool
	provenAsOf      time.Time
}

// NewTracker returns the knowledge of a host that has just started.
func NewTracker(self Member) *Tracker {
	return &Tracker{self: self, members: map[Member]*memberRecord{}, removed: map[Member]removedMember{}}
}

// AddMember adds a member that another host or a setting named.
func (k *Tracker) AddMember(m Member, now time.Time) {
	if m == k.self || k.isRemoved(m) {
		return
	}
	if _, known := k.members[m]; !known {
		k.members[m] = &memberRecord{addedAt: now}
	}
	k.endEarlierIncarnations(m.Name, now)
	if r := k.members[m]; m.Name == k.self.Name && m.Incarnation < k.self.Incarnation && r.endedAsOf.IsZero() {
		r.endedAsOf = now
	}
}

// RecordMessage records that a message of m arrived at now. The message may have been
// delayed, so it says nothing about when it was sent.
func (k *Tracker) RecordMessage(m Member, now time.Time) {
	k.AddMember(m, now)
	if r := k.members[m]; r != nil {
		r.lastMessageAt = now
		r.absentAsOf = time.Time{}
	}
}

// endEarlierIncarnations marks all but the latest process of a name. The
// platform gives a name to a new process only after the old one has ended.
func (k *Tracker) endEarlierIncarnations(name string, now time.Time) {
	var latest uint64
	for m := range k.members {
		if m.Name == name {
			latest = max(latest, m.Incarnation)
		}
	}
	for m, r := range k.members {
		if m.Name == name && m.Incarnation < latest && r.endedAsOf.IsZero() {
			r.endedAsOf = now
		}
	}
}

func (k *Tracker) isRemoved(m Member) bool {
	_, ok := k.removed[m]
	return ok
}

// MergeUnsolicited merges a report that came without a question of this host. It may
// have been delayed by any amount, so only its lasting facts count.
func (k *Tracker) MergeUnsolicited(r Report, now time.Time) {
	k.RecordMessage(r.From, now)
	k.mergeTimelessFacts(r, now)
}

// MergeReply merges a report that answers this host's own question.
func (k *Tracker) MergeReply(r Report, now time.Time) {
	k.RecordMessage(r.From, now)
	k.mergeTimelessFacts(r, now)
	for m, s := range r.Statements {
		k.recordStatement(m, s)
	}
	if r.Platform.AsOf.After(k.platform.AsOf) {
		k.platform = r.Platform
	}
	// A member that the sender knows and this host left out came back, so
	// the members known here are not those of the sender.
	if r.MembersAsOf.After(k.membersAsOf) && !slices.ContainsFunc(r.Members, k.isRemoved) {
		k.membersAsOf = r.MembersAsOf
	}
}

func (k *Tracker) mergeTimelessFacts(r Report, now time.Time) {
	for _, m := range r.Members {
		k.AddMember(m, now)
	}
	for _, d := range r.Departures {
		k.RecordDeparture(d)
	}
}

func (k *Tracker) recordStatement(m Member, s Statement) {
	r := k.members[m]
	if r == nil || !s.MadeAt.After(r.statement.MadeAt) {
		return
	}
	r.statement = s
	if s.MadeAt.After(r.absentAsOf) {
		r.absentAsOf = time.Time{}
	}
}

// RecordDeparture records that a member accepts no more changes. It is left out once
// the own revision is at or above d.Revision.
func (k *Tracker) RecordDeparture(d Departure) {
	if d.Member == k.self || k.isRemoved(d.Member) {
		return
	}
	r := k.members[d.Member]
	if r == nil {
		r = &memberRecord{}
		k.members[d.Member] = r
	}
	if r.departure == nil || r.departure.Revision < d.Revision {
		r.departure = &d
	}
}

// RecordPlatformRead records a read of the head by this host.
func (k *Tracker) RecordPlatformRead(read PlatformRead) {
	if read.AsOf.After(k.platform.AsOf) {
		k.platform = read
	}
}

// MergeListing merges a listing of the members' rows whose read started at asOf.
// selfListed tells that the own row was written before asOf and is in force.
func (k *Tracker) MergeListing(members []Member, asOf time.Time, selfListed bool, now time.Time) {
	listed := make(map[Member]bool, len(members))
	for _, m := range members {
		listed[m] = true
		k.AddMember(m, now)
	}
	if !selfListed {
		return
	}
	for m, r := range k.members {
		updateAbsence(r, listed[m], asOf)
	}
	if k.listedAsOf.IsZero() {
		k.listedAsOf = asOf
	}
}

func updateAbsence(r *memberRecord, listed bool, asOf time.Time) {
	if listed {
		r.absentAsOf = time.Time{}
		return
	}
	seenSince := !r.addedAt.Before(asOf) || !r.lastMessageAt.Before(asOf) || r.statement.MadeAt.After(asOf)
	if r.absentAsOf.IsZero() && !seenSince {
		r.absentAsOf = asOf
	}
}

// InvalidateListing ends the completeness of the known members, because the own row is
// no longer in force and others may admit members without this host.
func (k *Tracker) InvalidateListing() {
	k.listedAsOf = time.Time{}
	k.membersComplete = false
}

// Prove returns the latest time as of which a replica is proved current, zero
// when it never was. own is this host's statement; own.MadeAt is read from
// the clock before the rest of it.
func (k *Tracker) Prove(own Statement) time.Time {
	k.removeEndedMembers(own)
	k.advanceProof(k.provenByPlatform(own))
	k.advanceProof(k.provenByStatements(own))
	if !k.membersComplete && !k.listedAsOf.IsZero() && !k.provenAsOf.Before(k.listedAsOf) {
		k.membersComplete = true
	}
	return k.provenAsOf
}

func (k *Tracker) advanceProof(t time.Time) {
	if t.After(k.provenAsOf) {
		k.provenAsOf = t
	}
}

func (k *Tracker) provenByPlatform(own Statement) time.Time {
	if k.platform.Revision > own.Revision {
		return time.Time{}
	}
	return k.platform.AsOf
}

func (k *Tracker) provenByStatements(own Statement) time.Time {
	if own.InDoubt {
		return time.Time{}
	}
	asOf := k.MembersAsOf(own.MadeAt)
	for _, r := range k.members {
		s := r.statement
		if s.InDoubt || s.Revision > own.Revision {
			return time.Time{}
		}
		if s.MadeAt.Before(asOf) {
			asOf = s.MadeAt
		}
	}
	return asOf
}

// MembersAsOf returns the latest time as of which the known members include
// all that may accept changes.
func (k *Tracker) MembersAsOf(now time.Time) time.Time {
	if k.membersComplete {
		return now
	}
	return k.membersAsOf
}

// removeEndedMembers leaves out the members of which nothing can come any more and whose
// every change is in the own replica.
func (k *Tracker) removeEndedMembers(own Statement) {
	for m, r := range k.members {
		if !k.removable(r, own) {
			continue
		}
		delete(k.members, m)
		k.removed[m] = removedMember{revision: own.Revision, removedAt: own.MadeAt}
	}
	for m, d := range k.removed {
		if own.MadeAt.Sub(d.removedAt) > departureRetention {
			delete(k.removed, m)
		}
	}
}

func (k *Tracker) removable(r *memberRecord, own Statement) bool {
	if r.departure != nil && r.departure.Revision <= own.Revision {
		return true
	}
	if !r.endedAsOf.IsZero() && !k.provenAsOf.Before(r.endedAsOf) {
		return true
	}
	return !r.absentAsOf.IsZero() && !k.provenAsOf.Before(r.absentAsOf.Add(absenceGracePeriod))
}

// LatestPlatformRead returns the latest read of the head that this host knows of.
func (k *Tracker) LatestPlatformRead() PlatformRead { return k.platform }

// Members returns the members that may accept changes, without this host, in
// order of their names.
func (k *Tracker) Members() []Member {
	return slices.SortedFunc(maps.Keys(k.members), compareMembers)
}

// Statements returns the latest statement of each known member that made one.
func (k *Tracker) Statements() map[Member]Statement {
	statements := make(map[Member]Statement, len(k.members))
	for m, r := range k.members {
		if !r.statement.MadeAt.IsZero() {
			statements[m] = r.statement
		}
	}
	return statements
}

// Departures returns what others have to know of the members that were left
// out or said that they accept no more changes.
func (k *Tracker) Departures() []Departure {
	var all []Departure
	for m, d := range k.removed {
		all = append(all, Departure{Member: m, Revision: d.revision})
	}
	for _, r := range k.members {
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
