package freshness

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// change is one change that a host sent to the platform.
type change struct {
	revision         uint64
	committedAt      time.Duration
	ackedAt          time.Duration
	crashedBeforeAck bool
}

// process is one entry host in the model. Its clock differs from all others by
// clockOffset.
type process struct {
	self        Member
	tracker     *Tracker
	join        *Join
	clockOffset time.Duration
	revision    uint64
	inDoubt     *change
	leaving     bool
	rowExpired  bool
	listing     []Member
	listedAt    time.Time
	reading     PlatformRead
	freshAsOf   time.Time
}

// message is a request, of which the receiver uses only facts that do not age,
// or the reply to it.
type message struct {
	to      Member
	askedAt time.Time
	isReply bool
	from    Member
	members []Member
	// The ages are measured on the sender's clock.
	membersAge       *time.Duration
	selfReports      map[Member]SelfReport
	ages             map[Member]time.Duration
	departures       []Departure
	platformRevision uint64
	platformAge      *time.Duration
}

// world is the model: the platform, the processes and the network.
type world struct {
	t            *rapid.T
	now          time.Duration
	platformUp   bool
	head         uint64
	rows         map[string]Member
	processes    map[Member]*process
	changes      []*change
	inFlight     []message
	incarnations uint64
}

var epoch = time.Unix(1_000_000, 0)

func (w *world) localTime(p *process) time.Time { return epoch.Add(w.now + p.clockOffset) }

func (w *world) start(name string) *process {
	w.incarnations++
	p := &process{self: Member{name, w.incarnations}, clockOffset: time.Duration(w.incarnations*7919%1000) * time.Second}
	p.tracker, p.join = NewTracker(p.self), NewJoin(p.self)
	w.processes[p.self] = p
	return p
}

func (w *world) running(name string) bool {
	for m := range w.processes {
		if m.Name == name {
			return true
		}
	}
	return false
}

func (w *world) alive() []*process {
	keys := slices.SortedFunc(maps.Keys(w.processes), compareMembers)
	all := make([]*process, len(keys))
	for i, m := range keys {
		all[i] = w.processes[m]
	}
	return all
}

func (w *world) selfReport(p *process) SelfReport {
	return SelfReport{Revision: p.revision, InDoubt: p.inDoubt != nil, AsOf: w.localTime(p)}
}

func (w *world) digest(p *process, to Member, askedAt time.Time, answer bool) message {
	now := w.localTime(p)
	p.tracker.UpdateFreshness(w.selfReport(p))
	m := message{to: to, askedAt: askedAt, isReply: answer, from: p.self, members: p.tracker.Members(), selfReports: p.tracker.SelfReports(), ages: map[Member]time.Duration{}, departures: p.tracker.Departures()}
	for member, s := range m.selfReports {
		m.ages[member] = now.Sub(s.AsOf)
	}
	m.selfReports[p.self] = w.selfReport(p)
	m.ages[p.self] = 0
	if p.leaving {
		m.departures = append(m.departures, Departure{p.self, p.revision})
	} else {
		m.members = append(m.members, p.self)
	}
	if asOf := p.tracker.MembersAsOf(now); !asOf.IsZero() {
		age := now.Sub(asOf)
		m.membersAge = &age
	}
	if read := p.tracker.LatestPlatformRead(); !read.AsOf.IsZero() {
		age := now.Sub(read.AsOf)
		m.platformRevision, m.platformAge = read.Revision, &age
	}
	return m
}

// report converts ages to times on the requester's clock.
func (m message) report() Report {
	r := Report{From: m.from, Members: m.members, Departures: m.departures, SelfReports: map[Member]SelfReport{}}
	for member, s := range m.selfReports {
		r.SelfReports[member] = SelfReport{s.Revision, s.InDoubt, m.askedAt.Add(-m.ages[member])}
	}
	if m.membersAge != nil {
		r.MembersAsOf = m.askedAt.Add(-*m.membersAge)
	}
	if m.platformAge != nil {
		r.Platform = PlatformRead{m.platformRevision, m.askedAt.Add(-*m.platformAge)}
	}
	return r
}

func (w *world) ask(p *process, to Member) {
	w.inFlight = append(w.inFlight, w.digest(p, to, w.localTime(p), false))
}

// deliver delivers a message. A request is answered at once, and the reply is
// put in flight.
func (w *world) deliver(i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	p := w.processes[m.to]
	if p == nil {
		return
	}
	now := w.localTime(p)
	if !m.isReply {
		p.tracker.MergeUnsolicited(m.report(), now)
		w.inFlight = append(w.inFlight, w.digest(p, m.from, m.askedAt, true))
		return
	}
	p.tracker.MergeReply(m.report(), now)
	if slices.Contains(m.members, p.self) {
		p.join.RecordConfirmation(m.from, m.askedAt)
	}
}

