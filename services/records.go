package services

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// RecordKey identifies a record. One transaction can change several records of
// the same part, but not records of different parts.
type RecordKey struct {
	Table, Part, Key string
}

// Record is one record of the platform's store. A record that does not exist has
// version zero.
type Record struct {
	RecordKey
	Value   []byte
	Version int64
	// Removed is true in RecordChanges when the record was deleted.
	Removed bool
}

// RecordCondition requires that a record has a version; version zero requires
// that the record does not exist.
type RecordCondition struct {
	RecordKey
	Version int64
}

// RecordWrite sets or deletes one record.
type RecordWrite struct {
	RecordKey
	Value  []byte
	Delete bool
}

// RecordTx is a transaction that takes effect atomically if every condition
// holds, and otherwise has no effect. All its records are in the same part.
type RecordTx struct {
	Conditions []RecordCondition
	Writes     []RecordWrite
	// Sent is called once the transaction has been written to a connection, and not at
	// all if it never is. It must not block. It may be nil.
	Sent func()
}

// RecordCommit is the outcome of a transaction.
type RecordCommit struct {
	Committed bool
	// Version is the new version of the written records.
	Version int64
	// Current holds the records that the conditions name, if one failed.
	Current []Record
}

// RecordRange selects the records of one part from From (inclusive) to To
// (exclusive). An empty bound does not limit the range.
type RecordRange struct {
	Table, Part, From, To string
	Limit                 int
}

// RecordPage is the result of a Scan, as of one point in time.
type RecordPage struct {
	Records []Record
	More    bool
	Version int64
	// Clock is the store's monotonic clock, which all processes share.
	Clock time.Duration
}

// RecordChanges are the records of a table that changed after a version.
type RecordChanges struct {
	Records []Record
	// Version is where the next call resumes.
	Version int64
	// VersionExpired is true when the store no longer holds the changes after
	// the given version; the caller must read the whole table again.
	VersionExpired bool
}

// Records is the platform's transactional store. All methods block until the
// answer arrives or ctx is done, and may be called concurrently.
//
// Errors are faults, of class fault.NotRun when the call had no effect and of
// class fault.Unknown when a Commit may take effect, now or later.
type Records interface {
	Commit(ctx context.Context, tx RecordTx) (RecordCommit, error)
	Scan(ctx context.Context, r RecordRange) (RecordPage, error)
	// Changes returns the changes of the table after a version. It waits for
	// the first one for at most wait.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (RecordChanges, error)
}

// StoreHealth reports the response time and reachability of the platform's store.
type StoreHealth interface {
	// ResponseTime returns how long the store has recently taken to answer.
	ResponseTime() time.Duration
	// UnreachableFor returns for how long the store has not answered any call;
	// zero if it answered the last one.
	UnreachableFor() time.Duration
}

// OperatorState is the configuration, the maintenance waves and the evacuations set by
// the operator.
type OperatorState struct {
	// Version is where the next call resumes.
	Version        int64
	VersionExpired bool
	// Catalog is nil if the configuration did not change.
	Catalog *catalog.Catalog
	// Waves are the maintenance waves that changed.
	Waves []MaintenanceWave
	// Evacuations are the requests to evacuate a zone that were made or taken back.
	Evacuations []evacuation.Request
	// Complete is set if this is the whole state, so that what it does not name does
	// not exist.
	Complete bool
}

// MaintenanceWave is the operator's request to maintain a set of machines.
type MaintenanceWave struct {
	Number   int      `json:"Number"`
	Machines []string `json:"Machines"`
	// Duration is the time within which all machines must be maintained.
	Duration time.Duration `json:"Duration"`
	// MaxDown is the number of machines that may be down at the same time.
	MaxDown int   `json:"MaxDown"`
	Version int64 `json:"Version"`
}

// OperatorStore reads the state that the operator has set. Entries that cannot be
// decoded are logged and skipped.
type OperatorStore interface {
	// ReadOperatorState returns the whole state.
	ReadOperatorState(ctx context.Context) (OperatorState, error)
	// AwaitOperatorChange returns what changed after a version. It waits for a
	// change for at most wait.
	AwaitOperatorChange(ctx context.Context, after int64, wait time.Duration) (OperatorState, error)
	// ReportWave reports the progress of a wave to the operator.
	ReportWave(ctx context.Context, number int, completed bool) error
}

// RegisteredExecutor is an entry in the registry of executors.
type RegisteredExecutor struct {
	poolplan.Executor
	Service string `json:"Service"`
	// Sequence increases with each heartbeat of the executor.
	Sequence int64 `json:"Sequence"`
}

// Registry lists the registered executors.
type Registry interface {
	// ListExecutors returns all registered executors and the version of the list.
	ListExecutors(ctx context.Context) (RegistryChanges, error)
	// ExecutorChanges returns what has changed since version after.
	ExecutorChanges(ctx context.Context, after int64) (RegistryChanges, error)
}

// RegistryChanges has the entries of the registry that have changed.
type RegistryChanges struct {
	// Executors has the new and changed entries.
	Executors []RegisteredExecutor
	// Removed has the identifiers whose entry is gone, or names no executor any
	// more because another writer has made it invalid. An identifier is not in
	// both lists.
	Removed []string
	// Version is that of the newest change.
	Version int64
	// VersionExpired is set if the store no longer has the changes, so that all
	// entries must be read.
	VersionExpired bool
}

