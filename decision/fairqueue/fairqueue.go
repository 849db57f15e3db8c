// Package fairqueue admits requests and orders those that wait on one entry
// host.
//
// Within a pool, urgent work goes first and may use reserved slots; batch work
// leaves room while interactive work waits, but gets one start in batchTurn.
// Within a class, the next start goes to the team with the least use divided
// by its share (weighted max-min fairness; Demers, Keshav and Shenker, SIGCOMM
// 1989, for the tie-break by virtual start times). Use is the number of
// running requests over the whole fleet: what peers told, and the local starts.
//
// Urgent work is not held back for others; the limits of its teams bound it.
package fairqueue

import (
	"container/heap"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// DefaultMaxWaiting bounds a queue that names no bound.
	DefaultMaxWaiting = 256
	// reservedPart of a pool's slots, and at least one, is kept for urgent
	// work.
	reservedPart = 0.05
	// batchTurn is the number of starts of a pool, while both interactive
	// and batch work wait, of which one is batch work.
	batchTurn = 16
	// minShare stands for shares that are not positive.
	minShare = 0.001
)

// Item is a request that waits.
type Item struct {
	Queue      string
	Team       string
	Pool       string
	Class      fleet.QueueClass
	Share      float64
	MaxWaiting int
	Deadline   time.Time
}

// Entry is an item in a set. Its owner is the set's owner.
type Entry struct {
	Item
	// Value is the caller's; the set does not use it.
	Value any

	line       *line
	next, prev *Entry
	heapIndex  int
}

// Pool is the state of one pool at the time of a decision.
type Pool struct {
	Name string
	// Slots of the pool's usable backend servers, and how many are free.
	Slots int
	Free  int
	// Urgent is set when the pool has a queue of class urgent, for which
	// slots are reserved.
	Urgent bool
}

// Set holds the waiting requests of one entry host. It has one owner.
type Set struct {
	pools     map[string]*classes
	queues    map[string]int
	running   map[string]int
	peers     map[string]int
	blocked   map[string]bool
	deadlines deadlines
}

// classes are the lines of one pool.
type classes struct {
	urgent, interactive, batch class
	// sinceBatch counts the interactive starts since the last batch start
	// while batch work waited.
	sinceBatch int
}

// class holds the lines of one class that are not empty, and the virtual time
// of the last start.
type class struct {
	lines   map[string]*line
	active  []*line
	virtual float64
}

// New returns an empty set.
func New() *Set {
	return &Set{
		pools:   make(map[string]*classes),
		queues:  make(map[string]int),
		running: make(map[string]int),
		peers:   make(map[string]int),
		blocked: make(map[string]bool),
	}
}

// Admit adds an item at the end of its team's line, or returns the reason for
// which it is refused: its deadline has passed or would pass before its start
// at the measured rate, or its queue is full.
func (s *Set) Admit(item Item, value any, now time.Time) (*Entry, fault.Reason) {
	if !now.Before(item.Deadline) {
		return nil, fault.ReasonDeadline
	}
	if s.queues[item.Queue] >= maxWaiting(item) {
		return nil, fault.ReasonQueueFull
	}
	l := s.line(item)
	l.rate.advance(l.length > 0, now)
	if now.Add(l.rate.wait(l.length)).After(item.Deadline) {
		return nil, fault.ReasonWouldMissDeadline
	}
	e := &Entry{Item: item, Value: value, line: l}
	l.share = max(minShare, item.Share)
	l.pushBack(e)
	s.added(e)
	return e, ""
}

func maxWaiting(item Item) int {
	if item.MaxWaiting > 0 {
		return item.MaxWaiting
	}
	return DefaultMaxWaiting
}

// PutBack returns an entry that was started to the front of its line. The
// bound of its queue does not apply, because it was admitted before.
func (s *Set) PutBack(e *Entry, now time.Time) {
	e.line.rate.advance(e.line.length > 0, now)
	e.line.pushFront(e)
	s.added(e)
}

func (s *Set) added(e *Entry) {
	l := e.line
	if l.length == 1 {
		l.pass = max(l.pass, l.class.virtual)
		l.class.active = append(l.class.active, l)
	}
	s.queues[e.Queue]++
	heap.Push(&s.deadlines, e)
}

// Remove takes a waiting entry out, for example when its caller has gone. It
// does nothing when e does not wait.
func (s *Set) Remove(e *Entry, now time.Time) {
	if !e.waits() {
		return
	}
	l := e.line
	l.rate.advance(true, now)
	l.unlink(e)
	if l.length == 0 {
		l.class.deactivate(l)
	}
	if s.queues[e.Queue]--; s.queues[e.Queue] == 0 {
		delete(s.queues, e.Queue)
	}
	heap.Remove(&s.deadlines, e.heapIndex)
}

