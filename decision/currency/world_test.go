package currency

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// change is one change that a host sent to the platform.
type change struct {
	revision    uint64
	committedAt time.Duration
	ackedAt     time.Duration
	orphan      bool
}

// process is one entry host in the model. Its clock differs from all others.
type process struct {
	self     Member
	know     *Knowledge
	join     *Join
	offset   time.Duration
	revision uint64
	doubt    *change
	closed   bool
	lapsed   bool
	listing  []Member
	listedAt time.Time
	reading  PlatformRead
	proof    time.Time
}

// message is a question (ageless facts of the sender) or its answer.
type message struct {
	to      Member
	askedAt time.Time
	answer  bool
	from    Member
	members []Member
	// Ages are taken on the sender's clock.
	membersAge *time.Duration
	statements map[Member]Statement
	ages       map[Member]time.Duration
	departures []Departure
	platform   uint64
	platAge    *time.Duration
}

// world is the model: the platform, the processes and the network.
type world struct {
	t         *rapid.T
	now       time.Duration
	up        bool
	head      uint64
	rows      map[string]Member
	processes map[Member]*process
	changes   []*change
	inFlight  []message
	started   uint64
}

var epoch = time.Unix(1_000_000, 0)

func (w *world) clock(p *process) time.Time { return epoch.Add(w.now + p.offset) }

