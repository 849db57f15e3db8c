package currency

import (
	"slices"
	"time"
)

// Join decides when a new member may accept changes: once every other member
// listed at the platform has confirmed that it knows the new one, or has
// ended. It is owned by one goroutine.
type Join struct {
	self      Member
	writtenAt time.Time
	confirmed map[Member]bool
	waiting   []Member
	admitted  bool
}

// NewJoin returns the state of a process whose row is not written yet.
func NewJoin(self Member) *Join {
	return &Join{self: self, confirmed: map[Member]bool{}}
}

// Written records that the own row is in force since now at the latest. Only
// confirmations asked for after now count: an earlier one may come from a
// member that has since left this one out, because its row was missing.
func (j *Join) Written(now time.Time) {
	if j.writtenAt.IsZero() {
		j.writtenAt = now
	}
}

// Lapse starts over, because others may have left this member out.
func (j *Join) Lapse() { *j = *NewJoin(j.self) }

// Confirm records that the member m named this one in the answer to a
// question asked at askedAt.
func (j *Join) Confirm(m Member, askedAt time.Time) {
	if j.writtenAt.IsZero() || askedAt.Before(j.writtenAt) {
		return
	}
	j.confirmed[m] = true
	j.decide()
}

// List takes the members listed by a read that started at asOf. Members that
// join later learn of this one from their own listing.
func (j *Join) List(members []Member, asOf time.Time) {
	if j.admitted || j.writtenAt.IsZero() || asOf.Before(j.writtenAt) {
		return
	}
	j.waiting = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m == j.self })
	if len(j.waiting) == 0 {
		j.admitted = true
	}
	j.decide()
}

func (j *Join) decide() {
	if j.admitted || len(j.waiting) == 0 {
		return
	}
	j.waiting = slices.DeleteFunc(j.waiting, func(m Member) bool { return j.confirmed[m] })
	j.admitted = len(j.waiting) == 0
}

// Admitted reports whether the member may accept changes.
func (j *Join) Admitted() bool { return j.admitted }

// Waiting returns the listed members whose confirmation is missing.
func (j *Join) Waiting() []Member { return j.waiting }
