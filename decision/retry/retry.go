// Package retry decides whether a failed attempt is followed by another one.
//
// A retry budget (token bucket) bounds the retries of a queue to a part of its
// successes, so that a pool that fails is not loaded further by repeats. The
// attempt policy keeps non-idempotent requests from running twice.
package retry

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

const (
	// perSuccess is the part of a retry that each success earns.
	perSuccess = 0.1
	// perSecond is earned with time, so that queues with little work can
	// retry at all.
	perSecond = 3.0
	// budgetCap bounds the retries that follow each other at once.
	budgetCap = 30.0
	// maxAttempts bounds the attempts that cost the budget, first included.
	maxAttempts = 3
	// maxPutBacks bounds the refusals for lack of slots that cost nothing.
	maxPutBacks = 8
)

// Budget is the retry budget of one queue. The zero value starts with one
// second's worth of retries. It has one owner.
type Budget struct {
	tokens float64
	as     time.Time
}

// Success earns a part of a retry.
func (b *Budget) Success(now time.Time) {
	b.refill(now)
	b.tokens = min(budgetCap, b.tokens+perSuccess)
}

// take spends one retry if the budget holds it.
func (b *Budget) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.as.IsZero() {
		b.as, b.tokens = now, perSecond
		return
	}
	if elapsed := now.Sub(b.as); elapsed > 0 {
		b.tokens = min(budgetCap, b.tokens+perSecond*elapsed.Seconds())
		b.as = now
	}
}

// History is what became of a request's attempts so far.
type History struct {
	Idempotent bool
	// Attempts counts those that were made, the failed one included, without
	// put-backs.
	Attempts int
	// PutBacks counts the earlier put-backs.
	PutBacks int
	Deadline time.Time
}

// Failure is the outcome of the last attempt. NotRun means that the attempt is
// known not to have run and never will.
type Failure struct {
	NotRun bool
	Reason fault.Reason
}

// Action is what follows a failed attempt.
type Action int

// The actions.
const (
	// GiveUp ends the request with the outcome of the failed attempt.
	GiveUp Action = iota
	// Retry sends the request to another backend server at a cost to the
	// budget.
	Retry
	// Requeue returns the request to the front of its queue free of cost.
	PutBack
)

// Decision is an action and its reason: the failure's reason for Retry and
// Requeue, and for GiveUp the rule that forbids another attempt, if any.
type Decision struct {
	Action Action
	Reason fault.Reason
}

// Decide returns what follows a failed attempt, and spends from b when it is a
// retry.
func Decide(h History, f Failure, b *Budget, now time.Time) Decision {
	if !now.Before(h.Deadline) {
		return Decision{GiveUp, fault.ReasonDeadline}
	}
	if !f.NotRun && !h.Idempotent || !repeatable(f.Reason) {
		return Decision{GiveUp, f.Reason}
	}
	if f.NotRun && isFree(f.Reason) && h.PutBacks < maxPutBacks {
		return Decision{PutBack, f.Reason}
	}
	if h.Attempts >= maxAttempts {
		return Decision{GiveUp, f.Reason}
	}
	if !b.take(now) {
		return Decision{GiveUp, fault.ReasonRetryBudget}
	}
	return Decision{Retry, f.Reason}
}

// isFree holds for refusals that a backend server answers without work.
func isFree(r fault.Reason) bool {
	return r == fault.ReasonNoSlots || r == fault.ReasonLeaving || r == fault.ReasonRingFull
}

// repeatable excludes failures that another backend server would repeat.
func repeatable(r fault.Reason) bool {
	switch r {
	case fault.ReasonDeadline, fault.ReasonCancelled, fault.ReasonBodyTooLarge, fault.ReasonMalformed:
		return false
	}
	return true
}
