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
	// maxCommitTries bounds the tries against other hosts' changes; at 0.2
	// changes a second over the fleet a second try is already rare.
	maxCommitTries = 8
	// resolvePeriod is the pause between tries to learn the outcome of a
	// commit whose reply was lost.
	resolvePeriod = 200 * time.Millisecond
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
		return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonRingFull, "change state", "", "%d changes are waiting", commitCapacity)
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
	if err := s.membership.MayAcceptChanges(); err != nil {
		return services.ChangeResult{}, err
	}
	for range maxCommitTries {
		if req.ctx.Err() != nil {
			return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonDeadline, "change state", "platform", "%w", req.ctx.Err())
		}
		result, again, err := s.tryCommit(ctx, req.change)
		if !again {
			return result, err
		}
	}
	return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", "platform", "%d tries met other changes", maxCommitTries)
}

// tryCommit makes one try. again is set when another change came between the
// read and the write.
func (s *Service) tryCommit(ctx context.Context, c revision.Change) (result services.ChangeResult, again bool, err error) {
	proposal, version, err := s.propose(ctx, c)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	switch proposal.Verdict {
	case revision.Repeated:
		return services.ChangeResult{Revision: proposal.Revision, Repeated: true}, false, nil
	case revision.Conflict:
		s.catchUp(ctx)
		return services.ChangeResult{}, false, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", proposal.ConflictPart,
			"the part is at revision %d", proposal.ConflictRevision)
	}
	tx, err := encodeProposal(version, proposal)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	// From before the first byte is sent until the outcome is known and
	// applied, this host reports a change in doubt, so that no peer takes its
	// statement as proof.
	s.inDoubt.Store(true)
	defer s.inDoubt.Store(false)
	committed, err := s.commitCertainly(ctx, tx)
	if err != nil {
		return services.ChangeResult{}, false, err
	}
	if !committed {
		return services.ChangeResult{}, true, nil
	}
	s.applyOwn(ctx, proposal)
	return services.ChangeResult{Revision: proposal.Revision}, false, nil
}

// catchUp reads the state that a change conflicted with, so that the submitter
// decides again on that state and not on a replica that may be a second old.
func (s *Service) catchUp(ctx context.Context) {
	head, parts, err := s.readNewer(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("state not read after a conflict")
		return
	}
	s.offer(ctx, head, parts)
}

func (s *Service) propose(ctx context.Context, c revision.Change) (revision.Proposal, uint64, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return revision.Proposal{}, 0, err
	}
	names := make([]string, len(c.Updates))
	for i, u := range c.Updates {
		names[i] = u.Part
	}
	parts, err := s.readParts(ctx, names)
	if err != nil {
		return revision.Proposal{}, 0, err
	}
	return revision.Propose(h.head, parts, c), h.version, nil
}

// commitCertainly commits tx and, when the reply is lost, submits it again
// until the outcome is known. Submitting again is safe: every transaction is
// conditional on the head's version, so it takes effect at most once. If it
// did take effect, the second submission fails its condition and tryCommit
// finds the change among the part's changes on its next try.
func (s *Service) commitCertainly(ctx context.Context, tx services.Transaction) (bool, error) {
	sentBefore := false
	for {
		result, err := s.table.Commit(ctx, tx)
		if err == nil {
			return result.Committed, nil
		}
		if fault.IsNotRun(err) && !sentBefore {
			return false, err
		}
		sentBefore = true
		select {
		case <-ctx.Done():
			return false, err
		case <-time.After(resolvePeriod):
		}
	}
}

// applyOwn applies a change that this host committed, and returns once the
// replica has it. The replica may lack changes of other hosts that came
// before; it then reads them, for as long as that takes.
func (s *Service) applyOwn(ctx context.Context, p revision.Proposal) {
	parts := byName(p.Parts)
	for ctx.Err() == nil {
		if s.offer(ctx, p.Head, parts); s.revision() >= p.Revision {
			return
		}
		head, fetched, err := s.readNewer(ctx)
		if err == nil {
			s.offer(ctx, head, fetched)
		}
		if s.revision() >= p.Revision {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(resolvePeriod):
		}
	}
}

// offer hands a head and parts to the replica duty and waits until it has
// looked at them.
func (s *Service) offer(ctx context.Context, head revision.Head, parts map[string]revision.Part) {
	done := ring.Reply[struct{}]()
	if s.replica.Put(ctx, advance{head: head, parts: parts, done: done}) == nil {
		done.Take(ctx)
	}
}

// revision returns the revision in force here, zero before the first view.
func (s *Service) revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision
	}
	return 0
}
