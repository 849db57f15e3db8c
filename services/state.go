package services

import (
	"context"
	"fmt"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/ring"
)

// Names of the parts of the shared state.
const (
	PartSectionPrefix = "section/"
	PartHostsPrefix   = "hosts/"
	PartLedger        = "ledger"
	// PartDocument is written together with every section. It serializes the
	// changes of the document, so that two changes of different sections, each
	// valid on its own, cannot together result in an invalid document.
	PartDocument = "document"
	// HostBuckets is the number of parts that hold host assignments. With
	// 4,900 hosts a bucket holds about 77 of them, so a move rewrites 4 KB.
	HostBuckets = budget.Buckets
)

// HostsPart returns the name of the part that holds the assignment of host. The
// part's data is a budget.Assignments encoded as JSON.
func HostsPart(host string) string {
	return fmt.Sprintf("%s%02d", PartHostsPrefix, budget.Bucket(host))
}

// View is the decoded shared state at one revision. It is immutable; readers must
// not modify its fields.
type View struct {
	Revision    uint64
	State       *revision.State
	Document    *document.Document
	Assignments budget.Assignments
	Ledger      *budget.Ledger
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Revision uint64
	Repeated bool
}

// State is this host's replica of the shared state.
type State interface {
	// View returns the newest applied view, or nil before the first one.
	View() *View
	// Watch returns a ring that receives each newer view. If the reader is
	// slow, only the newest views are kept. It must be called during Provision.
	Watch(name string) *ring.Ring[*View]
	// Change commits c and applies it to this replica. A conflict is a fault of
	// class fault.NotRun with fault.ReasonConflict. A commit whose outcome is
	// not known is a fault of class fault.Unknown, and c may be submitted again.
	Change(ctx context.Context, c revision.Change) (ChangeResult, error)
	// FreshAsOf returns the latest time on this host's clock as of which the
	// replica is known to be fresh; zero if there is none.
	FreshAsOf() time.Time
}

// PeerState is the interface through which the peers service replicates state
// between entry hosts. It is implemented by the service NameState.
type PeerState interface {
	// Head returns the head of the applied state and whether the outcome of a
	// change that this host sent is unknown.
	Head() (head revision.Head, inDoubt bool)
	// Replica returns the applied state, or nil before the first one.
	Replica() *revision.State
	// OwnRevision returns the revision of the latest change that this host
	// committed, or zero if there was none.
	OwnRevision() uint64
	// ReceiveParts passes on a newer head and parts received from a peer.
	ReceiveParts(head revision.Head, parts []revision.Part)
	// ReceiveFreshness passes on a time as of which no change above revision
	// had been acknowledged.
	ReceiveFreshness(revision uint64, asOf time.Time)
	// PlatformRead returns the revision that this host last read from the head at
	// the platform and when that read started; zero if there was none.
	PlatformRead() (revision uint64, asOf time.Time)
	// SetDesignatedHeadReader sets whether this host is the one in its zone that
	// reads the head from the platform.
	SetDesignatedHeadReader(designated bool)
}
