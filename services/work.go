package services

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Identity identifies one process of an entry host. It does not change while the
// process runs.
type Identity struct {
	Name        string                 `json:"Name"`
	Zone        fleet.AvailabilityZone `json:"Zone"`
	Incarnation uint64                 `json:"Incarnation"`
	PeerAddress string                 `json:"PeerAddress"`
}

// Membership maintains this host's member row at the platform.
type Membership interface {
	Self() Identity
	// CheckMayUseRights returns nil if this host may use the rights that it
	// holds at now. Otherwise the error states the reason: the hold term is
	// over, or the process was paused and is not yet confirmed.
	CheckMayUseRights(now time.Time) error
	// CheckMayAcceptChanges returns nil while this host may accept changes,
	// that is, while its row is in force and every listed member has confirmed
	// this host or has ended.
	CheckMayAcceptChanges() error
	// Members returns this host and the members that it knows of from the
	// platform and from peers.
	Members() []Identity
}

// MemberEnder is implemented by the service NameMembership. It takes an operator's
// declaration that an entry host has ended and excludes the host at once, even
// while the platform is down. The operator is responsible for the host having
// ended, and for the changes that it may have accepted last. A repeat has no
// further effect.
type MemberEnder interface {
	DeclareEnded(ctx context.Context, changeID, member string) error
}

// Request is one caller's request to a backend server. Body must not be modified.
type Request struct {
	ID string
	// CallerChoseID is true if the caller chose ID, in which case a claim is
	// needed.
	CallerChoseID bool
	Team          string
	Queue         document.Queue
	Share         float64
	Limit         int
	Idempotent    bool
	Body          []byte
	// ContentType is passed on to the backend server and not interpreted.
	ContentType string
	Deadline    time.Time
}

// Reply is a complete reply from a backend server.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Server      string
}

// Dispatcher queues requests and runs them on backend servers.
type Dispatcher interface {
	// Submit waits for the outcome of req until its deadline. The class of the
	// error tells whether this attempt was not run or its outcome is unknown.
	// Earlier attempts under the same identifier are recorded by Claims.
	Submit(ctx context.Context, req *Request) (*Reply, error)
	// Queues returns the waiting and running work of this host.
	Queues() []QueueStatus
}

// QueueStatus is the number of requests of one queue and team on this entry host.
type QueueStatus struct {
	Queue   string
	Team    string
	Waiting int
	Running int
}

// BackendAttempt is one attempt to run a request on one backend server.
type BackendAttempt struct {
	Server  fleet.Host
	Request *Request
	// Number is the number of the attempt, from one.
	Number int
	// CallerGone is closed when the caller has disconnected. An attempt that has
	// not been written by then is not run. It may be nil.
	CallerGone <-chan struct{}
	// Done is called once with the result. It must not block.
	Done func(BackendResult)
}

// BackendResult is the outcome of one attempt. Err is a fault, of class
// fault.NotRun if the backend server cannot have started the request.
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
	// Send queues one attempt. An error is a fault of class fault.NotRun; Done
	// is then not called.
	Send(ctx context.Context, s BackendAttempt) error
	// Retain closes the connections to all servers that are not in the map, each
	// after the reply that it is waiting for. The caller must not modify the
	// map afterwards.
	Retain(servers map[string]fleet.Host)
	// ConnectionsPerServer returns how many requests this host can send to one
	// server at the same time.
	ConnectionsPerServer() int
}

// RightsUsage describes the rights of one team on this entry host.
type RightsUsage struct {
	Team    string
	Limit   int
	Held    int
	Used    int
	Waiting int
	// FleetHeld is the number of rights held by all entry hosts when the row was
	// last read.
	FleetHeld int
}

// Rights grants rights to run work. They keep each team within its limit.
type Rights interface {
	// Acquire takes n free rights of team, or none if fewer are free. It never
	// waits for rights to become free. A refusal is a fault with its reason.
	Acquire(ctx context.Context, team string, n int) error
	// Release returns n rights. It must be called only after the work has
	// certainly ended.
	Release(team string, n int)
	// SetWaiting sets how many requests of team wait for a right on this host.
	SetWaiting(team string, n int)
	// WatchFreedRights returns a ring that receives a team's name when a right
	// becomes free after a refusal. It must be called during Provision.
	WatchFreedRights(name string) FreedRing
	Usage() []RightsUsage
}

