// Package claim decides the life of a request with a caller's identifier: who
// may start it, what its record becomes, and what a refusal may say about it.
//
// The record of a request is one row at the platform. Every change of it is
// conditional on the version that the decision was made from. A process starts
// a request only after it knows that its claim is committed.
package claim

import "fuchsiafront.example/fuchsiafront/fault"

// State is the position of a request's record.
type State string

// States of a record. Only Held and the states after it follow from a claim.
const (
	// NoRecord means that there is no record.
	NoRecord State = ""
	// Claimed means that the claimant may start the request or has started it.
	Claimed State = "claimed"
	// Released means that the claimant did not run the request and will not.
	Released State = "released"
	// Done means that the request ran and its answer was recorded or lost.
	Done State = "done"
	// Unknown means that the claimant cannot tell whether the request ran.
	Unknown State = "unknown"
)

// Claimant identifies one claim. Sequence tells apart the claims of a process.
type Claimant struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Record is the decided part of a request's row. The zero value is an absent
// row.
type Record struct {
	State     State
	ClaimedBy Claimant
	// Attempt counts the claims of the request.
	Attempt int
	// BodyHash tells a repeat from another request under the identifier; it
	// is empty in an absent or unreadable record.
	BodyHash string
}

// Outcome is what a caller may be told about a request.
type Outcome int

// Outcomes that a caller may be told.
const (
	// OutcomeUnknown says that the request may have run or may still run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun says that the request was not run by this or an earlier
	// claim, and that no claim made so far will run it.
	OutcomeNotRun
	// OutcomeDone says that the request ran; the record holds its answer.
	OutcomeDone
	// OutcomeInvalid says that the identifier belongs to another request, so
	// that this one was not run and never will be.
	OutcomeInvalid
)

// CallerReply is what may be said to the caller and why.
type CallerReply struct {
	Outcome Outcome
	Reason  fault.Reason
}

// Decision is the answer to an attempt to claim.
type Decision struct {
	// Claim is set when Next is to be committed. The request may be started
	// once that commit is known to have taken effect.
	Claim bool
	Next  Record
	// Reply applies when Claim is not set.
	Reply CallerReply
}

// Decide decides on a request with bodyHash whose record is r.
func Decide(r Record, by Claimant, bodyHash string) Decision {
	if r.BodyHash != "" && r.BodyHash != bodyHash {
		return Decision{Reply: CallerReply{OutcomeInvalid, fault.ReasonConflict}}
	}
	switch r.State {
	case NoRecord, Released:
		next := Record{State: Claimed, ClaimedBy: by, Attempt: r.Attempt + 1, BodyHash: bodyHash}
		return Decision{Claim: true, Next: next}
	default:
		return Decision{Reply: ReplyFor(r)}
	}
}

// ReplyFor returns what may be said to a caller about a request whose record was
// just read as r, when this process makes no claim for it.
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

// ReplyForUnread returns what may be said when the record cannot be read: an
// earlier attempt may have run.
func ReplyForUnread(reason fault.Reason) CallerReply {
	return CallerReply{OutcomeUnknown, reason}
}

// Withdrawal is the next step for a claim whose commit has an unknown outcome,
// or whose requester left. The claim is never used.
type Withdrawal struct {
	// Write is set when Next is to be committed, and the row read again if
	// the outcome of that is not known.
	Write bool
	Next  Record
	// Reply applies when Write is not set.
	Reply CallerReply
}

// Withdraw decides from the record r, read after the commit of mine was sent.
// An absent or older record is replaced as well, since the commit of mine may
// still be on its way: the changed version makes it fail.
func Withdraw(r, mine Record) Withdrawal {
	released := mine
	released.State = Released
	own := r.ClaimedBy == mine.ClaimedBy && r.Attempt == mine.Attempt
	switch {
	case own && r.State == Claimed:
		return Withdrawal{Write: true, Next: released}
	case r.Attempt < mine.Attempt:
		return Withdrawal{Write: true, Next: released}
	default:
		return Withdrawal{Reply: ReplyFor(r)}
	}
}

// End returns the record that ends the claim mine.
func End(mine Record, to State) Record {
	mine.State = to
	return mine
}

// EndStatus is the next step for the end of a claim, after a read of the row.
type EndStatus int

// Settlements.
const (
	// EndRecorded means that the row shows the end of the claim.
	EndRecorded EndStatus = iota
	// EndUnwritten means that the end is to be committed on the version read.
	EndUnwritten
	// EndSuperseded means that the row no longer belongs to the claim.
	EndSuperseded
)

// CheckEnd decides from the record r whether the end of the claim mine is yet to
// be written.
func CheckEnd(r, mine Record) EndStatus {
	if r.ClaimedBy != mine.ClaimedBy || r.Attempt != mine.Attempt {
		return EndSuperseded
	}
	if r.State == Claimed {
		return EndUnwritten
	}
	return EndRecorded
}
