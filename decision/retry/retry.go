// Package retry decides whether a failed attempt is followed by another one.
//
// A retry budget (token bucket) limits the retries of a queue to a fraction of
// its successes, so that retries do not overload a failing pool further. The
// attempt policy prevents non-idempotent requests from running twice.
package retry

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

const (
	// tokensPerSuccess is the fraction of a retry that each success adds.
	tokensPerSuccess = 0.1
	// tokensPerSecond is added over time, so that queues with few requests can
	// retry too.
	tokensPerSecond = 3.0
	// maxTokens limits a burst of retries.
	maxTokens = 30.0
	// maxAttempts limits the attempts that are charged to the budget, including
	// the first.
	maxAttempts = 3
	// maxRequeues limits the refusals for lack of slots after which a request
	// is requeued free of charge.
	maxRequeues = 8
)

// Budget is the retry budget of one queue. The zero value starts with the
// tokens of one second. It must be used by one goroutine only.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// RecordSuccess adds tokensPerSuccess to the budget.
func (b *Budget) RecordSuccess(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+tokensPerSuccess)
}

// take removes the token for one retry, and reports whether there was one.
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

// History summarizes a request's attempts so far.
type History struct {
	Idempotent bool
	// Attempts counts the attempts made, including the failed one, but not
	// those that were requeued.
	Attempts int
	// Requeues counts the attempts after which the request was requeued.
	Requeues int
	Deadline time.Time
}

// Failure is the outcome of the last attempt. NotRun means that the attempt is
// known not to have run and never to run later.
type Failure struct {
	NotRun bool
	Reason fault.Reason
}

// Action is what to do after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	// GiveUp ends the request with the result of the failed attempt.
	GiveUp Action = iota
	// Retry sends the request to another backend server and charges the budget.
	Retry
	// Requeue returns the request to the front of its queue free of charge.
	Requeue
)

// Decision is an action and its reason: the failure's reason for Retry and
// Requeue, and for GiveUp the rule that forbids another attempt, if any.
type Decision struct {
	Action Action
	Reason fault.Reason
}

// Decide returns the action after a failed attempt, and takes a token from b if
// it is Retry.
func Decide(h History, f Failure, b *Budget, now time.Time) Decision {
	if !now.Before(h.Deadline) {
		return Decision{GiveUp, fault.ReasonDeadline}
	}
	if !f.NotRun && !h.Idempotent || !isRetryable(f.Reason) {
		return Decision{GiveUp, f.Reason}
	}
	if f.NotRun && isFreeOfCharge(f.Reason) && h.Requeues < maxRequeues {
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

// isFreeOfCharge reports whether r is a refusal that costs no work on the
// backend server.
func isFreeOfCharge(r fault.Reason) bool {
	return r == fault.ReasonNoSlots || r == fault.ReasonLeaving || r == fault.ReasonRingFull
}

// isRetryable reports whether another backend server could succeed where one
// failed with r.
func isRetryable(r fault.Reason) bool {
	switch r {
	case fault.ReasonDeadline, fault.ReasonCancelled, fault.ReasonBodyTooLarge, fault.ReasonMalformed:
		return false
	}
	return true
}
