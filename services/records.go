package services

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// RecordKey names a record. Records of one part can change together; those of
// different parts cannot.
type RecordKey struct {
	Table, Part, Key string
}

// Record is one row of the platform's store. Version zero means that it does
// not exist.
type Record struct {
	RecordKey
	Value   []byte
	Version int64
	// Removed is set in Changes when the record was deleted.
	Removed bool
}

// RecordCondition requires a record to have a version; zero requires that it
// does not exist.
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

// RecordTx takes effect as a whole when every condition holds, and not at all
// otherwise. All its records have the same part.
type RecordTx struct {
	Conditions []RecordCondition
	Writes     []RecordWrite
}

// RecordCommit tells what became of a transaction.
type RecordCommit struct {
	Committed bool
	// Version is the version of the written records.
	Version int64
	// Current holds the records of the conditions when one failed.
	Current []Record
}

// RecordRange selects the records of one part from From (inclusive) to To
// (exclusive); empty bounds are open.
type RecordRange struct {
	Table, Part, From, To string
	Limit                 int
}

// RecordPage is the answer to a Scan, as of one moment.
type RecordPage struct {
	Records []Record
	More    bool
	Version int64
	// Clock is the store's steady clock, which all processes share.
	Clock time.Duration
}

// RecordChanges are the records of a table that changed after a version.
type RecordChanges struct {
	Records []Record
	// Version is where the next call resumes.
	Version int64
	// VersionExpired tells that the store no longer knows the changes; the table
	// has to be read anew.
	VersionExpired bool
}

// Records is the platform's transactional store. All methods block until the
// answer is there or ctx ends and may be used concurrently.
//
// Errors are faults: class fault.NotRun when the call had no effect, class
// fault.Unknown when a Commit may take effect, now or later.
type Records interface {
	Commit(ctx context.Context, tx RecordTx) (RecordCommit, error)
	Scan(ctx context.Context, r RecordRange) (RecordPage, error)
	// Changes waits at most wait for a change of the table after a version.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (RecordChanges, error)
}

// StoreHealth tells how the platform's store does.
type StoreHealth interface {
	// ResponseTime returns how long the store has lately taken for an answer.
	ResponseTime() time.Duration
	// UnreachableFor returns for how long no call has been answered; zero while the
	// last one was.
	UnreachableFor() time.Duration
}

// OperatorState is what the operator has set.
type OperatorState struct {
	// Version is where the next call resumes.
	Version        int64
	VersionExpired bool
	// Catalog is nil when the configuration did not change.
	Catalog *catalog.Catalog
	// Waves are the waves of maintenance that changed.
	Waves []MaintenanceWave
}

// MaintenanceWave asks for the maintenance of machines.
type MaintenanceWave struct {
	Number   int      `json:"Number"`
	Machines []string `json:"Machines"`
	// Duration is the time in which all have to be maintained.
	Duration time.Duration `json:"Duration"`
	// MaxDown is how many may be down at once.
	MaxDown int   `json:"MaxDown"`
	Version int64 `json:"Version"`
}

// OperatorStore reads what the operator has set. Entries that cannot be read are
// reported in the log and left out.
type OperatorStore interface {
	// ReadOperatorState returns the whole state.
	ReadOperatorState(ctx context.Context) (OperatorState, error)
	// AwaitOperatorChange waits at most wait for a change after a version.
	AwaitOperatorChange(ctx context.Context, after int64, wait time.Duration) (OperatorState, error)
	// ReportWave tells the operator how far a wave is.
	ReportWave(ctx context.Context, number int, completed bool) error
}

// RegisteredExecutor is an entry of the registry of executors.
type RegisteredExecutor struct {
	poolplan.Executor
	Service string `json:"Service"`
	// Sequence rises with each report of the executor's life.
	Sequence int64 `json:"Sequence"`
}

// Registry lists the executors that have registered themselves.
type Registry interface {
	ListExecutors(ctx context.Context) ([]RegisteredExecutor, error)
}

