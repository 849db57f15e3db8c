// Package fairqueue admits requests and schedules those that wait on one entry
// host.
//
// Within a pool, urgent work starts first and may use reserved slots.
// Interactive work starts before batch work, but while both wait one start in
// batchInterval is batch work. Within a class, the next start goes to the team
// with the least use divided by its share (weighted max-min fairness; Demers,
// Keshav and Shenker, SIGCOMM 1989, for the tie-break by virtual start times).
// Use is the number of requests running in the whole fleet: those reported by
// peers plus the local ones.
//
// Urgent work is never delayed for other classes; only the limits of its teams
// bound it.
package fairqueue

import (
	"container/heap"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// DefaultMaxWaiting is the limit of a queue without one of its own.
	DefaultMaxWaiting = 256
	// reservedFraction is the fraction of a pool's slots reserved for urgent
	// work; at least one slot is reserved.
	reservedFraction = 0.05
	// batchInterval is the number of starts of a pool, while both interactive
	// and batch work wait, of which one is batch work.
	batchInterval = 16
	// minShare is the lowest effective share; it replaces shares that are not
	// positive.
	minShare = 0.001
)

// Request describes a request to be scheduled.
type Request struct {
	Queue      string
	Team       string
	Pool       string
	Class      fleet.QueueClass
	Share      float64
	MaxWaiting int
	Deadline   time.Time
}

// Entry is a request in a Scheduler. It must be used only by the goroutine that
// uses the Scheduler.
type Entry struct {
	Request
	// Value belongs to the caller; the Scheduler does not use it.
	Value any

	flow       *flow
	next, prev *Entry
	heapIndex  int
}

// Pool is the state of one pool at the time of a decision.
type Pool struct {
	Name string
	// Slots counts the slots of the pool's usable backend servers; Free of them
	// are free.
	Slots int
	Free  int
	// HasUrgentQueue is set if the pool has a queue of class urgent, for which
	// slots are reserved.
	HasUrgentQueue bool
}

// Scheduler holds the waiting requests of one entry host. It must be used by one
// goroutine only.
type Scheduler struct {
	pools             map[string]*poolQueues
	waitingByQueue    map[string]int
	runningByTeam     map[string]int
	peerRunningByTeam map[string]int
	blockedTeams      map[string]bool
	deadlines         deadlineHeap
}

// poolQueues holds the queues of one pool, by class.
type poolQueues struct {
	urgent, interactive, batch classQueue
	// startsSinceBatch counts the interactive starts since the last batch start
	// while batch work was waiting.
	startsSinceBatch int
}

// classQueue holds the flows of one class, those that are not empty
// (activeFlows), and the virtual time of the last start.
type classQueue struct {
	flows       map[string]*flow
	activeFlows []*flow
	virtualTime float64
}

// New returns an empty Scheduler.
func New() *Scheduler {
	return &Scheduler{
		pools:             make(map[string]*poolQueues),
		waitingByQueue:    make(map[string]int),
		runningByTeam:     make(map[string]int),
		peerRunningByTeam: make(map[string]int),
		blockedTeams:      make(map[string]bool),
	}
}

// Admit appends a request to its team's flow, or returns the reason for which
// it is refused: its deadline has passed, or would pass before its start at the
// measured rate, or its queue is full.
func (s *Scheduler) Admit(request Request, value any, now time.Time) (*Entry, fault.Reason) {
	if !now.Before(request.Deadline) {
		return nil, fault.ReasonDeadline
	}
	if s.waitingByQueue[request.Queue] >= maxWaiting(request) {
		return nil, fault.ReasonQueueFull
	}
	f := s.flowOf(request)
	f.rate.advance(f.length > 0, now)
	if now.Add(f.rate.estimateWait(f.length)).After(request.Deadline) {
		return nil, fault.ReasonWouldMissDeadline
	}
	e := &Entry{Request: request, Value: value, flow: f}
	f.share = max(minShare, request.Share)
	f.pushBack(e)
	s.entryAdded(e)
	return e, ""
}

func maxWaiting(request Request) int {
	if request.MaxWaiting > 0 {
		return request.MaxWaiting
	}
	return DefaultMaxWaiting
}

// Requeue returns a started entry to the front of its flow. The limit of its
// queue does not apply, because it was admitted before.
func (s *Scheduler) Requeue(e *Entry, now time.Time) {
	e.flow.rate.advance(e.flow.length > 0, now)
	e.flow.pushFront(e)
	s.entryAdded(e)
}

