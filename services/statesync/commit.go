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
	// maxCommitAttempts bounds the attempts that conflict with changes of
	// other hosts. At 0.2 changes per second in the whole fleet, even a second
	// attempt is rare.
	maxCommitAttempts = 8
	// retryInterval is the time between attempts to learn the outcome of a
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
		return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonRingFull, "change state", "", "change %s refused: %d changes are waiting, which is the maximum", c.ID, commitRingCapacity)
	}
	reply, err := req.reply.Take(ctx)
	if err != nil {
		return services.ChangeResult{}, fault.New(&fault.Unknown, fault.ReasonDeadline, "change state", "platform", "the call ended before the outcome of change %s was known; submit it again to learn the outcome", c.ID)
	}
	return reply.result, reply.err
}

// runCommit commits changes one at a time.
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
		result, retry, err := s.attemptCommit(ctx, req)
		if !retry {
			return result, err
		}
		s.metrics.CountRetry("change state", fault.ReasonConflict)
	}
	// The outcome of the last attempt may be unknown.
	if _, _, err := s.propose(ctx, req); err != nil {
		return services.ChangeResult{}, err
	}
	return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", "platform", "change %s conflicted with other changes in %d attempts", req.change.ID, maxCommitAttempts)
}

// attemptCommit makes one attempt. retry is true when another change was
// committed between the read and the write, or when only a new read can show
// the outcome of a transaction whose reply was lost.
func (s *Service) attemptCommit(ctx context.Context, req commitRequest) (result services.ChangeResult, retry bool, err error) {
	proposal, version, err := s.propose(ctx, req)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	switch proposal.Verdict {
	case revision.Repeated:
		// Peers rely on the revision that this host reports, so the replica
		// must have the change before the submitter is told that it was
		// accepted.
		if err := s.catchUpTo(req.ctx, proposal.Revision); err != nil {
			return services.ChangeResult{}, false, err
		}
		return services.ChangeResult{Revision: proposal.Revision, Repeated: true}, false, nil
	case revision.Malformed:
		return services.ChangeResult{}, false, fault.New(&fault.Invalid, fault.ReasonMalformed, "change state", req.change.ID, "change %q with %d updates is malformed; want an identifier and at least one update, with one update per part", req.change.ID, len(req.change.Updates))
	case revision.Conflict:
		s.refreshAfterConflict(ctx)
		return services.ChangeResult{}, false, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", proposal.ConflictPart,
			"the part is at revision %d, not at the one that change %s is based on", proposal.ConflictRevision, req.change.ID)
	}
	tx, err := encodeProposal(version, proposal)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	return s.sendProposal(ctx, req, proposal, tx)
}

// sendProposal commits an accepted proposal. From before the first byte is sent
// until the outcome is known and applied here, this host reports a change in
// doubt, so that no peer takes its self-report as evidence of freshness. The
// right to accept changes is checked after inDoubt is set: a host that has
// given up the right and then finds no change in doubt sends no further change.
func (s *Service) sendProposal(ctx context.Context, req commitRequest, proposal revision.Proposal, tx services.Transaction) (services.ChangeResult, bool, error) {
	s.inDoubt.Store(true)
	if err := s.checkMaySend(req); err != nil {
		s.inDoubt.Store(false)
		return services.ChangeResult{}, false, err
	}
	committed, replyLost, err := s.commitUntilAnswered(ctx, tx)
	if err != nil {
		s.inDoubt.Store(!fault.IsNotRun(err))
		return services.ChangeResult{}, false, err
	}
	if !committed {
		s.inDoubt.Store(replyLost)
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

// refreshAfterConflict reads the state that a change conflicted with, so that
// the submitter decides again on that state and not on a replica that may be a
// second old.
func (s *Service) refreshAfterConflict(ctx context.Context) {
	head, parts, err := s.readNewer(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("state not read after a conflict; the replica is refreshed by the next read of the head")
		return
	}
	s.offerAndWait(ctx, advance{head: head, parts: parts, fromPlatform: true})
}

func (s *Service) checkMaySend(req commitRequest) error {
	if req.ctx.Err() != nil {
		return fault.New(&fault.NotRun, fault.ReasonDeadline, "change state", "platform", "%w", req.ctx.Err())
	}
	return s.membership.CheckMayAcceptChanges()
}

// propose decides the change against the state at the platform. While an
// earlier attempt is in doubt it repeats the read until one succeeds, and
// clears the doubt once the replica has everything committed up to that read:
// the condition of the earlier attempt no longer holds for a later head.
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
			return revision.Proposal{}, 0, fault.New(&fault.Unknown, fault.ReasonDraining, "resolve change", "platform", "the service stopped before the outcome was known; submit change %s again to learn its outcome", req.change.ID)
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
// until there is one. Resubmission is safe: every transaction is conditional
// on the head's version, so it takes effect at most once. replyLost is true
// when a submission before the answered one may have taken effect.
func (s *Service) commitUntilAnswered(ctx context.Context, tx services.Transaction) (committed, replyLost bool, err error) {
	for {
		result, err := s.table.Commit(ctx, tx)
		if err == nil {
			return result.Committed, replyLost, nil
		}
		if fault.IsNotRun(err) && !replyLost {
			return false, false, err
		}
		replyLost = true
		s.metrics.CountRetry("commit change", fault.ReasonOf(err))
		if !waitBeforeRetry(ctx) {
			return false, true, fault.New(&fault.Unknown, fault.ReasonOf(err), "commit change", "platform", "%w", err)
		}
	}
}

// catchUpTo returns once the replica is at or above a revision that the
// platform has. It reads earlier changes of other hosts that the replica lacks,
// and repeats the read until ctx is done.
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
			return fault.New(&fault.Unknown, fault.ReasonDeadline, "apply change", "platform", "revision %d is accepted but not yet in force on this host", revision)
		}
	}
	return nil
}

// waitBeforeRetry waits for retryInterval; it reports false if ctx is done.
func waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

// offerAndWait hands a head and parts to the replica duty and waits until it
// has processed them.
func (s *Service) offerAndWait(ctx context.Context, a advance) {
	a.done = ring.Reply[struct{}]()
	if s.replica.Put(ctx, a) == nil {
		a.done.Take(ctx)
	}
}

// revision returns the revision in force on this host, or zero before the
// first view.
func (s *Service) revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision
	}
	return 0
}