// Executors carries out orders. fence is the owner's fencing token.
type Executors interface {
	Start(ctx context.Context, o poolplan.Start, fence int64) poolplan.Outcome
	Stop(ctx context.Context, o poolplan.Stop, fence int64) poolplan.Outcome
	Hold(ctx context.Context, o poolplan.Hold, fence int64) poolplan.Report
	Pace(ctx context.Context, o poolplan.Pace, fence int64) poolplan.Outcome
}

// Advisor tells which executors may run a step.
type Advisor interface {
	// Advise returns the ticket of each executor that may run the step.
	Advise(ctx context.Context, o poolplan.Advise) (tickets map[string]string, validity time.Duration, err error)
}

// Machine is one machine of the platform's list.
type Machine struct {
	Name   string       `json:"Name"`
	Pool   string       `json:"Pool"`
	State  MachineState `json:"State"`
	Zone   string       `json:"Zone"`
	Labels []string     `json:"Labels"`
	// Kind names the machines that can take each other's place.
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

// MachineOrder is an order for one machine. Holder and Fence name the process
// that gives it.
type MachineOrder struct {
	Machine string
	Holder  string
	Fence   int64
}

// Machines lists, moves and maintains machines. An order ends everything that
// runs on the machine. Errors are faults as for Records.
type Machines interface {
	ListMachines(ctx context.Context) ([]Machine, error)
	MoveMachine(ctx context.Context, o MachineOrder, pool string) error
	MaintainMachine(ctx context.Context, o MachineOrder, wave int) error
}

// JobIntake takes jobs from callers. Errors are faults: class fault.NotRun when
// the job was not recorded and will not be, fault.Unknown when it may be.
type JobIntake interface {
	// Ready reports whether jobs can be recorded and looked up now.
	Ready() bool
	Submit(ctx context.Context, q *catalog.Queue, spec *workload.Spec) error
	State(ctx context.Context, q *catalog.Queue, tenant, id string) (s workload.State, found bool, err error)
	Cancel(ctx context.Context, q *catalog.Queue, tenant, id string) (found bool, err error)
	Pending(ctx context.Context, q *catalog.Queue) (int, error)
}

// Catalogs returns the configuration in force; nil before the first was read.
type Catalogs interface {
	Catalog() *catalog.Catalog
	// Waves returns the waves that the operator has asked for.
	Waves() []MaintenanceWave
	// WatchChanges returns a ring that receives a value when the catalog or the
	// waves changed. It is called during Provision.
	WatchChanges(name string) ChangedRing
}

// ChangedRing is the part of a ring that the notified duty reads.
type ChangedRing interface{ C() <-chan struct{} }

// Tenure is the ownership of one pool.
type Tenure struct {
	Pool string
	// Term counts the owners of the pool, from one.
	Term int
	// Fence is the fencing token, higher than that of every earlier owner.
	Fence int64
	// Condition holds while no other process has taken the pool over; a
	// transaction of the pool's part that must not be an old owner's names it.
	Condition RecordCondition
	// RenewedAt is when the last confirmed renewal was sent.
	RenewedAt time.Time
	// ClaimedAt is when the claim was sent.
	ClaimedAt time.Time
	// AcquiredVersion is the version at which this process took the pool over.
	AcquiredVersion int64
	// RenewalVersion is the version of the last confirmed renewal, or of the claim.
	RenewalVersion int64
	// ReplacedVersion is the version of the owner record that the claim replaced, and
	// Silent for how long that had not changed.
	ReplacedVersion   int64
	ReplacedSilentFor time.Duration
}

// Ownership tells which pools this process owns.
type Ownership interface {
	// Tenures returns the pools that this process owns.
	Tenures() map[string]Tenure
	// ReportLost states that another process was seen to own the pool.
	ReportLost(t Tenure)
	// SilentOwner returns the version of the pool's owner record if the owner
	// has not renewed it for a while, and zero otherwise. It may be called by
	// any goroutine.
	SilentOwner(pool string) int64
	// WatchTenures returns a ring that receives a value when a pool was
	// taken over or lost. It is called during Provision.
	WatchTenures(name string) ChangedRing
}

// MachineManagementPool is the name under which the management of machines is owned. It
// cannot be the name of a service, because it starts with a tilde.
const MachineManagementPool = "~machines"
