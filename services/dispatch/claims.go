package dispatch

import (
	"context"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// claimTask is a claim to make, or an outcome to record when ended is set.
type claimTask struct {
	pending *pendingRequest
	ended   bool
	outcome outcome
}

// runClaimTasks makes claims and records outcomes at the claims service, which
// waits for the platform.
func (s *Service) runClaimTasks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.claimTasks.C():
			if task.ended {
				s.claims.RecordOutcome(task.pending.req, task.outcome.reply, task.outcome.err)
				s.decrementPending()
				continue
			}
			s.makeClaim(ctx, task.pending)
		}
	}
}

func (s *Service) makeClaim(ctx context.Context, w *pendingRequest) {
	ctx, cancel := context.WithTimeout(ctx, w.req.Deadline.Sub(s.clock()))
	defer cancel()
	record, err := s.claims.Claim(ctx, w.req)
	s.messages.Offer(claimResultMessage{w, record, err})
}

// needsClaim reports whether req may be started only under a claim.
func needsClaim(req *services.Request) bool { return req.CallerChoseID && !req.Idempotent }

// claimOutcome is the answer to a request whose claim was not granted. The
// fault tells of this attempt, which was not started; an earlier one may have
// run or be running.
func claimOutcome(record services.ClaimRecord) outcome {
	const step = "claim request"
	switch record.State {
	case services.ClaimDone:
		if record.Object == "" && record.Status != 0 {
			return outcome{reply: &services.Reply{Status: record.Status, ContentType: record.ContentType, Body: record.Body}}
		}
		return outcome{err: fault.New(&fault.NotRun, fault.ReasonClaimed, step, record.Host, "the request has run; its answer is not in the record")}
	case services.ClaimHeld:
		return outcome{err: fault.New(&fault.NotRun, fault.ReasonClaimed, step, record.Host, "an earlier attempt is under way")}
	}
	return outcome{err: fault.New(&fault.NotRun, fault.ReasonClaimInDoubt, step, record.Host, "the claim's state is %q", record.State)}
}
