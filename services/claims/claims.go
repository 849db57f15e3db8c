// Package claims implements the service services.NameClaims: it records which
// requests with a caller's identifier were started, so that each runs at most
// once.
//
// The duty claims.commit groups claims and ends of claims into conditional
// transactions. The duty claims.objects stores large answers ahead of the end
// that names them. The duty claims.expire deletes old records.
package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	commitCapacity = 1024
	objectCapacity = 64
	// maxInlineBytes is the size in bytes of the largest answer kept in the row.
	maxInlineBytes = 16 << 10
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second

	stepClaim    = "claim"
	stepOutcome  = "record outcome"
	stepObject   = "store answer"
	stepExpire   = "expire claims"
	peerPlatform = "platform"
)

// Service implements services.Claims.
type Service struct {
	log           zerolog.Logger
	scope         tally.Scope
	platform      services.Platform
	membership    services.Membership
	messages      *ring.Ring[message]
	largeEnds     *ring.Ring[largeClaimEnd]
	claimSequence atomic.Uint64
	// lifetime ends when the service stops, so that no caller waits for a duty
	// that has ended.
	lifetime       context.Context
	cancelLifetime context.CancelFunc
}

// message is one input of the duty claims.commit.
type message interface{ receive(*committer) }

// New returns the service, to be registered with the kernel.
func New() *Service { return &Service{} }

// Provision looks up the platform and the membership and registers the duties.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.platform, err = kernel.Lookup[services.Platform](c, services.NamePlatform); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	s.log, s.scope = c.Log, c.Scope
	s.messages = ring.New[message]("claims.commit", commitCapacity, c.Scope)
	s.largeEnds = ring.New[largeClaimEnd]("claims.objects", objectCapacity, c.Scope)
	s.lifetime, s.cancelLifetime = context.WithCancel(context.Background())
	c.AddDuty("claims.commit", newCommitter(s).run)
	c.AddDuty("claims.objects", s.storeObjects)
	c.AddDuty("claims.expire", s.expire)
	return nil
}

// Drain waits until the ends of all claims are recorded or ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	d := drainRequest{reply: ring.Reply[struct{}]()}
	if err := s.messages.Put(ctx, d); err != nil {
		return err
	}
	_, err := d.reply.Take(ctx)
	return err
}

// Stop releases callers that wait.
func (s *Service) Stop(context.Context) error {
	s.cancelLifetime()
	return nil
}

// Claim implements services.Claims.
func (s *Service) Claim(ctx context.Context, req *services.Request) (services.ClaimRecord, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	self := s.membership.Self()
	w := &claimWaiter{
		key:  rowKey(req.Team, req.ID),
		hash: requestHash(req),
		claimant: claim.Claimant{
			Host: self.Name, Incarnation: self.Incarnation, Sequence: s.claimSequence.Add(1),
		},
		reply: ring.Reply[claimResult](),
	}
	if !s.messages.Offer(w) {
		return services.ClaimRecord{}, s.refusalError(claim.ReplyForUnread(fault.ReasonRingFull), "claims busy")
	}
	a, err := s.await(ctx, w)
	if err != nil {
		return services.ClaimRecord{}, err
	}
	if a.record.State == services.ClaimDone {
		return s.withAnswer(ctx, a.record)
	}
	return a.record, nil
}

func (s *Service) await(ctx context.Context, w *claimWaiter) (claimResult, error) {
	var a claimResult
	select {
	case a = <-w.reply.C():
	case <-ctx.Done():
		if w.abandon() {
			return a, s.refusalError(claim.ReplyForUnread(fault.ReasonDeadline), "no answer in time")
		}
		a = <-w.reply.C()
	case <-s.lifetime.Done():
		if w.abandon() {
			return a, s.refusalError(claim.ReplyForUnread(fault.ReasonDraining), "stopped")
		}
		a = <-w.reply.C()
	}
	if a.callerReply.Outcome == claim.OutcomeDone {
		return a, nil
	}
	return a, s.refusalError(a.callerReply, a.detail)
}

func (s *Service) refusalError(say claim.CallerReply, detail string) error {
	err := errorFor(say, detail)
	s.countEvent("refused_total", stepClaim, fault.ReasonOf(err))
	return err
}

func (s *Service) countEvent(name, step string, reason fault.Reason) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(reason)}).Counter(name).Inc(1)
}

// Lookup implements services.Claims.
func (s *Service) Lookup(ctx context.Context, team, id string) (services.ClaimRecord, error) {
	rows, err := s.platform.Get(ctx, rowKey(team, id))
	if err != nil {
		say := claim.ReplyForUnread(fault.ReasonOf(err))
		return services.ClaimRecord{}, errorFor(say, err.Error())
	}
	r := decode(rows[0])
	if r.State != services.ClaimDone {
		return r, nil
	}
	return s.withAnswer(ctx, r)
}

// withAnswer fetches an answer that is kept in the object store.
func (s *Service) withAnswer(ctx context.Context, r services.ClaimRecord) (services.ClaimRecord, error) {
	if r.Object == "" {
		return r, nil
	}
	data, found, err := s.platform.GetObject(ctx, r.Object)
	if err != nil {
		return r, errorFor(claim.ReplyForUnread(fault.ReasonOf(err)), "the request ran; its answer cannot be read: "+err.Error())
	}
	if !found {
		r.Status = 0
		return r, nil
	}
	r.Body = data
	return r, nil
}

// RecordOutcome implements services.Claims. It waits while the ring is full.
func (s *Service) RecordOutcome(req *services.Request, reply *services.Reply, err error) {
	e := claimEnd{key: rowKey(req.Team, req.ID), state: endState(reply, err)}
	if reply != nil && e.state == claim.Done {
		e.status, e.contentType, e.body = reply.Status, reply.ContentType, reply.Body
	}
	if len(e.body) <= maxInlineBytes {
		s.postEnd(e)
		return
	}
	if s.largeEnds.Offer(largeClaimEnd{claimEnd: e, queuedAt: time.Now()}) {
		return
	}
	s.countEvent("refused_total", stepObject, fault.ReasonRingFull)
	s.postEnd(e.withoutAnswer())
}

func (s *Service) postEnd(e claimEnd) {
	if err := s.messages.Put(s.lifetime, e); err != nil {
		s.countEvent("refused_total", stepOutcome, fault.ReasonDraining)
	}
}

func endState(reply *services.Reply, err error) claim.State {
	switch {
	case err == nil && reply != nil:
		return claim.Done
	case err != nil && fault.IsNotRun(err):
		return claim.Released
	default:
		return claim.Unknown
	}
}
