// Package rights decides how a team's rights to run are distributed over the
// entry hosts, so that the team never has more work running in the whole fleet
// than its upper limit. One right permits one request or one job to run.
//
// Row is the shared row of one team; Ledger is one entry host's record of its
// own rights. Both perform no I/O, and the time is passed in.
package rights

import (
	"cmp"
	"slices"
)

// Holder identifies one process of an entry host.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Holding is the rights of one holder. Each of Requests may be used for any
// number of requests, one after another; each of Jobs is bound to one job until
// the job's row ends.
type Holding struct {
	Holder
	Requests int `json:"requests,omitempty"`
	Jobs     int `json:"jobs,omitempty"`
	// Wanted is the number of rights that the holder lacks for waiting work; it
	// does not count against the limit.
	Wanted int `json:"wanted,omitempty"`
	// OrphanedAt is the version of the row from which the holding was last
	// orphaned. It distinguishes two times at which the same holder was
	// orphaned.
	OrphanedAt uint64 `json:"strandedAt,omitempty"`
}

// Total returns the number of rights in the holding.
func (h Holding) Total() int { return h.Requests + h.Jobs }

// Limit is a team's upper limit at one revision of the shared state.
type Limit struct {
	Rights   int    `json:"rights"`
	Revision uint64 `json:"revision"`
}

// Newer returns the limit of the higher revision, so that a host whose replica
// lags behind never grants more than a later limit allows.
func (l Limit) Newer(o Limit) Limit {
	if o.Revision > l.Revision {
		return o
	}
	return l
}

// Row is the shared record of one team's rights. Its methods return changed
// copies and leave the receiver unchanged.
type Row struct {
	// Limit is the limit under which the row was last written.
	Limit Limit `json:"limit"`
	// Holdings are sorted by host; a host has at most one.
	Holdings []Holding `json:"holdings,omitempty"`
	// Orphaned are the rights of holders that ended or disappeared. They count
	// against the limit until they are reclaimed.
	Orphaned []Holding `json:"stranded,omitempty"`
}

// Sum returns the number of rights that count against the limit.
func (r Row) Sum() int {
	sum := 0
	for _, h := range r.Holdings {
		sum += h.Total()
	}
	for _, h := range r.Orphaned {
		sum += h.Total()
	}
	return sum
}

// Free returns the number of rights that nobody holds; it is zero while the sum
// is over a lowered limit.
func (r Row) Free() int { return max(0, r.Limit.Rights-r.Sum()) }

// Excess returns by how much the sum is over a lowered limit.
func (r Row) Excess() int { return max(0, r.Sum()-r.Limit.Rights) }

// HoldingOf returns the live holding of h; it is empty if h holds nothing or
// its rights were orphaned.
func (r Row) HoldingOf(h Holder) Holding {
	i, ok := findHost(r.Holdings, h.Host)
	if ok && r.Holdings[i].Holder == h {
		return r.Holdings[i]
	}
	return Holding{Holder: h}
}

// UnderLimit returns the row with the newer of its own limit and l.
func (r Row) UnderLimit(l Limit) Row {
	r.Limit = r.Limit.Newer(l)
	return r
}

// Take gives h up to n of the free rights and returns how many it got.
func (r Row) Take(h Holder, n int) (Row, int) {
	n = min(n, r.Free())
	if n <= 0 || r.superseded(h) {
		return r, 0
	}
	return r.add(h, n, 0).reduceWanted(h, n), n
}

// GiveBack frees up to n request rights of h and returns how many it freed.
func (r Row) GiveBack(h Holder, n int) (Row, int) {
	n = min(n, r.HoldingOf(h).Requests)
	if n <= 0 {
		return r, 0
	}
	return r.add(h, -n, 0), n
}

// Move moves up to n request rights of from to another holder and returns how
// many it moved. While the sum is over the limit nothing moves, because rights
// are then only given back.
func (r Row) Move(from, to Holder, n int) (Row, int) {
	n = min(n, r.HoldingOf(from).Requests)
	if n <= 0 || from == to || r.Excess() > 0 || r.superseded(to) {
		return r, 0
	}
	return r.add(from, -n, 0).add(to, n, 0).reduceWanted(to, n), n
}

// SetWanted records how many rights h lacks.
func (r Row) SetWanted(h Holder, n int) Row {
	if r.superseded(h) {
		return r
	}
	r = r.add(h, 0, 0)
	i, ok := findHost(r.Holdings, h.Host)
	if !ok {
		r.Holdings = slices.Insert(r.Holdings, i, Holding{Holder: h})
	}
	r.Holdings[i].Wanted = n
	return r.add(h, 0, 0)
}

