package statesync

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxCommitAttempts bounds the tries against other hosts' changes; at 0.2
	// changes a second over the fleet a second try is already rare.
	maxCommitAttempts = 8
	// retryInterval is the pause between tries to learn the outcome of a
	// commit whose reply was lost.
	retryInterval = 200 * time.Millisecond
)

type commitRequest struct {
	ctx    context.Context
	change revision.Change
	reply  *ring.Ring[commitReply]
}

type commitReply struct {
	result services.ChangeResult
	err    error
}

// Change implements services.State.
func (s *Service) Change(ctx context.Context, c revision.Change) (services.ChangeResult, error) {
	req := commitRequest{ctx: ctx, change: c, reply: ring.Reply[commitReply]()}
	if !s.commits.Offer(req) {
		return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonRingFull, "change state", "", "%d changes are waiting", commitRingCapacity)
	}
	answer, err := req.reply.Take(ctx)
	if err != nil {
		return services.ChangeResult{}, fault.New(&fault.Unknown, fault.ReasonDeadline, "change state", "platform", "submit change %s again to learn its outcome", c.ID)
	}
	return answer.result, answer.err
}

// runCommit carries out changes one at a time.
func (s *Service) runCommit(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-s.commits.C():
			result, err := s.commit(ctx, req)
			req.reply.Offer(commitReply{result, err})
		}
	}
}

func (s *Service) commit(ctx context.Context, req commitRequest) (services.ChangeResult, error) {
	if err := checkUpdates(req.change); err != nil {
		return services.ChangeResult{}, err
	}
	for range maxCommitAttempts {
		result, again, err := s.attemptCommit(ctx, req)
		if !again {
			return result, err
		}
		s.metrics.CountRetry("change state", fault.ReasonConflict)
	}
	// The last try may have left the outcome open.
	if _, _, err := s.propose(ctx, req); err != nil {
		return services.ChangeResult{}, err
	}
	return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", "platform", "%d tries met other changes", maxCommitAttempts)
}

// attemptCommit makes one try. again is set when another change came between the
// read and the write, or when only a new read can tell what became of a
// transaction whose reply was lost.
func (s *Service) attemptCommit(ctx context.Context, req commitRequest) (result services.ChangeResult, again bool, err error) {
	proposal, version, err := s.propose(ctx, req)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	switch proposal.Verdict {
	case revision.Repeated:
		// Peers take this host's revision as proof, so it must have the
		// change before the operator is told that it was accepted.
		if err := s.catchUpTo(req.ctx, proposal.Revision); err != nil {
			return services.ChangeResult{}, false, err
		}
		return services.ChangeResult{Revision: proposal.Revision, Repeated: true}, false, nil
	case revision.Malformed:
		return services.ChangeResult{}, false, fault.New(&fault.Invalid, fault.ReasonMalformed, "change state", req.change.ID, "a change needs an identifier and one update for each of its parts")
	case revision.Conflict:
		s.refreshAfterConflict(ctx)
		return services.ChangeResult{}, false, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", proposal.ConflictPart,
			"the part is at revision %d", proposal.ConflictRevision)
	}
	tx, err := encodeProposal(version, proposal)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	return s.sendProposal(ctx, req, proposal, tx)
}

// sendProposal commits an accepted proposal. From before the first byte is sent until
// the outcome is known and applied here, this host reports a change in doubt,
// so that no peer takes its statement as proof. The right to accept changes is
// checked after the doubt is set: a host that gives the right up and then sees
// no doubt has sent its last change.
func (s *Service) sendProposal(ctx context.Context, req commitRequest, proposal revision.Proposal, tx services.Transaction) (services.ChangeResult, bool, error) {
	s.inDoubt.Store(true)
	if err := s.checkMaySend(req); err != nil {
		s.inDoubt.Store(false)
		return services.ChangeResult{}, false, err
	}
	committed, lost, err := s.commitUntilAnswered(ctx, tx)
	if err != nil {
		s.inDoubt.Store(!fault.IsNotRun(err))
		return services.ChangeResult{}, false, err
	}
	if !committed {
		s.inDoubt.Store(lost)
		return services.ChangeResult{}, true, nil
	}
	s.ownRevision.Store(proposal.Revision)
	s.offerAndWait(ctx, advance{head: proposal.Head, parts: partsByName(proposal.Parts)})
	if err := s.catchUpTo(ctx, proposal.Revision); err != nil {
		return services.ChangeResult{}, false, err
	}
	s.inDoubt.Store(false)
	return services.ChangeResult{Revision: proposal.Revision}, false, nil
}