// Expire removes and returns the entries whose deadline has passed.
func (s *Set) Expire(now time.Time) []*Entry {
	var expired []*Entry
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Deadline) {
		e := s.deadlines[0]
		s.Remove(e, now)
		expired = append(expired, e)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a waiting entry.
func (s *Set) NextDeadline() (time.Time, bool) {
	if len(s.deadlines) == 0 {
		return time.Time{}, false
	}
	return s.deadlines[0].Deadline, true
}

// Next returns the entry that starts next in a pool, or nil when none may. The
// entry stays in place until Start.
func (s *Set) Next(p Pool) *Entry {
	c := s.pools[p.Name]
	if c == nil || p.Free <= 0 {
		return nil
	}
	if l := s.least(&c.urgent); l != nil {
		return l.first
	}
	if p.Free <= reserved(p) {
		return nil
	}
	interactive, batch := s.least(&c.interactive), s.least(&c.batch)
	if batch != nil && (interactive == nil || c.sinceBatch >= batchTurn-1) {
		return batch.first
	}
	if interactive != nil {
		return interactive.first
	}
	return nil
}

// reserved returns the slots kept for urgent work; a pool of one slot keeps
// none.
func reserved(p Pool) int {
	if !p.Urgent {
		return 0
	}
	part := int(reservedPart*float64(p.Slots) + 0.999)
	return min(max(1, part), max(0, p.Slots-1))
}

// least returns the line that is not blocked with the least use for its share.
func (s *Set) least(c *class) *line {
	var best *line
	var bestUse float64
	for _, l := range c.active {
		if s.blocked[l.team] {
			continue
		}
		use := float64(s.running[l.team]+s.peers[l.team]) / l.share
		if best == nil || use < bestUse || use == bestUse && l.before(best) {
			best, bestUse = l, use
		}
	}
	return best
}

// Start takes an entry out and counts it as running.
func (s *Set) Start(e *Entry, now time.Time) {
	c, l := s.pools[e.Pool], e.line
	s.Remove(e, now)
	l.rate.started()
	l.class.virtual = max(l.class.virtual, l.pass)
	l.pass += 1 / l.share
	s.running[e.Team]++
	switch {
	case l.class == &c.batch || len(c.batch.active) == 0:
		c.sinceBatch = 0
	case l.class == &c.interactive:
		c.sinceBatch++
	}
}

// Ended counts the end of a started request of a team.
func (s *Set) Ended(team string) {
	if s.running[team]--; s.running[team] <= 0 {
		delete(s.running, team)
	}
}

// Running returns the started requests of a team on this host.
func (s *Set) Running(team string) int { return s.running[team] }

// Waiting returns the waiting requests of a queue.
func (s *Set) Waiting(queue string) int { return s.queues[queue] }

// SetPeerUse replaces the running requests of each team on other entry hosts.
// The set keeps the map.
func (s *Set) SetPeerUse(use map[string]int) { s.peers = use }

// Block keeps a team that is at its limit from starts, without holding up
// others, until Unblock.
func (s *Set) Block(team string) { s.blocked[team] = true }

// Unblock ends Block.
func (s *Set) Unblock(team string) { delete(s.blocked, team) }

// UnblockAll ends Block for all teams.
func (s *Set) UnblockAll() { clear(s.blocked) }

// Blocked reports whether a team is blocked.
func (s *Set) Blocked(team string) bool { return s.blocked[team] }

// Pools returns the names of the pools that have waiting requests.
func (s *Set) Pools(into []string) []string {
	into = into[:0]
	for name, c := range s.pools {
		if len(c.urgent.active)+len(c.interactive.active)+len(c.batch.active) > 0 {
			into = append(into, name)
		}
	}
	return into
}

func (s *Set) line(item Item) *line {
	c := s.pools[item.Pool]
	if c == nil {
		c = &classes{}
		s.pools[item.Pool] = c
	}
	in := c.of(item.Class)
	l := in.lines[item.Team]
	if l == nil {
		l = &line{team: item.Team, class: in}
		if in.lines == nil {
			in.lines = make(map[string]*line)
		}
		in.lines[item.Team] = l
	}
	return l
}

// of returns the lines of a class; unknown classes count as interactive.
func (c *classes) of(name fleet.QueueClass) *class {
	switch name {
	case fleet.ClassUrgent:
		return &c.urgent
	case fleet.ClassBatch:
		return &c.batch
	}
	return &c.interactive
}