// reduceWanted lowers the wanted rights of h by n.
func (r Row) reduceWanted(h Holder, n int) Row {
	wanted := r.HoldingOf(h).Wanted
	if wanted == 0 {
		return r
	}
	return r.SetWanted(h, max(0, wanted-n))
}

// superseded reports whether another incarnation of h's host has a holding.
func (r Row) superseded(h Holder) bool {
	i, ok := findHost(r.Holdings, h.Host)
	return ok && r.Holdings[i].Holder != h
}

// MarkOrphaned marks the holding of h as orphaned and reports whether there was
// one. version is the version of r.
func (r Row) MarkOrphaned(h Holder, version uint64) (Row, bool) {
	i, ok := findHost(r.Holdings, h.Host)
	if !ok || r.Holdings[i].Holder != h {
		return r, false
	}
	orphaned := r.Holdings[i]
	orphaned.OrphanedAt, orphaned.Wanted = version, 0
	r.Holdings = slices.Delete(slices.Clone(r.Holdings), i, i+1)
	if isEmpty(orphaned) {
		return r, true
	}
	r.Orphaned = slices.Clone(r.Orphaned)
	if j := slices.IndexFunc(r.Orphaned, isHolder(h)); j >= 0 {
		r.Orphaned[j].Requests += orphaned.Requests
		r.Orphaned[j].Jobs += orphaned.Jobs
		r.Orphaned[j].OrphanedAt = version
		return r, true
	}
	r.Orphaned = append(r.Orphaned, orphaned)
	return r, true
}

// Reclaim frees the request rights of the orphaned holding of h. Its jobs keep
// their rights until their rows end or another scheduler adopts them. The
// caller must have made sure that no request of h can still run.
func (r Row) Reclaim(h Holder) (Row, int) {
	i := slices.IndexFunc(r.Orphaned, isHolder(h))
	if i < 0 || r.Orphaned[i].Requests == 0 {
		return r, 0
	}
	n := r.Orphaned[i].Requests
	r.Orphaned = slices.Clone(r.Orphaned)
	r.Orphaned[i].Requests = 0
	r.Orphaned = slices.DeleteFunc(r.Orphaned, isEmpty)
	return r, n
}

// PlaceJob binds one request right of h to a job.
func (r Row) PlaceJob(h Holder) (Row, bool) {
	if r.HoldingOf(h).Requests < 1 {
		return r, false
	}
	return r.add(h, -1, 1), true
}

// EndJob frees the right of a job scheduled by h. A live holder keeps the right
// for its next request unless the sum is over the limit.
func (r Row) EndJob(h Holder) (Row, bool) {
	if r.HoldingOf(h).Jobs >= 1 {
		keep := 1
		if r.Excess() > 0 {
			keep = 0
		}
		return r.add(h, keep, -1), true
	}
	return r.endOrphanedJob(h)
}

func (r Row) endOrphanedJob(h Holder) (Row, bool) {
	i := slices.IndexFunc(r.Orphaned, isHolder(h))
	if i < 0 || r.Orphaned[i].Jobs == 0 {
		return r, false
	}
	r.Orphaned = slices.Clone(r.Orphaned)
	r.Orphaned[i].Jobs--
	r.Orphaned = slices.DeleteFunc(r.Orphaned, isEmpty)
	return r, true
}

// AdoptJob moves the right of one job from its scheduler, live or orphaned, to
// the one that adopts the job. The sum does not change.
func (r Row) AdoptJob(from, to Holder) (Row, bool) {
	if r.superseded(to) {
		return r, false
	}
	if r.HoldingOf(from).Jobs >= 1 {
		return r.add(from, 0, -1).add(to, 0, 1), true
	}
	next, ok := r.endOrphanedJob(from)
	if !ok {
		return r, false
	}
	return next.add(to, 0, 1), true
}

// add changes the holding of h and removes it if it becomes empty.
func (r Row) add(h Holder, requests, jobs int) Row {
	r.Holdings = slices.Clone(r.Holdings)
	i, ok := findHost(r.Holdings, h.Host)
	if !ok {
		r.Holdings = slices.Insert(r.Holdings, i, Holding{Holder: h})
	}
	r.Holdings[i].Requests += requests
	r.Holdings[i].Jobs += jobs
	if isEmpty(r.Holdings[i]) {
		r.Holdings = slices.Delete(r.Holdings, i, i+1)
	}
	return r
}

func findHost(list []Holding, host string) (int, bool) {
	return slices.BinarySearchFunc(list, host, func(h Holding, name string) int {
		return cmp.Compare(h.Host, name)
	})
}

func isHolder(h Holder) func(Holding) bool {
	return func(x Holding) bool { return x.Holder == h }
}

func isEmpty(h Holding) bool { return h.Requests == 0 && h.Jobs == 0 && h.Wanted == 0 }