// refreshAfterConflict reads the state that a change conflicted with, so that the submitter
// decides again on that state and not on a replica that may be a second old.
func (s *Service) refreshAfterConflict(ctx context.Context) {
	head, parts, err := s.readNewer(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("state not read after a conflict")
		return
	}
	s.offerAndWait(ctx, advance{head: head, parts: parts, fromPlatform: true})
}

func (s *Service) checkMaySend(req commitRequest) error {
	if req.ctx.Err() != nil {
		return fault.New(&fault.NotRun, fault.ReasonDeadline, "change state", "platform", "%w", req.ctx.Err())
	}
	return s.membership.MayAcceptChanges()
}

// propose decides the change against the state at the platform. While an
// earlier try is in doubt it reads until it succeeds, and ends the doubt once
// the replica has all that was committed up to the read: a later head can no
// longer meet the condition of the earlier try.
func (s *Service) propose(ctx context.Context, req commitRequest) (revision.Proposal, uint64, error) {
	for {
		h, parts, err := s.readForChange(ctx, req.change)
		if err == nil && s.inDoubt.Load() {
			err = s.catchUpTo(ctx, h.head.Revision)
		}
		if err == nil {
			s.inDoubt.Store(false)
			return revision.Propose(h.head, parts, req.change), h.version, nil
		}
		if !s.inDoubt.Load() {
			return revision.Proposal{}, 0, err
		}
		s.metrics.CountRetry("resolve change", fault.ReasonOf(err))
		if !waitBeforeRetry(ctx) {
			return revision.Proposal{}, 0, fault.New(&fault.Unknown, fault.ReasonDraining, "resolve change", "platform", "submit change %s again to learn its outcome", req.change.ID)
		}
	}
}

func (s *Service) readForChange(ctx context.Context, c revision.Change) (headRow, map[string]revision.Part, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return headRow{}, nil, err
	}
	names := make([]string, len(c.Updates))
	for i, u := range c.Updates {
		names[i] = u.Part
	}
	parts, err := s.readParts(ctx, names)
	return h, parts, err
}

// commitUntilAnswered commits tx and, when the reply is lost, submits it again
// until there is one. Submitting again is safe: every transaction is
// conditional on the head's version, so it takes effect at most once. lost
// tells that a submission before the answered one may have taken effect.
func (s *Service) commitUntilAnswered(ctx context.Context, tx services.Transaction) (committed, lost bool, err error) {
	for {
		result, err := s.table.Commit(ctx, tx)
		if err == nil {
			return result.Committed, lost, nil
		}
		if fault.IsNotRun(err) && !lost {
			return false, false, err
		}
		lost = true
		s.metrics.CountRetry("commit change", fault.ReasonOf(err))
		if !waitBeforeRetry(ctx) {
			return false, true, fault.New(&fault.Unknown, fault.ReasonOf(err), "commit change", "platform", "%w", err)
		}
	}
}

// catchUpTo returns once the replica is at or above a revision that the platform
// has. The replica may lack changes of other hosts that came before; they are
// read, for as long as that takes.
func (s *Service) catchUpTo(ctx context.Context, revision uint64) error {
	for s.revision() < revision || s.View() == nil {
		head, fetched, err := s.readNewer(ctx)
		if err == nil {
			s.offerAndWait(ctx, advance{head: head, parts: fetched, fromPlatform: true})
		}
		if s.revision() >= revision && s.View() != nil {
			return nil
		}
		if !waitBeforeRetry(ctx) {
			return fault.New(&fault.Unknown, fault.ReasonDeadline, "apply change", "platform", "revision %d is accepted and not yet in force here", revision)
		}
	}
	return nil
}

// waitBeforeRetry waits before a retry and reports whether ctx is still in force.
func waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

// offerAndWait hands a head and parts to the replica duty and waits until it has
// looked at them.
func (s *Service) offerAndWait(ctx context.Context, a advance) {
	a.done = ring.Reply[struct{}]()
	if s.replica.Put(ctx, a) == nil {
		a.done.Take(ctx)
	}
}

// revision returns the revision in force here, zero before the first view.
func (s *Service) revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision
	}
	return 0
}
