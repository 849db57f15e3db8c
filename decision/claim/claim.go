// Package claim decides the life cycle of a request that carries a caller's
// identifier: who may start it, what its record becomes, and what a refusal may
// state about it.
//
// The record of a request is one row at the platform. Every change of the row
// is conditional on the version from which the decision was made. A process
// starts a request only after it knows that its claim is committed.
package claim

import "fuchsiafront.example/fuchsiafront/fault"

// State is the state of a request's record.
type State string

// States of a record. All but NoRecord result from a claim.
const (
	// NoRecord means that there is no record.
	NoRecord State = ""
	// Claimed means that the claimant may start the request or has started it.
	Claimed State = "claimed"
	// Released means that the claimant did not run the request and never will.
	Released State = "released"
	// Done means that the request ran and its answer was recorded or lost.
	Done State = "done"
	// Unknown means that the claimant cannot tell whether the request ran.
	Unknown State = "unknown"
)

// Claimant identifies one claim. Sequence distinguishes the claims of one
// process.
type Claimant struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Record is the part of a request's row on which decisions are based. The zero
// value is an absent row.
type Record struct {
	State     State
	ClaimedBy Claimant
	// Attempt counts the claims of the request.
	Attempt int
	// BodyHash distinguishes a repeat from another request with the same
	// identifier; it is empty in an absent or unreadable record.
	BodyHash string
}

// Outcome is what a caller may be told about its request.
type Outcome int

// Outcomes that a caller may be told.
const (
	// OutcomeUnknown states that the request may have run or may still run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun states that the request was not run by this or an earlier
	// claim, and that no claim made so far will run it.
	OutcomeNotRun
	// OutcomeDone states that the request ran; the record holds its answer.
	OutcomeDone
	// OutcomeInvalid states that the identifier belongs to another request, so
	// that this one was not run and never will be.
	OutcomeInvalid
)

// CallerReply is what a caller may be told and the reason for it.
type CallerReply struct {
	Outcome Outcome
	Reason  fault.Reason
}

// Decision is the result of an attempt to claim a request.
type Decision struct {
	// Claim is set if Next is to be committed. The request may be started once
	// that commit is known to have taken effect.
	Claim bool
	Next  Record
	// Reply applies when Claim is not set.
	Reply CallerReply
}

// Decide decides on a request with bodyHash whose record is r.
func Decide(r Record, claimant Claimant, bodyHash string) Decision {
	if r.BodyHash != "" && r.BodyHash != bodyHash {
		return Decision{Reply: CallerReply{OutcomeInvalid, fault.ReasonConflict}}
	}
	switch r.State {
	case NoRecord, Released:
		next := Record{State: Claimed, ClaimedBy: claimant, Attempt: r.Attempt + 1, BodyHash: bodyHash}
		return Decision{Claim: true, Next: next}
	default:
		return Decision{Reply: ReplyFor(r)}
	}
}

// ReplyFor returns the reply to a caller about a request whose record was just
// read as r, if this process makes no claim for it.
func ReplyFor(r Record) CallerReply {
	switch r.State {
	case NoRecord, Released:
		return CallerReply{OutcomeNotRun, ""}
	case Done:
		return CallerReply{OutcomeDone, ""}
	case Claimed:
		return CallerReply{OutcomeUnknown, fault.ReasonClaimed}
	default:
		return CallerReply{OutcomeUnknown, fault.ReasonClaimInDoubt}
	}
}

// ReplyForUnread returns the reply for a record that cannot be read: an earlier
// attempt may have run the request.
func ReplyForUnread(reason fault.Reason) CallerReply {
	return CallerReply{OutcomeUnknown, reason}
}

// Withdrawal is the next step for a claim whose commit has an unknown outcome,
// or whose requester left. Such a claim is never used.
type Withdrawal struct {
	// Write is set if Next is to be committed; the row is read again if the
	// outcome of that commit is unknown.
	Write bool
	Next  Record
	// Reply applies when Write is not set.
	Reply CallerReply
}

// Withdraw decides how to withdraw the claim own, whose commit was sent before
// the request's record was read as r. An absent or older record is replaced as
// well, since the commit of the claim may still be in flight: the changed
// version makes it fail.
func Withdraw(r, own Record) Withdrawal {
	released := own
	released.State = Released
	isOwn := r.ClaimedBy == own.ClaimedBy && r.Attempt == own.Attempt
	switch {
	case isOwn && r.State == Claimed:
		return Withdrawal{Write: true, Next: released}
	case r.Attempt < own.Attempt:
		return Withdrawal{Write: true, Next: released}
	default:
		return Withdrawal{Reply: ReplyFor(r)}
	}
}

// End returns the request's record once the claim own has ended in state to.
func End(own Record, to State) Record {
	own.State = to
	return own
}

// EndStatus states whether the end of a claim is in the row, as of the last
// read.
type EndStatus int

// Statuses of a claim's end.
const (
	// EndRecorded means that the row shows the end of the claim.
	EndRecorded EndStatus = iota
	// EndUnwritten means that the end is yet to be committed, conditional on
	// the version read.
	EndUnwritten
	// EndSuperseded means that the row no longer belongs to the claim.
	EndSuperseded
)

// CheckEnd decides whether the end of the claim own is yet to be written, given
// that the request's record was read as r.
func CheckEnd(r, own Record) EndStatus {
	if r.ClaimedBy != own.ClaimedBy || r.Attempt != own.Attempt {
		return EndSuperseded
	}
	if r.State == Claimed {
		return EndUnwritten
	}
	return EndRecorded
}
