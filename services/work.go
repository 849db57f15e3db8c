package services

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Identity is what an entry host is called. It never changes while the
// process runs.
type Identity struct {
	Name        string                 `json:"Name"`
	Zone        fleet.AvailabilityZone `json:"Zone"`
	Incarnation uint64                 `json:"Incarnation"`
	PeerAddress string                 `json:"PeerAddress"`
}

// Membership keeps this host's row at the platform.
type Membership interface {
	Self() Identity
	// MayUseRights reports whether rights held may be used at now, and the
	// reason when they may not (hold term over, or paused and not yet
	// confirmed).
	MayUseRights(now time.Time) error
	// MayAcceptChanges returns nil while this host may accept changes: its
	// row is in force and every listed member has confirmed it or ended.
	MayAcceptChanges() error
	// Members returns this host and the members that it knows, from the
	// platform and from peers.
	Members() []Identity
}

// MemberEnder is the part of the service NameMembership that takes an
// operator's statement that an entry host has ended. It leaves the host out at
// once, also while the platform is down. The operator answers for the host
// having ended and for the changes that it may have accepted last. A repeat has
// no further effect.
type MemberEnder interface {
	DeclareEnded(ctx context.Context, changeID, member string) error
}

// Request is one caller's request on its way to a backend server. Body is not
// modified.
type Request struct {
	ID string
	// CallerChoseID is set when the caller chose ID, so that a claim is needed.
	CallerChoseID bool
	Team          string
	Queue         document.Queue
	Share         float64
	Limit         int
	Idempotent    bool
	Body          []byte
	// ContentType is passed to the backend server and is informative only.
	ContentType string
	Deadline    time.Time
}

// Reply is a whole answer from a backend server.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Server      string
}

// Dispatcher queues requests and runs them on backend servers.
type Dispatcher interface {
	// Submit waits for the outcome of req, at most until its deadline. The
	// error is a fault that tells whether this attempt was not run or its
	// outcome is unknown; an earlier attempt under the same identifier is
	// told of by Claims.
	Submit(ctx context.Context, req *Request) (*Reply, error)
	// Queues describes the waiting and running work of this host.
	Queues() []QueueStatus
}

// QueueStatus describes one queue on this entry host.
type QueueStatus struct {
	Queue   string
	Team    string
	Waiting int
	Running int
}

// BackendAttempt is one attempt at one backend server.
type BackendAttempt struct {
	Server  fleet.Host
	Request *Request
	// Number counts from one.
	Number int
	// CallerGone is closed when the caller has gone; an attempt that is not written
	// by then is not run. It may be nil.
	CallerGone <-chan struct{}
	// Done receives the one result; it must not block.
	Done func(BackendResult)
}

// BackendResult is the outcome of one attempt. Err is a fault of class
// fault.NotRun when the backend server cannot have started the request.
type BackendResult struct {
	Attempt   BackendAttempt
	Reply     *Reply
	Err       error
	SlotsFree int
	Leaving   bool
	Elapsed   time.Duration
}

// Backends owns the connections to backend servers.
type Backends interface {
	// Send posts one attempt. An error is a fault of class fault.NotRun, and
	// Done is then not called.
	Send(ctx context.Context, s BackendAttempt) error
	// Retain closes the connections to all servers that are not named, each
	// after the answer that it waits for. The map is not modified afterwards.
	Retain(servers map[string]fleet.Host)
	// ConnectionsPerServer returns how many requests one server can carry at once.
	ConnectionsPerServer() int
}

// RightsUsage is the state of one team's rights on this entry host.
type RightsUsage struct {
	Team    string
	Limit   int
	Held    int
	Used    int
	Waiting int
	// FleetHeld is the sum over all entry hosts when the row was last read.
	FleetHeld int
}

// Rights grants the rights to run that bound each team to its limit.
type Rights interface {
	// Acquire takes n free rights of team and reports whether it got them
	// all; it never waits. The reason of a refusal is a fault.
	Acquire(ctx context.Context, team string, n int) error
	// Release returns n rights after the work has surely ended.
	Release(team string, n int)
	// SetWaiting reports how much work of team waits for a right here.
	SetWaiting(team string, n int)
	// WatchFreedRights returns a ring that receives a team's name when a right became
	// free after a refusal. It is called during Provision.
	WatchFreedRights(name string) FreedRing
	Usage() []RightsUsage
}

