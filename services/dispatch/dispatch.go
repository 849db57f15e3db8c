// Package dispatch queues requests and routes them to backend servers with a
// free slot.
//
// The duty dispatch.queue owns the queues, the table of backend servers and the
// retry budgets. It makes no blocking call: the duties dispatch.claims make
// claims, record outcomes and send the results to its ring, and the backend
// service carries out attempts. The duty dispatch.freed forwards notifications
// of freed rights.
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
	// maxPendingRequests limits the requests that are submitted and not ended.
	maxPendingRequests = 2048
	// messageCapacity is the capacity of the queue duty's ring. It has room for
	// one step and one cancellation of each pending request and for one freed
	// right, so that results always find room.
	messageCapacity = 2*maxPendingRequests + 1
	// claimDutyCount limits the concurrent claims at the platform.
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

// message is one input of the duty dispatch.queue.
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

// rightFreedMessage states that team may have a free right; ack receives a
// value once the message is handled.
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

// Submit implements services.Dispatcher. When ctx ends, a request of which
// nothing was written yet is not run; otherwise Submit still waits for its
// outcome.
func (s *Service) Submit(ctx context.Context, req *services.Request) (*services.Reply, error) {
	if s.pendingCount.Add(1) > maxPendingRequests {
		s.decrementPending()
		return nil, fault.New(&fault.NotRun, fault.ReasonRingFull, stepQueue, "", "more than %d requests are in progress", maxPendingRequests)
	}
	p := &pendingRequest{req: req, reply: ring.Reply[outcome](), callerGone: make(chan struct{})}
	p.history.Idempotent, p.history.Deadline = req.Idempotent, req.Deadline
	s.messages.Offer(submitMessage{p})
	select {
	case result := <-p.reply.C():
		return result.reply, result.err
	case <-ctx.Done():
	}
	close(p.callerGone)
	// Cancellations use only half of the ring, to leave room for results.
	// Without the message, the request is cancelled when it is about to be
	// written.
	if s.messages.Stats().Depth < maxPendingRequests {
		s.messages.Offer(cancelMessage{p})
	}
	// The queue duty completes every request, at the latest at its deadline.
	result := <-p.reply.C()
	return result.reply, result.err
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

// Drain waits until every submitted request has its outcome and the outcomes
// are passed to the claims service.
func (s *Service) Drain(ctx context.Context) error {
	for s.pendingCount.Load() > 0 {
		if _, err := s.idle.Take(ctx); err != nil {
			return fault.New(&fault.Unknown, fault.ReasonDeadline, "drain requests", "", "%d requests are still in progress", s.pendingCount.Load())
		}
	}
	return nil
}

// forwardFreedRights is the duty dispatch.freed. It forwards one freed right at
// a time.
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
