// Package fairqueue admits requests and orders those that wait on one entry
// host.
//
// Within a pool, urgent work goes first and may use reserved slots; batch work
// leaves room while interactive work waits, but gets one start in batchInterval.
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
	// batchInterval is the number of starts of a pool, while both interactive
	// and batch work wait, of which one is batch work.
	batchInterval = 16
	// minShare stands for shares that are not positive.
	minShare = 0.001
)

// Request is a request that waits.
type Request struct {
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
	Request
	// Value is the caller's; the set does not use it.
	Value any

	flow       *flow
	next, prev *Entry
	heapIndex  int
}

// Pool is the state of one pool at the time of a decision.
type Pool struct {
	Name string
	// Slots of the pool's usable backend servers, and how many are free.
	Slots int
	Free  int
	// HasUrgentQueue is set when the pool has a queue of class urgent, for which
	// slots are reserved.
	HasUrgentQueue bool
}

// Scheduler holds the waiting requests of one entry host. It has one owner.
type Scheduler struct {
	pools             map[string]*poolQueues
	waitingByQueue    map[string]int
	runningByTeam     map[string]int
	peerRunningByTeam map[string]int
	blockedTeams      map[string]bool
	deadlines         deadlineHeap
}

// poolQueues are the lines of one pool.
type poolQueues struct {
	urgent, interactive, batch classQueue
	// startsSinceBatch counts the interactive starts since the last batch start
	// while batch work waited.
	startsSinceBatch int
}

// classQueue holds the lines of one class that are not empty, and the virtual time
// of the last start.
type classQueue struct {
	flows       map[string]*flow
	activeFlows []*flow
	virtualTime float64
}

// New returns an empty set.
func New() *Scheduler {
	return &Scheduler{
		pools:             make(map[string]*poolQueues),
		waitingByQueue:    make(map[string]int),
		runningByTeam:     make(map[string]int),
		peerRunningByTeam: make(map[string]int),
		blockedTeams:      make(map[string]bool),
	}
}

// Admit adds an item at the end of its team's line, or returns the reason for
// which it is refused: its deadline has passed or would pass before its start
// at the measured rate, or its queue is full.
func (s *Scheduler) Admit(item Request, value any, now time.Time) (*Entry, fault.Reason) {
	if !now.Before(item.Deadline) {
		return nil, fault.ReasonDeadline
	}
	if s.waitingByQueue[item.Queue] >= maxWaiting(item) {
		return nil, fault.ReasonQueueFull
	}
	l := s.flowOf(item)
	l.rate.advance(l.length > 0, now)
	if now.Add(l.rate.estimateWait(l.length)).After(item.Deadline) {
		return nil, fault.ReasonWouldMissDeadline
	}
	e := &Entry{Request: item, Value: value, flow: l}
	l.share = max(minShare, item.Share)
	l.pushBack(e)
	s.entryAdded(e)
	return e, ""
}

func maxWaiting(item Request) int {
	if item.MaxWaiting > 0 {
		return item.MaxWaiting
	}
	return DefaultMaxWaiting
}

// Requeue returns an entry that was started to the front of its line. The
// bound of its queue does not apply, because it was admitted before.
func (s *Scheduler) Requeue(e *Entry, now time.Time) {
	e.flow.rate.advance(e.flow.length > 0, now)
	e.flow.pushFront(e)
	s.entryAdded(e)
}

func (s *Scheduler) entryAdded(e *Entry) {
	l := e.flow
	if l.length == 1 {
		l.virtualStart = max(l.virtualStart, l.class.virtualTime)
		l.class.activeFlows = append(l.class.activeFlows, l)
	}
	s.waitingByQueue[e.Queue]++
	heap.Push(&s.deadlines, e)
}

// Remove takes a waiting entry out, for example when its caller has gone. It
// does nothing when e does not wait.
func (s *Scheduler) Remove(e *Entry, now time.Time) {
	if !e.isWaiting() {
		return
	}
	l := e.flow
	l.rate.advance(true, now)
	l.unlink(e)
	if l.length == 0 {
		l.class.deactivate(l)
	}
	if s.waitingByQueue[e.Queue]--; s.waitingByQueue[e.Queue] == 0 {
		delete(s.waitingByQueue, e.Queue)
	}
	heap.Remove(&s.deadlines, e.heapIndex)
}

