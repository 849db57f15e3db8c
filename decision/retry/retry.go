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
	// tokensPerSuccess is the part of a retry that each success earns.
	tokensPerSuccess = 0.1
	// tokensPerSecond is earned with time, so that queues with little work can
	// retry at all.
	tokensPerSecond = 3.0
	// maxTokens bounds the retries that follow each other at once.
	maxTokens = 30.0
	// maxAttempts bounds the attempts that cost the budget, first included.
	maxAttempts = 3
	// maxPutBacks bounds the refusals for lack of slots that cost nothing.
	maxPutBacks = 8
)

// Budget is the retry budget of one queue. The zero value starts with one
// second's worth of retries. It has one owner.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// RecordSuccess earns a part of a retry.
func (b *Budget) RecordSuccess(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+tokensPerSuccess)
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
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, tokensPerSecond
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(maxTokens, b.tokens+tokensPerSecond*elapsed.Seconds())
		b.refilledAt = now
	}
}

// History is what became of a request's attempts so far.
type History struct {
	Idempotent bool
	// Attempts counts those that were made, the failed one included, without
	// put-backs.
	Attempts int
	// Requeues counts the earlier put-backs.
	Requeues int
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
	Requeue
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
	if !f.NotRun && !h.Idempotent || !isRetryable(f.Reason) {
		return Decision{GiveUp, f.Reason}
	}
	if f.NotRun && isFreeOfCharge(f.Reason) && h.Requeues < maxPutBacks {
		return Decision{Requeue, f.Reason}
	}
	if h.Attempts >= maxAttempts {
		return Decision{GiveUp, f.Reason}
	}
	if !b.take(now) {
		return Decision{GiveUp, fault.ReasonRetryBudget}
	}
	return Decision{Retry, f.Reason}
}

// isFreeOfCharge holds for refusals that a backend server answers without work.
func isFreeOfCharge(r fault.Reason) bool {
	return r == fault.ReasonNoSlots || r == fault.ReasonLeaving || r == fault.ReasonRingFull
}

// isRetryable excludes failures that another backend server would repeat.
func isRetryable(r fault.Reason) bool {
	switch r {
	case fault.ReasonDeadline, fault.ReasonCancelled, fault.ReasonBodyTooLarge, fault.ReasonMalformed:
		return false
	}
	return true
}
