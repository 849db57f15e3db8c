package freshness

import (
	"slices"
	"time"
)

// Join decides when a new member may accept changes: once every other member
// listed at the platform has ended or has confirmed that it knows the new one.
// It is owned by one goroutine.
type Join struct {
	self         Member
	rowWrittenAt time.Time
	confirmed    map[Member]bool
	unconfirmed  []Member
	admitted     bool
}

// NewJoin returns the join state of a process whose row is not written yet.
func NewJoin(self Member) *Join {
	return &Join{self: self, confirmed: map[Member]bool{}}
}

// RecordRowWritten records that this member's row has been in force since now
// at the latest. Only confirmations requested from then on count: an earlier
// one may come from a member that has since removed this one because its row
// was missing.
func (j *Join) RecordRowWritten(now time.Time) {
	if j.rowWrittenAt.IsZero() {
		j.rowWrittenAt = now
	}
}

// Reset restarts the join, because others may have removed this member.
func (j *Join) Reset() { *j = *NewJoin(j.self) }

// RecordConfirmation records that m listed this member in the reply to a
// request sent at askedAt.
func (j *Join) RecordConfirmation(m Member, askedAt time.Time) {
	if j.rowWrittenAt.IsZero() || askedAt.Before(j.rowWrittenAt) {
		return
	}
	j.confirmed[m] = true
	j.updateAdmission()
}

// SetListing sets the members listed by a read that started at asOf. Members
// that join later learn of this one from their own listing.
func (j *Join) SetListing(members []Member, asOf time.Time) {
	if j.admitted || j.rowWrittenAt.IsZero() || asOf.Before(j.rowWrittenAt) {
		return
	}
	j.unconfirmed = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m == j.self })
	if len(j.unconfirmed) == 0 {
		j.admitted = true
	}
	j.updateAdmission()
}

func (j *Join) updateAdmission() {
	if j.admitted || len(j.unconfirmed) == 0 {
		return
	}
	j.unconfirmed = slices.DeleteFunc(j.unconfirmed, func(m Member) bool { return j.confirmed[m] })
	j.admitted = len(j.unconfirmed) == 0
}

// Admitted reports whether the member may accept changes.
func (j *Join) Admitted() bool { return j.admitted }

// Unconfirmed returns the listed members whose confirmation is missing.
func (j *Join) Unconfirmed() []Member { return j.unconfirmed }