// Expire removes and returns the entries whose deadline has passed.
func (s *Scheduler) Expire(now time.Time) []*Entry {
	var expired []*Entry
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Deadline) {
		e := s.deadlines[0]
		s.Remove(e, now)
		expired = append(expired, e)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a waiting entry.
func (s *Scheduler) NextDeadline() (time.Time, bool) {
	if len(s.deadlines) == 0 {
		return time.Time{}, false
	}
	return s.deadlines[0].Deadline, true
}

// Next returns the entry that starts next in a pool, or nil when none may. The
// entry stays in place until Start.
func (s *Scheduler) Next(p Pool) *Entry {
	c := s.pools[p.Name]
	if c == nil || p.Free <= 0 {
		return nil
	}
	if l := s.leastUsedFlow(&c.urgent); l != nil {
		return l.first
	}
	if p.Free <= reservedSlots(p) {
		return nil
	}
	interactive, batch := s.leastUsedFlow(&c.interactive), s.leastUsedFlow(&c.batch)
	if batch != nil && (interactive == nil || c.startsSinceBatch >= batchInterval-1) {
		return batch.first
	}
	if interactive != nil {
		return interactive.first
	}
	return nil
}

// reservedSlots returns the slots kept for urgent work; a pool of one slot keeps
// none.
func reservedSlots(p Pool) int {
	if !p.HasUrgentQueue {
		return 0
	}
	part := int(reservedPart*float64(p.Slots) + 0.999)
	return min(max(1, part), max(0, p.Slots-1))
}

// leastUsedFlow returns the line that is not blocked with the least use for its share.
func (s *Scheduler) leastUsedFlow(c *classQueue) *flow {
	var best *flow
	var bestUse float64
	for _, l := range c.activeFlows {
		if s.blockedTeams[l.team] {
			continue
		}
		use := float64(s.runningByTeam[l.team]+s.peerRunningByTeam[l.team]) / l.share
		if best == nil || use < bestUse || use == bestUse && l.startsBefore(best) {
			best, bestUse = l, use
		}
	}
	return best
}

// Start takes an entry out and counts it as running.
func (s *Scheduler) Start(e *Entry, now time.Time) {
	c, l := s.pools[e.Pool], e.flow
	s.Remove(e, now)
	l.rate.started()
	l.class.virtualTime = max(l.class.virtualTime, l.virtualStart)
	l.virtualStart += 1 / l.share
	s.runningByTeam[e.Team]++
	switch {
	case l.class == &c.batch || len(c.batch.activeFlows) == 0:
		c.startsSinceBatch = 0
	case l.class == &c.interactive:
		c.startsSinceBatch++
	}
}

// RequestEnded counts the end of a started request of a team.
func (s *Scheduler) RequestEnded(team string) {
	if s.runningByTeam[team]--; s.runningByTeam[team] <= 0 {
		delete(s.runningByTeam, team)
	}
}

// Running returns the started requests of a team on this host.
func (s *Scheduler) Running(team string) int { return s.runningByTeam[team] }

// Waiting returns the waiting requests of a queue.
func (s *Scheduler) Waiting(queue string) int { return s.waitingByQueue[queue] }

// SetPeerRunning replaces the running requests of each team on other entry hosts.
// The set keeps the map.
func (s *Scheduler) SetPeerRunning(use map[string]int) { s.peerRunningByTeam = use }

// Block keeps a team that is at its limit from starts, without holding up
// others, until Unblock.
func (s *Scheduler) Block(team string) { s.blockedTeams[team] = true }

// Unblock ends Block.
func (s *Scheduler) Unblock(team string) { delete(s.blockedTeams, team) }

// UnblockAll ends Block for all teams.
func (s *Scheduler) UnblockAll() { clear(s.blockedTeams) }

// IsBlocked reports whether a team is blocked.
func (s *Scheduler) IsBlocked(team string) bool { return s.blockedTeams[team] }

// WaitingPools returns the names of the pools that have waiting requests.
func (s *Scheduler) WaitingPools(into []string) []string {
	into = into[:0]
	for name, c := range s.pools {
		if len(c.urgent.activeFlows)+len(c.interactive.activeFlows)+len(c.batch.activeFlows) > 0 {
			into = append(into, name)
		}
	}
	return into
}

func (s *Scheduler) flowOf(item Request) *flow {
	c := s.pools[item.Pool]
	if c == nil {
		c = &poolQueues{}
		s.pools[item.Pool] = c
	}
	in := c.forClass(item.Class)
	l := in.flows[item.Team]
	if l == nil {
		l = &flow{team: item.Team, class: in}
		if in.flows == nil {
			in.flows = make(map[string]*flow)
		}
		in.flows[item.Team] = l
	}
	return l
}

// forClass returns the lines of a class; unknown classes count as interactive.
func (c *poolQueues) forClass(name fleet.QueueClass) *classQueue {
	switch name {
	case fleet.ClassUrgent:
		return &c.urgent
	case fleet.ClassBatch:
		return &c.batch
	}
	return &c.interactive
}
