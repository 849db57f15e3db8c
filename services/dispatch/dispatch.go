// Package dispatch queues requests and routes them to backend servers with a
// free slot.
//
// One duty owns the queues and the view of the backend servers' slots.
package dispatch

import (
	"context"
	"path"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	queueCapacity = 2048
	// expirePeriod is how often waiting requests past their deadline are
	// looked for.
	expirePeriod = 50 * time.Millisecond
)

// Service implements services.Dispatcher.
type Service struct {
	clock services.Clock
	log   zerolog.Logger

	state    services.State
	hosts    services.Hosts
	backends services.Backends

	messages *ring.Ring[message]
	pending  atomic.Int64
	status   atomic.Pointer[[]services.QueueStatus]
}

// message is what the queue duty receives: submission or finished.
type message interface{ message() }

type submission struct {
	req   *services.Request
	reply *ring.Ring[outcome]
}

type finished struct {
	entry  *submission
	result services.BackendResult
}

type outcome struct {
	reply *services.Reply
	err   error
}

func (*submission) message() {}
func (finished) message()    {}

// New returns the service.
func New(clock services.Clock) *Service { return &Service{clock: clock} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.hosts, err = kernel.Lookup[services.Hosts](c, services.NameHosts); err != nil {
		return err
	}
	if s.backends, err = kernel.Lookup[services.Backends](c, services.NameBackend); err != nil {
		return err
	}
	s.messages = ring.New[message]("dispatch.queue", queueCapacity, c.Scope)
	c.Duty("dispatch.queue", s.runQueue)
	return nil
}

// Submit implements services.Dispatcher.
func (s *Service) Submit(ctx context.Context, req *services.Request) (*services.Reply, error) {
	entry := &submission{req: req, reply: ring.Reply[outcome]()}
	s.pending.Add(1)
	defer s.pending.Add(-1)
	if !s.messages.Offer(entry) {
		return nil, fault.New(&fault.NotRun, fault.ReasonRingFull, "queue request", "", "%d messages are waiting", queueCapacity)
	}
	// The queue duty answers every submission, at the latest when its
	// deadline has passed and no attempt is under way.
	o := <-entry.reply.C()
	return o.reply, o.err
}

// Queues implements services.Dispatcher.
func (s *Service) Queues() []services.QueueStatus {
	if st := s.status.Load(); st != nil {
		return *st
	}
	return nil
}

// Drain waits until every submitted request has its outcome.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for s.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return fault.New(&fault.Unknown, fault.ReasonDeadline, "drain requests", "", "%d requests are under way", s.pending.Load())
		case <-ticker.C:
		}
	}
	return nil
}

// queueState is owned by the queue duty.
type queueState struct {
	waiting  []*submission
	inFlight map[string]int
}

func (s *Service) runQueue(ctx context.Context) {
	q := &queueState{inFlight: make(map[string]int)}
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.messages.C():
			s.handle(q, m)
		case <-ticker.C:
			s.expire(q)
		}
		s.start(ctx, q)
	}
}

func (s *Service) handle(q *queueState, m message) {
	switch m := m.(type) {
	case *submission:
		q.waiting = append(q.waiting, m)
	case finished:
		q.inFlight[m.result.Send.Server.Name]--
		if m.result.Leaving {
			s.hosts.ReportLeaving(m.result.Send.Server.Name)
		}
		m.entry.reply.Offer(outcome{m.result.Reply, m.result.Err})
	}
}

func (s *Service) expire(q *queueState) {
	now := s.clock()
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if now.Before(e.req.Deadline) {
			kept = append(kept, e)
			continue
		}
		err := fault.New(&fault.NotRun, fault.ReasonDeadline, "wait in queue", "", "no slot became free in time")
		e.reply.Offer(outcome{err: err})
	}
	q.waiting = kept
}

// start sends waiting requests while backend servers have free slots.
func (s *Service) start(ctx context.Context, q *queueState) {
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		server, ok := s.choose(q, e.req)
		if !ok || !s.send(ctx, q, e, server) {
			kept = append(kept, e)
		}
	}
	q.waiting = kept
}

func (s *Service) send(ctx context.Context, q *queueState, e *submission, server fleet.Host) bool {
	send := services.BackendSend{Server: server, Request: e.req, Attempt: 1}
	send.Done = func(r services.BackendResult) {
		// The ring has room for the results of all attempts under way in
		// practice; waiting here holds back only one connection duty.
		s.messages.Put(context.Background(), finished{entry: e, result: r})
	}
	if err := s.backends.Send(ctx, send); err != nil {
		return false
	}
	q.inFlight[server.Name]++
	return true
}

// choose returns the live backend server of the queue's pool with the most
// free slots.
func (s *Service) choose(q *queueState, req *services.Request) (fleet.Host, bool) {
	view := s.state.View()
	best, bestFree := fleet.Host{}, 0
	for _, h := range s.hosts.Hosts().Hosts {
		if h.Kind != fleet.KindBackendServer || h.Phase != fleet.PhaseLive {
			continue
		}
		if poolOf(view, h.Name) != req.Queue.Pool {
			continue
		}
		if free := h.Slots - q.inFlight[h.Name]; free > bestFree {
			best, bestFree = h, free
		}
	}
	return best, bestFree > 0
}

// poolOf returns the pool that a host is assigned to or that adopts it.
func poolOf(view *services.View, host string) string {
	if pool, ok := view.Assignments[host]; ok {
		return pool
	}
	for _, section := range view.Document.Sections {
		for _, pool := range section.Pools {
			for _, pattern := range pool.Adopt {
				if ok, _ := path.Match(pattern, host); ok {
					return pool.Name
				}
			}
		}
	}
	return ""
}
