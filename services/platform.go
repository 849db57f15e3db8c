package services

import (
	"context"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Row is one row of the table service. A row that does not exist has version
// zero.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires that a row has a version; version zero requires that the
// row does not exist.
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

// Transaction takes effect atomically if every condition holds, and otherwise has
// no effect.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// CommitResult is the outcome of a transaction.
type CommitResult struct {
	Committed bool
	// Version is the new version of all written rows.
	Version uint64
	// Current holds the present state of the rows whose condition failed.
	Current []Row
}

// Table is the platform's table service. All methods block until the answer
// arrives or ctx is done, and may be called concurrently.
//
// Errors are faults, of class fault.NotRun when the call had no effect and of
// class fault.Unknown when a Commit may have taken effect.
type Table interface {
	// Get returns one row for each key, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after, in key order, and reports whether there are more.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, more bool, err error)
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
}

// Objects is the platform's object store. PutObject is idempotent by name.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object; found is false if it does not exist.
	GetObject(ctx context.Context, name string) (data []byte, found bool, err error)
}

// HostLister reads the platform's host list, which lags behind the actual state.
type HostLister interface {
	ListHosts(ctx context.Context) ([]fleet.Host, error)
}

// HostOperations are the platform's operations on one host. All are
// idempotent, block until the answer arrives or ctx is done, and may be called
// concurrently. Errors are faults as for Table.
type HostOperations interface {
	// DrainHost marks the host as leaving; its running work continues.
	DrainHost(ctx context.Context, host string) error
	// RebootHost restarts a drained host. It is refused with class
	// fault.NotRun while the host is live or still runs work.
	RebootHost(ctx context.Context, host string) error
	// ReturnHost marks the host as live again.
	ReturnHost(ctx context.Context, host string) error
}

// Platform is the interface of the service NamePlatform, except for
// HostOperations, which is looked up separately.
type Platform interface {
	Table
	Objects
	HostLister
}

// DesignatedHostReader is implemented by the service NameHosts. While it is the
// designated reader, an entry host reads the host list once a second; otherwise
// only when its copy is 5 s old. If every entry host of a zone becomes the
// designated reader within 5 s, for a second or more at a time, the whole zone
// reads the list once a second.
type DesignatedHostReader interface {
	SetDesignatedHostReader(designated bool)
}

// Hosts is the service that keeps the latest copy of the host list.
type Hosts interface {
	// Hosts returns the latest copy. Its AsOf is zero before the first read.
	Hosts() *fleet.HostList
	// ReportLeaving records that a host is leaving before the list shows it, as
	// stated in the host's own reply or by a peer.
	ReportLeaving(host string)
}