// Executors sends orders to executors.
type Executors interface {
	Start(ctx context.Context, o poolplan.Start) poolplan.Outcome
	Stop(ctx context.Context, o poolplan.Stop) poolplan.Outcome
	RenewLease(ctx context.Context, o poolplan.RenewLease) poolplan.Report
	Throttle(ctx context.Context, o poolplan.Throttle) poolplan.Outcome
}

// Advisor selects the executors that may run a step.
type Advisor interface {
	// Advise returns the ticket of each executor that may run the step, and for
	// how long the tickets are valid.
	Advise(ctx context.Context, o poolplan.Advise) (tickets map[string]string, validity time.Duration, err error)
}

// Machine is one entry of the platform's machine list.
type Machine struct {
	Name   string       `json:"Name"`
	Pool   string       `json:"Pool"`
	State  MachineState `json:"State"`
	Zone   string       `json:"Zone"`
	Labels []string     `json:"Labels"`
	// Kind is the same for machines that can replace each other.
	Kind     string          `json:"Kind"`
	Capacity fleet.Resources `json:"Capacity"`
	Executor string          `json:"Executor"`
}

// MachineState is the platform's view of a machine.
type MachineState string

// States of machines.
const (
	MachineUp            MachineState = "up"
	MachineMoving        MachineState = "moving"
	MachineInMaintenance MachineState = "upkeep"
	MachineDown          MachineState = "down"
)

// MachineOrder is an order for one machine. Holder and FencingToken identify the
// process that issues it.
type MachineOrder struct {
	Machine      string
	Holder       string
	FencingToken int64
}

// Machines lists, moves and maintains machines. A move or maintenance ends
// everything that runs on the machine. Errors are faults as for Records.
type Machines interface {
	ListMachines(ctx context.Context) ([]Machine, error)
	MoveMachine(ctx context.Context, o MachineOrder, pool string) error
	MaintainMachine(ctx context.Context, o MachineOrder, wave int) error
}

// JobIntake accepts jobs from callers. Errors are faults, of class fault.NotRun
// when the job was not and will not be recorded, and of class fault.Unknown when
// it may be.
type JobIntake interface {
	// Ready reports whether jobs can currently be recorded and looked up.
	Ready() bool
	Submit(ctx context.Context, q *catalog.Queue, spec *workload.Spec) error
	State(ctx context.Context, q *catalog.Queue, tenant, id string) (s workload.State, found bool, err error)
	Cancel(ctx context.Context, q *catalog.Queue, tenant, id string) (found bool, err error)
	Pending(ctx context.Context, q *catalog.Queue) (int, error)
}

// Catalogs provides the configuration in force.
type Catalogs interface {
	// Catalog returns nil before the first read.
	Catalog() *catalog.Catalog
	// Waves returns the waves that the operator has requested.
	Waves() []MaintenanceWave
	// Evacuations returns the zones that the operator has asked to evacuate.
	Evacuations() evacuation.Set
	// CurrentAsOf returns a time as of which all of this is known to have been
	// current; zero before the first read.
	CurrentAsOf() time.Time
	// WatchChanges returns a ring that receives a value when the catalog, the waves
	// or the evacuations change. It must be called during Provision.
	WatchChanges(name string) ChangedRing
}

// ChangedRing is the consuming side of a notification ring.
type ChangedRing interface{ C() <-chan struct{} }

// PoolOwnership is this process's current ownership of one pool.
type PoolOwnership struct {
	Pool string
	// Term is the number of this ownership among all of the pool's, from one.
	Term int
	// FencingToken is greater than that of every earlier owner.
	FencingToken int64
	// Condition holds while no other process has taken over the pool.
	// Transactions in the pool's part that a former owner must not commit
	// include it.
	Condition RecordCondition
	// PoolParts is set if an owner of an earlier version may have left jobs in the
	// pool's own parts.
	PoolParts bool
	// RenewedAt is the time at which the last confirmed renewal was sent.
	RenewedAt time.Time
	// ClaimedAt is the time at which the claim was sent.
	ClaimedAt time.Time
	// AcquiredVersion is the version at which this process took over the pool.
	AcquiredVersion int64
	// RenewalVersion is the version of the last confirmed renewal, or of the
	// claim if there was none.
	RenewalVersion int64
	// ReplacedVersion is the version of the owner record that the claim
	// replaced, and ReplacedSilentFor is how long that record had not changed.
	ReplacedVersion   int64
	ReplacedSilentFor time.Duration
}

// Ownership keeps track of the pools that this process owns.
type Ownership interface {
	// OwnedPools returns the pools that this process owns.
	OwnedPools() map[string]PoolOwnership
	// ReportLost reports that another process was found to own the pool, or that this
	// one gives it up. The ownership ends in the service's next round; until then
	// OwnedPools names it. ReportLost returns false if the report found no room and
	// has to be repeated.
	ReportLost(o PoolOwnership) bool
	// SilentOwner returns the version of the pool's owner record if the owner
	// has not renewed it for a while, and zero otherwise. It may be called
	// from any goroutine.
	SilentOwner(pool string) int64
	// OwnerTerm returns the term of the pool's last known owner. It may be called from
	// any goroutine.
	OwnerTerm(pool string) int
	// WatchOwnedPools returns a ring that receives a value when a pool is taken
	// over, renewed or lost. It must be called during Provision.
	WatchOwnedPools(name string) ChangedRing
}

// MachineManagementPool is the pool name under which a process owns the management
// of machines. It cannot be the name of a service, because it starts with a tilde.
const MachineManagementPool = "~machines"