func (w *world) start(name string) *process {
	w.started++
	p := &process{self: Member{name, w.started}, offset: time.Duration(w.started*7919%1000) * time.Second}
	p.know, p.join = New(p.self), NewJoin(p.self)
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

func (w *world) own(p *process) Statement {
	return Statement{Revision: p.revision, InDoubt: p.doubt != nil, MadeAt: w.clock(p)}
}

func (w *world) digest(p *process, to Member, asked time.Time, answer bool) message {
	now := w.clock(p)
	p.know.Prove(w.own(p))
	m := message{to: to, askedAt: asked, answer: answer, from: p.self, members: p.know.Members(), statements: p.know.Statements(), ages: map[Member]time.Duration{}, departures: p.know.Departures()}
	for who, s := range m.statements {
		m.ages[who] = now.Sub(s.MadeAt)
	}
	m.statements[p.self] = w.own(p)
	m.ages[p.self] = 0
	if p.closed {
		m.departures = append(m.departures, Departure{p.self, p.revision})
	} else {
		m.members = append(m.members, p.self)
	}
	if asOf := p.know.MembersAsOf(now); !asOf.IsZero() {
		age := now.Sub(asOf)
		m.membersAge = &age
	}
	if read := p.know.Platform(); !read.AsOf.IsZero() {
		age := now.Sub(read.AsOf)
		m.platform, m.platAge = read.Revision, &age
	}
	return m
}

// report converts ages to times on the asker's clock.
func (m message) report() Report {
	r := Report{From: m.from, Members: m.members, Departures: m.departures, Statements: map[Member]Statement{}}
	for who, s := range m.statements {
		r.Statements[who] = Statement{s.Revision, s.InDoubt, m.askedAt.Add(-m.ages[who])}
	}
	if m.membersAge != nil {
		r.MembersAsOf = m.askedAt.Add(-*m.membersAge)
	}
	if m.platAge != nil {
		r.Platform = PlatformRead{m.platform, m.askedAt.Add(-*m.platAge)}
	}
	return r
}

func (w *world) ask(p *process, to Member) {
	w.inFlight = append(w.inFlight, w.digest(p, to, w.clock(p), false))
}

// deliver hands over a message; a question is answered at once, and the
// answer is in flight again.
func (w *world) deliver(i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	p := w.processes[m.to]
	if p == nil {
		return
	}
	now := w.clock(p)
	if !m.answer {
		p.know.Unasked(m.report(), now)
		w.inFlight = append(w.inFlight, w.digest(p, m.from, m.askedAt, true))
		return
	}
	p.know.Answer(m.report(), now)
	if slices.Contains(m.members, p.self) {
		p.join.Confirm(m.from, m.askedAt)
	}
}

func (w *world) roundTrip(p *process, to Member) {
	w.ask(p, to)
	w.deliver(len(w.inFlight) - 1)
	if n := len(w.inFlight); n > 0 && w.inFlight[n-1].answer && w.inFlight[n-1].to == p.self {
		w.deliver(n - 1)
	}
}

func (w *world) writeRow(p *process) {
	if !w.up || p.closed || w.rows[p.self.Name].Incarnation > p.self.Incarnation {
		return
	}
	w.rows[p.self.Name] = p.self
	p.lapsed = false
	p.join.Written(w.clock(p))
}

func (w *world) listStart(p *process) {
	if w.up {
		p.listedAt = w.clock(p)
		p.listing = slices.SortedFunc(maps.Values(w.rows), compareMembers)
	}
}

func (w *world) listFinish(p *process) {
	if p.listedAt.IsZero() {
		return
	}
	listed := !p.lapsed && slices.Contains(p.listing, p.self)
	p.know.List(p.listing, p.listedAt, listed, w.clock(p))
	p.join.List(p.listing, p.listedAt)
	p.listedAt = time.Time{}
}

func (w *world) readStart(p *process) {
	if w.up {
		p.reading = PlatformRead{w.head, w.clock(p)}
	}
}

func (w *world) readFinish(p *process) {
	p.know.ReadPlatform(p.reading)
	p.revision = max(p.revision, p.reading.Revision)
}

// send puts a change in doubt; commit lets it take effect; resolve tells its
// sender.
func (w *world) send(p *process) {
	if p.doubt == nil && !p.closed && p.join.Admitted() {
		p.doubt = &change{}
	}
}

func (w *world) commit(p *process) {
	if c := p.doubt; c != nil && w.up && c.revision == 0 {
		w.head++
		c.revision, c.committedAt = w.head, w.now
		w.changes = append(w.changes, c)
	}
}

func (w *world) resolve(p *process) {
	c := p.doubt
	if c == nil {
		return
	}
	if c.revision > 0 {
		p.revision = max(p.revision, c.revision)
		c.ackedAt = w.now
	}
	p.doubt = nil
}

// resubmit has an operator repeat its latest change at another host, which
// reads the state before it acknowledges.
func (w *world) resubmit(p *process) {
	if len(w.changes) == 0 || !w.up || !p.join.Admitted() || p.closed {
		return
	}
	w.readStart(p)
	w.readFinish(p)
	if c := w.changes[len(w.changes)-1]; c.ackedAt == 0 {
		c.ackedAt = w.now
	}
}

func (w *world) crash(p *process) {
	if p.doubt != nil && p.doubt.revision > 0 {
		p.doubt.orphan = p.doubt.ackedAt == 0
	}
	delete(w.processes, p.self)
}

func (w *world) leave(p *process) {
	if !p.closed {
		p.closed = p.doubt == nil
		return
	}
	if w.up && w.rows[p.self.Name] == p.self {
		delete(w.rows, p.self.Name)
		delete(w.processes, p.self)
	}
}

// lapse ends the hold term of a process; expire has the others leave it out.
func (w *world) lapse(p *process) {
	if p.doubt == nil && !p.closed {
		p.lapsed = true
		p.join.Lapse()
		p.know.Unlist()
		p.listedAt = time.Time{}
	}
}

func (w *world) expire(p *process) {
	if p.lapsed && w.rows[p.self.Name] == p.self {
		delete(w.rows, p.self.Name)
	}
}

// check fails when a host holds proof as of a time at which a change that it
// lacks had been committed, or, for a change whose sender crashed, been
// acknowledged.
func (w *world) check() {
	for _, p := range w.alive() {
		p.proof = p.know.Prove(w.own(p))
		if p.proof.IsZero() {
			continue
		}
		asOf := p.proof.Sub(epoch) - p.offset
		for _, c := range w.changes {
			if c.revision <= p.revision {
				continue
			}
			if acked := c.ackedAt != 0 && c.ackedAt < asOf; acked || (!c.orphan && c.committedAt < asOf) {
				w.t.Fatalf("%v at revision %d holds proof as of %v; revision %d was committed at %v and acknowledged at %v",
					p.self, p.revision, asOf, c.revision, c.committedAt, c.ackedAt)
			}
		}
	}
}

func (w *world) String() string { return fmt.Sprintf("head %d at %v", w.head, w.now) }