// JobRights accounts for jobs in the rows of rights. It is implemented by the
// service NameRights. PlaceJob, AdoptJob and EndJob read the team's row and block
// until it was read. The caller adds the returned change to the transaction that
// changes the job's row, so that a job and its right change together. If the row
// counts no job for the scheduler, the error is a fault with
// fault.ReasonNoJobRight.
type JobRights interface {
	// PlaceJob turns a right that Acquire granted into the right of a job. Once
	// the transaction has committed, or its outcome is unknown, the right
	// belongs to the job and Release must not be called for it.
	PlaceJob(ctx context.Context, team string) (RightsChange, error)
	// AdoptJob moves the right of a job from its scheduler to this host.
	AdoptJob(ctx context.Context, team string, scheduler Identity) (RightsChange, error)
	// EndJob frees the right of a job that scheduler had placed or adopted.
	EndJob(ctx context.Context, team string, scheduler Identity) (RightsChange, error)
	// SetWaitingJobs sets how many jobs of team could start on this host if they
	// had a right, not counting the requests set by Rights.SetWaiting.
	SetWaitingJobs(team string, n int)
}

// RightsChange is the part of a job's transaction that accounts for its right.
type RightsChange struct {
	Condition Condition
	Write     Write
	// Settle is called once with the result of the transaction.
	Settle func(CommitResult, error)
}

// FreedRing is the consuming side of a ring that receives the names of teams.
type FreedRing interface{ C() <-chan string }

// ClaimState is the state of a claimed request.
type ClaimState string

// States of a claim.
const (
	ClaimNone     ClaimState = ""
	ClaimHeld     ClaimState = "claimed"
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
	ClaimUnknown  ClaimState = "unknown"
)

// ClaimRecord is the platform's record of one claimed request.
type ClaimRecord struct {
	State       ClaimState `json:"state"`
	Host        string     `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	// Sequence distinguishes the claims of one process.
	Sequence uint64 `json:"sequence"`
	Attempt  int    `json:"attempt"`
	// ChangedAt is the writer's wall-clock time; it is used only to delete
	// the record long after its last change.
	ChangedAt time.Time `json:"changedAt"`
	// BodyHash distinguishes a repeat of the request from a different request
	// with the same identifier.
	BodyHash string `json:"bodyHash"`
	Status   int    `json:"status,omitempty"`
	// ContentType and Body are the answer when State is ClaimDone. Object is its
	// name in the object store if it is too large for the row.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// AnswerLost reports whether the request ran but its answer was not kept.
func (r ClaimRecord) AnswerLost() bool { return r.State == ClaimDone && r.Status == 0 }

// Claims records which requests with an identifier chosen by the caller were
// started.
type Claims interface {
	// Claim commits a claim for req. It returns a done record if the request ran
	// before. The request may be started only if the record's state is ClaimHeld
	// and the error is nil. After any error this attempt was not and will not be
	// run; the class of the error tells what is known of earlier attempts.
	Claim(ctx context.Context, req *Request) (ClaimRecord, error)
	// RecordOutcome records the outcome of a request that this process claimed.
	// It returns once the record is queued. The write is retried until the
	// platform has the record or the process ends.
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
	// Submit returns once the job is recorded at the platform. A repeat with the
	// same team and id returns the recorded job.
	Submit(ctx context.Context, team, id string, spec JobSpec) (JobStatus, error)
	Status(ctx context.Context, team, id string) (JobStatus, error)
	// Result returns the job's output; ok is false while there is none.
	Result(ctx context.Context, team, id string) (data []byte, ok bool, err error)
	Cancel(ctx context.Context, team, id string) (JobStatus, error)
	List(ctx context.Context, queue string, limit int) ([]JobStatus, error)
}

// Maintenance takes hosts out of service and returns them. Changes are conditional
// on the shared state. A refusal is a fault of class fault.NotRun that names the
// bound that the change would exceed.
type Maintenance interface {
	Drain(ctx context.Context, changeID, host string, cause budget.Cause) (budget.LedgerEntry, error)
	// Return puts a host back into service. A failed host that is missing from
	// the host list is retired at once, that is, removed from its pool.
	Return(ctx context.Context, changeID, host string) error
	Move(ctx context.Context, changeID, host, toPool string) (budget.LedgerEntry, error)
	StartWave(ctx context.Context, w budget.Wave) (budget.Wave, error)
	StopWave(ctx context.Context, changeID, id, reason string) error
}
