// Package dispatch queues requests and routes them to backend servers with a
// free slot.
//
// The duty dispatch.queue owns the queues, the view of the backend servers and
// the retry budgets. It calls nothing that waits: claims are made and recorded
// by the duties dispatch.claims, which answer over its ring, and attempts are
// handed to the backend service. dispatch.freed forwards freed rights.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxPendingRequests bounds the requests that are submitted and not ended.
	maxPendingRequests = 2048
	// messageCapacity has room for one step and one cancellation of each
	// such request and for a freed right, so that answers to the queue duty
	// always find room.
	messageCapacity = 2*maxPendingRequests + 1
	// claimDutyCount bounds the claims under way at the platform.
	claimDutyCount = 32
)

// Service implements services.Dispatcher.
type Service struct {
	clock services.Clock
	log   zerolog.Logger

	state      services.State
	hosts      services.Hosts
	membership services.Membership
	backends   services.Backends
	rights     services.Rights
	claims     services.Claims
	peers      services.Peers
	metrics    services.Metrics

	messages    *ring.Ring[message]
	claimTasks  *ring.Ring[claimTask]
	freedRights services.FreedRing
	// pendingCount counts the requests that are submitted and not ended; idle
	// receives a value when it falls to zero.
	pendingCount atomic.Int64
	idle         *ring.Ring[struct{}]
	queueStatus  atomic.Pointer[[]services.QueueStatus]
}

// message is what the queue duty receives.
type message interface{ message() }

type submitMessage struct{ pending *pendingRequest }

type cancelMessage struct{ pending *pendingRequest }

type attemptEndMessage struct {
	pending *pendingRequest
	result  services.BackendResult
}

type claimResultMessage struct {
	pending *pendingRequest
	record  services.ClaimRecord
	err     error
}

// rightFreedMessage tells that a team may have a right; ack receives a value once it
// is handled.
type rightFreedMessage struct {
	team string
	ack  *ring.Ring[struct{}]
}

type outcome struct {
	reply *services.Reply
	err   error
}

func (submitMessage) message()      {}
func (cancelMessage) message()      {}
func (attemptEndMessage) message()  {}
func (claimResultMessage) message() {}
func (rightFreedMessage) message()  {}

// New returns the service.
func New(clock services.Clock) *Service { return &Service{clock: clock} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	if err := s.lookup(c); err != nil {
		return err
	}
	s.messages = ring.New[message]("dispatch.queue", messageCapacity, c.Scope)
	s.claimTasks = ring.New[claimTask]("dispatch.claims", 2*maxPendingRequests, c.Scope)
	s.idle = ring.New[struct{}]("dispatch.idle", 1, c.Scope)
	s.freedRights = s.rights.WatchFreedRights("dispatch")
	c.AddDuty("dispatch.queue", s.runQueue)
	c.AddDuty("dispatch.freed", s.forwardFreedRights)
	for range claimDutyCount {
		c.AddDuty("dispatch.claims", s.runClaimTasks)
	}
	return nil
}

func (s *Service) lookup(c *kernel.Context) (err error) {
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.hosts, err = kernel.Lookup[services.Hosts](c, services.NameHosts); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	if s.backends, err = kernel.Lookup[services.Backends](c, services.NameBackend); err != nil {
		return err
	}
	if s.rights, err = kernel.Lookup[services.Rights](c, services.NameRights); err != nil {
		return err
	}
	if s.claims, err = kernel.Lookup[services.Claims](c, services.NameClaims); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[services.Peers](c, services.NamePeers); err != nil {
		return err
	}
	s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics)
	return err
}

// Submit implements services.Dispatcher. When ctx ends, a request that was not
// written yet is not run; otherwise Submit still waits for its outcome.
func (s *Service) Submit(ctx context.Context, req *services.Request) (*services.Reply, error) {
	if s.pendingCount.Add(1) > maxPendingRequests {
		s.decrementPending()
		return nil, fault.New(&fault.NotRun, fault.ReasonRingFull, stepQueue, "", "%d requests are under way", maxPendingRequests)
	}
	w := &pendingRequest{req: req, reply: ring.Reply[outcome](), gone: make(chan struct{})}
	w.history.Idempotent, w.history.Deadline = req.Idempotent, req.Deadline
	s.messages.Offer(submitMessage{w})
	select {
	case o := <-w.reply.C():
		return o.reply, o.err
	case <-ctx.Done():
	}
	close(w.gone)
	// Cancellations use only half of the ring, so that they take no room
	// from answers. Without the message the request is cancelled when it is
	// about to be written.
	if s.messages.Stats().Depth < maxPendingRequests {
		s.messages.Offer(cancelMessage{w})
	}
	// The queue duty answers every request, at the latest at its deadline.
	o := <-w.reply.C()
	return o.reply, o.err
}

// decrementPending counts a request as ended.
func (s *Service) decrementPending() {
	if s.pendingCount.Add(-1) == 0 {
		s.idle.OfferLatest(struct{}{})
	}
}

// Queues implements services.Dispatcher.
func (s *Service) Queues() []services.QueueStatus {
	if st := s.queueStatus.Load(); st != nil {
		return *st
	}
	return nil
}

// Drain waits until every submitted request has its outcome and the outcome is
// handed to the claims service.
func (s *Service) Drain(ctx context.Context) error {
	for s.pendingCount.Load() > 0 {
		if _, err := s.idle.Take(ctx); err != nil {
			return fault.New(&fault.Unknown, fault.ReasonDeadline, "drain requests", "", "%d requests are under way", s.pendingCount.Load())
		}
	}
	return nil
}

// forwardFreedRights forwards freed rights one at a time.
func (s *Service) forwardFreedRights(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case team := <-s.freedRights.C():
			m := rightFreedMessage{team, ring.Reply[struct{}]()}
			if s.messages.Put(ctx, m) != nil {
				return
			}
			if _, err := m.ack.Take(ctx); err != nil {
				return
			}
		}
	}
}

func (s *Service) runQueue(ctx context.Context) {
	self := s.membership.Self()
	random := rand.New(rand.NewPCG(self.Incarnation, 0))
	q := newQueueState(s, route.New(self.Zone, random))
	q.run(ctx)
}
