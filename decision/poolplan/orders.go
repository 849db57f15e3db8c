package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Order is a call to an executor or the advice service. The caller of Step
// carries it out and reports the outcome to the Plan.
type Order interface{ order() }

// Target names one incarnation of an executor. The address and the identifier may lead
// to another one, which refuses the order if it has seen a higher fencing token.
type Target struct {
	Executor string
	Address  string
	// StartedMs is the start of the incarnation as far as it is known; zero if it is not.
	StartedMs int64
	// Serial numbers the incarnations that the plan has known.
	Serial int64
	// FencingToken is that of all orders of this owner to the incarnation. It is higher
	// than those of orders to earlier ones under the identifier that changed anything.
	FencingToken int64
}

// Start tells an executor to run a task.
type Start struct {
	Target
	Task       workload.TaskID
	Attempt    int
	SpecText   string
	Checkpoint string
	Ticket     string
	// LeaseUntilMs is the end of the lease on the executor's clock.
	LeaseUntilMs int64
	// Reason is why the task starts here; it is logged.
	Reason string
	// Exclusive is set if a successor may know that the task has ended: the start
	// must not be sent unless this owner certainly has no successor.
	Exclusive bool
	// Zone is the availability zone of the executor. The start must not be sent while
	// the zone is evacuated.
	Zone string
	// Waited is the time since the task became ready.
	Waited time.Duration
}

// Stop tells an executor to end a run, or never to begin it.
type Stop struct {
	Target
	Task    workload.TaskID
	Attempt int
	Reason  string
}

// RenewLease extends the lease of an executor and requests a report of its runs
// and of the runs that ended.
type RenewLease struct {
	Target
	// LeaseUntilMs is zero when the lease must not be extended.
	LeaseUntilMs int64
	// AckedEnd is the number of the last run end that the executor may forget.
	AckedEnd int64
	// Wait is how long the executor may delay its report until a run ends.
	Wait time.Duration
	// Check is set if the order asks who answers, beside the renewal.
	Check bool
}

// changesNothing reports whether the order neither extends a lease nor acknowledges an
// end, so that it does no harm in any incarnation.
func (o RenewLease) changesNothing() bool { return o.LeaseUntilMs == 0 && o.AckedEnd == 0 }

// Throttle limits a run to a percentage of its full speed.
type Throttle struct {
	Target
	Task    workload.TaskID
	Attempt int
	Percent int
	Reason  string
}

// Advise asks which executors may run a step.
type Advise struct {
	Job              string
	Occurrence, Step int
	Executors        []string
}

func (Start) order()      {}
func (Stop) order()       {}
func (RenewLease) order() {}
func (Throttle) order()   {}
func (Advise) order()     {}

// Answer is an executor's answer to an order.
type Answer int

// Answers to orders.
const (
	// Accepted means that the order was carried out.
	Accepted Answer = iota
	// NotSent means that the executor has not received the order and will not.
	NotSent
	// NoAnswer means that the order may have been carried out or may still be.
	NoAnswer
	// RefusedFencingToken means that the executor has seen a higher fencing
	// token.
	RefusedFencingToken
	// RefusedOld means that a run with this attempt number or a higher one has
	// ended on the executor.
	RefusedOld
	// RefusedLate means that the lease in the order had expired.
	RefusedLate
	// RefusedRoom means that the executor has no room.
	RefusedRoom
	// RefusedTicket means that the ticket from the advice service is not valid.
	RefusedTicket
	// RefusedBusy means that the executor is unhealthy and has done nothing.
	RefusedBusy
	// RefusedInvalid means that the executor cannot decode the order.
	RefusedInvalid
	// WrongIncarnation means that an executor with another identifier uses the
	// address.
	WrongIncarnation
	// Withheld means that the order was not sent, because this process might no
	// longer own the pool or had no room for the call.
	Withheld
)

var answerNames = [...]string{
	"accepted", "not-sent", "no-answer", "fence", "old", "late", "no-room", "ticket", "busy", "invalid", "wrong-life", "withheld",
}

// String returns the name of the answer in logs and metrics.
func (a Answer) String() string { return answerNames[a] }

// Outcome is an answer with the executor's clock, which is zero if it sent
// none.
type Outcome struct {
	Answer  Answer
	ClockMs int64
	SentAt  time.Time
	// ReceivedAt is when the answer arrived; zero means when it is processed.
	ReceivedAt time.Time
}

// RunReport is one run that an executor lists.
type RunReport struct {
	Task       workload.TaskID
	Attempt    int
	Checkpoint string
	Percent    int
	// Measurement is the tail latency in milliseconds of a service task, and
	// the thousandths of a processor in use by any other task; negative when
	// not given.
	Measurement int
}

// Ending tells how a run ended.
type Ending int

// Endings of runs.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	EndedLapsed
	EndedBroken
	EndedAlone
)

var endingNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the ending in logs.
func (e Ending) String() string { return endingNames[e] }

// EndReport is one ended run that an executor lists.
type EndReport struct {
	Number     int64
	Task       workload.TaskID
	Attempt    int
	Ending     Ending
	Checkpoint string
}

// Report is an executor's answer to a RenewLease.
type Report struct {
	Outcome
	StartedMs int64
	Running   []RunReport
	Ended     []EndReport
	// Truncated is set when there are more run ends than the report lists.
	Truncated bool
}