func (w *world) roundTrip(p *process, to Member) {
	w.ask(p, to)
	w.deliver(len(w.inFlight) - 1)
	if n := len(w.inFlight); n > 0 && w.inFlight[n-1].isReply && w.inFlight[n-1].to == p.self {
		w.deliver(n - 1)
	}
}

func (w *world) writeRow(p *process) {
	if !w.platformUp || p.leaving || w.rows[p.self.Name].Incarnation > p.self.Incarnation {
		return
	}
	w.rows[p.self.Name] = p.self
	p.rowExpired = false
	p.join.RecordRowWritten(w.localTime(p))
}

func (w *world) startListing(p *process) {
	if w.platformUp {
		p.listedAt = w.localTime(p)
		p.listing = slices.SortedFunc(maps.Values(w.rows), compareMembers)
	}
}

func (w *world) finishListing(p *process) {
	if p.listedAt.IsZero() {
		return
	}
	listed := !p.rowExpired && slices.Contains(p.listing, p.self)
	p.tracker.MergeListing(p.listing, p.listedAt, listed, w.localTime(p))
	p.join.SetListing(p.listing, p.listedAt)
	p.listedAt = time.Time{}
}

func (w *world) readStart(p *process) {
	if w.platformUp {
		p.reading = PlatformRead{w.head, w.localTime(p)}
	}
}

func (w *world) readFinish(p *process) {
	p.tracker.RecordPlatformRead(p.reading)
	p.revision = max(p.revision, p.reading.Revision)
}

// send puts a change in doubt; commit lets it take effect; resolve tells the
// sender its outcome.
func (w *world) send(p *process) {
	if p.inDoubt == nil && !p.leaving && p.join.Admitted() {
		p.inDoubt = &change{}
	}
}

func (w *world) commit(p *process) {
	if c := p.inDoubt; c != nil && w.platformUp && c.revision == 0 {
		w.head++
		c.revision, c.committedAt = w.head, w.now
		w.changes = append(w.changes, c)
	}
}

func (w *world) resolve(p *process) {
	c := p.inDoubt
	if c == nil {
		return
	}
	if c.revision > 0 {
		p.revision = max(p.revision, c.revision)
		c.ackedAt = w.now
	}
	p.inDoubt = nil
}

// resubmit has an operator repeat the latest change at another host, which
// reads the state before it acknowledges the change.
func (w *world) resubmit(p *process) {
	if len(w.changes) == 0 || !w.platformUp || !p.join.Admitted() || p.leaving {
		return
	}
	w.readStart(p)
	w.readFinish(p)
	if c := w.changes[len(w.changes)-1]; c.ackedAt == 0 {
		c.ackedAt = w.now
	}
}

func (w *world) crash(p *process) {
	if p.inDoubt != nil && p.inDoubt.revision > 0 {
		p.inDoubt.crashedBeforeAck = p.inDoubt.ackedAt == 0
	}
	delete(w.processes, p.self)
}

func (w *world) leave(p *process) {
	if !p.leaving {
		p.leaving = p.inDoubt == nil
		return
	}
	if w.platformUp && w.rows[p.self.Name] == p.self {
		delete(w.rows, p.self.Name)
		delete(w.processes, p.self)
	}
}

// expireHoldTerm ends the hold term of a process; deleteExpiredRow deletes its
// row, upon which the others remove it.
func (w *world) expireHoldTerm(p *process) {
	if p.inDoubt == nil && !p.leaving {
		p.rowExpired = true
		p.join.Reset()
		p.tracker.InvalidateListing()
		p.listedAt = time.Time{}
	}
}

func (w *world) deleteExpiredRow(p *process) {
	if p.rowExpired && w.rows[p.self.Name] == p.self {
		delete(w.rows, p.self.Name)
	}
}

// check fails if a replica is fresh as of a time at which a change that it lacks
// had been committed or, for a change whose sender crashed, been acknowledged.
func (w *world) check() {
	for _, p := range w.alive() {
		p.freshAsOf = p.tracker.UpdateFreshness(w.selfReport(p))
		if p.freshAsOf.IsZero() {
			continue
		}
		asOf := p.freshAsOf.Sub(epoch) - p.clockOffset
		for _, c := range w.changes {
			if c.revision <= p.revision {
				continue
			}
			if acked := c.ackedAt != 0 && c.ackedAt < asOf; acked || (!c.crashedBeforeAck && c.committedAt < asOf) {
				w.t.Fatalf("%v at revision %d is fresh as of %v; revision %d was committed at %v and acknowledged at %v",
					p.self, p.revision, asOf, c.revision, c.committedAt, c.ackedAt)
			}
		}
	}
}

func (w *world) String() string { return fmt.Sprintf("head %d at %v", w.head, w.now) }