func (s *Scheduler) entryAdded(e *Entry) {
	f := e.flow
	if f.length == 1 {
		f.virtualStart = max(f.virtualStart, f.class.virtualTime)
		f.class.activeFlows = append(f.class.activeFlows, f)
	}
	s.waitingByQueue[e.Queue]++
	heap.Push(&s.deadlines, e)
}

// Remove removes a waiting entry, for example when its caller has disconnected.
// It does nothing if e is not waiting.
func (s *Scheduler) Remove(e *Entry, now time.Time) {
	if !e.isWaiting() {
		return
	}
	f := e.flow
	f.rate.advance(true, now)
	f.unlink(e)
	if f.length == 0 {
		f.class.deactivate(f)
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

// Next returns the entry to start next in a pool, or nil if none may start. The
// entry stays in place until Start.
func (s *Scheduler) Next(p Pool) *Entry {
	c := s.pools[p.Name]
	if c == nil || p.Free <= 0 {
		return nil
	}
	if f := s.leastUsedFlow(&c.urgent); f != nil {
		return f.first
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
	reserved := int(reservedFraction*float64(p.Slots) + 0.999)
	return min(max(1, reserved), max(0, p.Slots-1))
}

// leastUsedFlow returns the flow with the least use relative to its share among
// those whose team is not blocked.
func (s *Scheduler) leastUsedFlow(c *classQueue) *flow {
	var best *flow
	var bestUse float64
	for _, f := range c.activeFlows {
		if s.blockedTeams[f.team] {
			continue
		}
		use := float64(s.runningByTeam[f.team]+s.peerRunningByTeam[f.team]) / f.share
		if best == nil || use < bestUse || use == bestUse && f.startsBefore(best) {
			best, bestUse = f, use
		}
	}
	return best
}

// Start removes a waiting entry and counts it as running.
func (s *Scheduler) Start(e *Entry, now time.Time) {
	c, f := s.pools[e.Pool], e.flow
	s.Remove(e, now)
	f.rate.started()
	f.class.virtualTime = max(f.class.virtualTime, f.virtualStart)
	f.virtualStart += 1 / f.share
	s.runningByTeam[e.Team]++
	switch {
	case f.class == &c.batch || len(c.batch.activeFlows) == 0:
		c.startsSinceBatch = 0
	case f.class == &c.interactive:
		c.startsSinceBatch++
	}
}

// RequestEnded records the end of a started request of a team.
func (s *Scheduler) RequestEnded(team string) {
	if s.runningByTeam[team]--; s.runningByTeam[team] <= 0 {
		delete(s.runningByTeam, team)
	}
}

// Running returns the number of running requests of a team on this host.
func (s *Scheduler) Running(team string) int { return s.runningByTeam[team] }

// Waiting returns the number of waiting requests of a queue.
func (s *Scheduler) Waiting(queue string) int { return s.waitingByQueue[queue] }

// SetPeerRunning replaces the number of running requests of each team on other
// entry hosts. The Scheduler takes ownership of the map.
func (s *Scheduler) SetPeerRunning(running map[string]int) { s.peerRunningByTeam = running }

// Block prevents starts of a team that is at its limit, without delaying
// others, until Unblock.
func (s *Scheduler) Block(team string) { s.blockedTeams[team] = true }

// Unblock reverses Block.
func (s *Scheduler) Unblock(team string) { delete(s.blockedTeams, team) }

// UnblockAll reverses Block for all teams.
func (s *Scheduler) UnblockAll() { clear(s.blockedTeams) }

// IsBlocked reports whether a team is blocked.
func (s *Scheduler) IsBlocked(team string) bool { return s.blockedTeams[team] }

// WaitingPools returns the names of the pools with waiting requests, reusing
// the space of into.
func (s *Scheduler) WaitingPools(into []string) []string {
	into = into[:0]
	for name, c := range s.pools {
		if len(c.urgent.activeFlows)+len(c.interactive.activeFlows)+len(c.batch.activeFlows) > 0 {
			into = append(into, name)
		}
	}
	return into
}

func (s *Scheduler) flowOf(request Request) *flow {
	c := s.pools[request.Pool]
	if c == nil {
		c = &poolQueues{}
		s.pools[request.Pool] = c
	}
	queue := c.forClass(request.Class)
	f := queue.flows[request.Team]
	if f == nil {
		f = &flow{team: request.Team, class: queue}
		if queue.flows == nil {
			queue.flows = make(map[string]*flow)
		}
		queue.flows[request.Team] = f
	}
	return f
}

// forClass returns the queue of a class; unknown classes count as interactive.
func (c *poolQueues) forClass(name fleet.QueueClass) *classQueue {
	switch name {
	case fleet.ClassUrgent:
		return &c.urgent
	case fleet.ClassBatch:
		return &c.batch
	}
	return &c.interactive
}
