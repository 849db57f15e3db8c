package services

import (
	"context"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Row is one row of the table service. Version zero means that the row does
// not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires a row to have a version; zero requires that it does not
// exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction takes effect as a whole when every condition holds, and not at
// all otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// CommitResult tells what became of a transaction.
type CommitResult struct {
	Committed bool
	// Version is the version that all written rows got.
	Version uint64
	// Current holds the rows whose condition failed, as they are.
	Current []Row
}

// Table is the platform's table service. All methods block until the answer
// is there or ctx ends and may be used concurrently.
//
// Errors are faults: class fault.NotRun when the call had no effect, class
// fault.Unknown when a Commit may have taken effect.
type Table interface {
	// Get returns one row for each key, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after, in key order, and whether there are more.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, more bool, err error)
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
}

// Objects is the platform's object store. PutObject is idempotent by name.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object; found is false when there is none.
	GetObject(ctx context.Context, name string) (data []byte, found bool, err error)
}

// HostLister reads the platform's lagging host list.
type HostLister interface {
	ListHosts(ctx context.Context) ([]fleet.Host, error)
}

// HostOperations are the platform's operations on one host. All are
// idempotent, block until the answer is there or ctx ends, and may be used
// concurrently. Errors are faults as for Table.
type HostOperations interface {
	// DrainHost marks the host as leaving; its running work goes on.
	DrainHost(ctx context.Context, host string) error
	// RebootHost restarts a drained host. It is refused with class
	// fault.NotRun while the host is live or its work goes on.
	RebootHost(ctx context.Context, host string) error
	// ReturnHost marks the host as live again.
	ReturnHost(ctx context.Context, host string) error
}

// Platform is what the service NamePlatform offers besides HostOperations,
// which is looked up by itself.
type Platform interface {
	Table
	Objects
	HostLister
}

// DesignatedHostReader is implemented by the service NameHosts. While it is its turn an
// entry host reads the host list once a second, at other times only when its
// copy is 5 s old. A zone in which turns pass to each entry host within 5 s, a
// second or more at a time, reads the list once a second in all.
type DesignatedHostReader interface {
	SetDesignatedHostReader(turn bool)
}

// Hosts is the service that keeps the latest copy of the host list.
type Hosts interface {
	// Hosts returns the latest copy; AsOf is zero before the first read.
	Hosts() *fleet.HostList
	// ReportLeaving records that a host was seen leaving ahead of the list,
	// by its own reply or by a peer.
	ReportLeaving(host string)
}
