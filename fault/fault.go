// Package fault defines the errors that cross package boundaries. Each has the
// step and the peer at which it occurred, and a reason by which metrics count it.
package fault

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Classes of faults.
var (
	// NotRun means that the operation had no effect and will not have any.
	NotRun = errs.Class("not run")
	// Unknown means that the operation may have taken effect, now or later.
	Unknown = errs.Class("outcome unknown")
	// Invalid means that the input is invalid, so that a repeat cannot succeed.
	Invalid = errs.Class("invalid")
)

// Reason is why work was refused or retried. It is the value of a metric tag.
type Reason string

// Reasons for refusals and retries.
const (
	ReasonNoKey              Reason = "no-key"
	ReasonWrongKey           Reason = "wrong-key"
	ReasonWithdrawnKey       Reason = "withdrawn-key"
	ReasonWrongTeam          Reason = "wrong-team"
	ReasonKeysNotCurrent     Reason = "keys-not-current"
	ReasonNoState            Reason = "no-state"
	ReasonUnknownQueue       Reason = "unknown-queue"
	ReasonUnknownHost        Reason = "unknown-host"
	ReasonUnknownRequest     Reason = "unknown-request"
	ReasonUnknownJob         Reason = "unknown-job"
	ReasonUnknownPath        Reason = "unknown-path"
	ReasonWrongMethod        Reason = "wrong-method"
	ReasonBodyTooLarge       Reason = "body-too-large"
	ReasonMalformed          Reason = "malformed"
	ReasonQueueFull          Reason = "queue-full"
	ReasonDeadline           Reason = "deadline"
	ReasonWouldMissDeadline  Reason = "would-miss-deadline"
	ReasonTeamLimit          Reason = "team-limit"
	ReasonPaused             Reason = "paused"
	ReasonRingFull           Reason = "ring-full"
	ReasonDraining           Reason = "draining"
	ReasonNoBackendServer    Reason = "no-backend-server"
	ReasonConnectFailed      Reason = "connect-failed"
	ReasonNoSlots            Reason = "no-slots"
	ReasonLeaving            Reason = "leaving"
	ReasonConnectionStalled  Reason = "connection-stalled"
	ReasonConnectionLost     Reason = "connection-lost"
	ReasonWrongReply         Reason = "wrong-reply"
	ReasonTruncatedReply     Reason = "truncated-reply"
	ReasonRetryBudget        Reason = "retry-budget"
	ReasonPlatformDown       Reason = "platform-down"
	ReasonPlatformBusy       Reason = "platform-busy"
	ReasonConflict           Reason = "conflict"
	ReasonClaimed            Reason = "claimed"
	ReasonClaimInDoubt       Reason = "claim-in-doubt"
	ReasonAnswerLost         Reason = "answer-lost"
	ReasonClaimLost          Reason = "claim-lost"
	ReasonNotPermitted       Reason = "not-permitted"
	ReasonCancelled          Reason = "cancelled"
	ReasonNoRoom             Reason = "no-room"
	ReasonAvailabilityBudget Reason = "availability-budget"
	ReasonStaleHostList      Reason = "stale-host-list"
	ReasonUnknownPool        Reason = "unknown-pool"
	ReasonUnassignedHost     Reason = "unassigned-host"
	ReasonHostAlreadyOut     Reason = "host-already-out"
	ReasonHostInService      Reason = "host-in-service"
	ReasonWrongHostKind      Reason = "wrong-host-kind"
	ReasonUnknownWave        Reason = "unknown-wave"
	ReasonPoolHasWave        Reason = "pool-has-wave"
	ReasonMemberUnconfirmed  Reason = "member-unconfirmed"
	ReasonReplicaBehind      Reason = "replica-behind"
	ReasonUnsupported        Reason = "unsupported"
	ReasonMemberSuperseded   Reason = "member-superseded"
	ReasonHoldTermOver       Reason = "hold-term-over"
	ReasonPeerUnreachable    Reason = "peer-unreachable"
	ReasonInternal           Reason = "internal"
	ReasonSuperseded         Reason = "superseded"
	ReasonMachineBusy        Reason = "machine-busy"
	ReasonOwnershipExpired   Reason = "ownership-expired"
)

// Error is a fault with the step and the peer at which it occurred.
type Error struct {
	Class  *errs.Class
	Reason Reason
	Step   string
	Peer   string
	Err    error
}

// New returns a fault. peer is empty if no other process is involved.
func New(class *errs.Class, reason Reason, step, peer, format string, args ...any) *Error {
	return &Error{Class: class, Reason: reason, Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

// Error returns "class: step (peer): reason: cause".
func (e *Error) Error() string {
	where := e.Step
	if e.Peer != "" {
		where += " (" + e.Peer + ")"
	}
	return fmt.Sprintf("%s: %s: %s: %v", *e.Class, where, e.Reason, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// HasClass reports whether e belongs to class.
func (e *Error) HasClass(class *errs.Class) bool { return e.Class == class }

// As returns the first fault in err's chain, if there is one.
func As(err error) (*Error, bool) {
	var f *Error
	ok := errors.As(err, &f)
	return f, ok
}

// IsNotRun reports whether err is a fault whose operation had no effect, that is,
// of any class but Unknown.
func IsNotRun(err error) bool {
	f, ok := As(err)
	return ok && f.Class != &Unknown
}

// ReasonOf returns the reason of err, or ReasonInternal when it has none.
func ReasonOf(err error) Reason {
	if f, ok := As(err); ok {
		return f.Reason
	}
	return ReasonInternal
}
