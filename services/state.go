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
	// PartDocument is written together with every section. It orders the
	// changes of the document, so that two changes of different sections,
	// each valid by itself, cannot result in an invalid document.
	PartDocument = "document"
	// HostBuckets is the number of parts that hold host assignments. At
	// 4,900 hosts a bucket holds about 77, so that a move rewrites 4 KB.
	HostBuckets = budget.Buckets
)

// HostsPart returns the name of the part that holds host's assignment. Its
// data is the JSON of a budget.Assignments.
func HostsPart(host string) string {
	return fmt.Sprintf("%s%02d", PartHostsPrefix, budget.Bucket(host))
}

// View is the decoded, immutable shared state at one revision. Fields must not
// be modified by readers.
type View struct {
	Revision    uint64
	State       *revision.State
	Document    *document.Document
	Assignments budget.Assignments
	Ledger      *budget.Ledger
}

// ChangeResult tells what became of a change.
type ChangeResult struct {
	Revision uint64
	Repeated bool
}

// State is the replica of the shared state.
type State interface {
	// View returns the newest applied view; nil before the first one.
	View() *View
	// Watch returns a ring that receives each newer view; when the reader
	// is slow only the newest ones remain. It is called during Provision.
	Watch(name string) *ring.Ring[*View]
	// Change commits c and applies it here. A conflict is a fault of class
	// fault.NotRun with fault.ReasonConflict; a commit whose outcome is not
	// known is of class fault.Unknown, and c may be submitted again.
	Change(ctx context.Context, c revision.Change) (ChangeResult, error)
	// CurrentAsOf returns the latest time on this host's clock as of which
	// the replica is proved current; zero when it never was.
	CurrentAsOf() time.Time
}

// PeerState is how the peers service hands state between entry hosts. It is
// implemented by the service NameState.
type PeerState interface {
	// Head returns the head of the applied state and whether a change of
	// this host is in doubt.
	Head() (head revision.Head, inDoubt bool)
	// Replica returns the applied state; nil before the first one.
	Replica() *revision.State
	// OwnRevision returns the revision of the latest change that this host
	// committed; zero when there was none.
	OwnRevision() uint64
	// ReceiveParts offers a newer head and parts that came from a peer.
	ReceiveParts(head revision.Head, parts []revision.Part)
	// ReceiveProof offers a time as of which no change above revision had
	// been acknowledged.
	ReceiveProof(revision uint64, asOf time.Time)
	// PlatformRead returns the revision of the latest read of the head by
	// this host and the start of that read; zero when there was none.
	PlatformRead() (revision uint64, asOf time.Time)
	// SetDesignatedHeadReader sets whether this host reads the head in this zone.
	SetDesignatedHeadReader(turn bool)
}