// JobRights accounts for jobs in the rows of rights. It is implemented by the
// service NameRights. Each method reads the team's row; the caller adds the
// change to the transaction that changes the job's row, so that a job and its
// right change together. These methods block until the row was read. A row that
// counts no job for the scheduler is a fault with fault.ReasonNoJobRight.
type JobRights interface {
	// PlaceJob turns a right that Acquire granted into the right of a job.
	// After a transaction that committed, or whose outcome is unknown, the
	// right belongs to the job and Release is not called for it.
	PlaceJob(ctx context.Context, team string) (RightsChange, error)
	// AdoptJob moves the right of a job from its scheduler to this host.
	AdoptJob(ctx context.Context, team string, scheduler Identity) (RightsChange, error)
	// EndJob frees the right of a job that scheduler placed or adopted.
	EndJob(ctx context.Context, team string, scheduler Identity) (RightsChange, error)
	// SetWaitingJobs reports how many jobs of team could start here but for a
	// right, apart from the requests that Rights.Waiting reports.
	SetWaitingJobs(team string, n int)
}

// RightsChange is the part of a job's transaction that accounts for its right.
type RightsChange struct {
	Condition Condition
	Write     Write
	// Settle is called once with the result of the transaction.
	Settle func(CommitResult, error)
}

// FreedRing is the part of a ring that the waiting duty reads.
type FreedRing interface{ C() <-chan string }

// ClaimState is the position of a claimed request.
type ClaimState string

// States of a claim.
const (
	ClaimNone     ClaimState = ""
	ClaimHeld     ClaimState = "claimed"
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
	ClaimUnknown  ClaimState = "unknown"
)

// ClaimRecord is what the platform keeps of one claimed request.
type ClaimRecord struct {
	State       ClaimState `json:"state"`
	Host        string     `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	// Sequence tells apart the claims of one process.
	Sequence uint64 `json:"sequence"`
	Attempt  int    `json:"attempt"`
	// ChangedAt is the writer's wall-clock time; it is used only to delete
	// the record long after its last change.
	ChangedAt time.Time `json:"changedAt"`
	// BodyHash tells apart a repeat of a request and another request under
	// the same identifier.
	BodyHash string `json:"bodyHash"`
	Status   int    `json:"status,omitempty"`
	// ContentType and Body are the answer when State is ClaimDone; Object
	// names it in the object store when it is too large for the row.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// AnswerLost reports whether the request ran and its answer was not kept.
func (r ClaimRecord) AnswerLost() bool { return r.State == ClaimDone && r.Status == 0 }

// Claims records which requests with a caller's identifier were started.
type Claims interface {
	// Claim commits the claim for req. It returns a done record when the
	// request ran before; the request may be started only when the record's
	// state is ClaimHeld and err is nil. With any error this attempt was not
	// run and will not be; the class of the error tells what is known of
	// earlier attempts.
	Claim(ctx context.Context, req *Request) (ClaimRecord, error)
	// RecordOutcome records the outcome of a request that this process claimed.
	// It returns once the record is queued, and retries until the platform
	// has it or the process ends.
	RecordOutcome(req *Request, reply *Reply, err error)
	// Lookup returns the record of a request.
	Lookup(ctx context.Context, team, id string) (ClaimRecord, error)
}

// JobSpec is what a caller submits to run on a worker.
type JobSpec struct {
	Queue       string          `json:"queue"`
	Idempotent  bool            `json:"idempotent"`
	Resources   fleet.Resources `json:"resources"`
	DeclaredRun time.Duration   `json:"declaredRun"`
	Payload     []byte          `json:"payload,omitempty"`
}

// JobStatus is what callers and operators see of a job.
type JobStatus struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	State   string `json:"state"`
	Reason  string `json:"reason,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Attempt int    `json:"attempt"`
}

// Jobs records, schedules and ends jobs.
type Jobs interface {
	// Submit returns once the job is recorded at the platform. A repeat
	// under the same id and team returns the recorded job.
	Submit(ctx context.Context, team, id string, spec JobSpec) (JobStatus, error)
	Status(ctx context.Context, team, id string) (JobStatus, error)
	// Result returns the job's output; ok is false while it has none.
	Result(ctx context.Context, team, id string) (data []byte, ok bool, err error)
	Cancel(ctx context.Context, team, id string) (JobStatus, error)
	List(ctx context.Context, queue string, limit int) ([]JobStatus, error)
}

// Maintenance moves hosts in and out of service. Changes are conditional on
// the shared state; a refused grant is a fault of class fault.NotRun with the
// bound that it would break.
type Maintenance interface {
	Drain(ctx context.Context, changeID, host string, cause budget.Cause) (budget.LedgerEntry, error)
	// Return brings a host back into service. A failed host that is missing
	// from the host list is retired at once: it loses its pool.
	Return(ctx context.Context, changeID, host string) error
	Move(ctx context.Context, changeID, host, toPool string) (budget.LedgerEntry, error)
	StartWave(ctx context.Context, w budget.Wave) (budget.Wave, error)
	StopWave(ctx context.Context, changeID, id, reason string) error
}
