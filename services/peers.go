package services

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/revision"
)

// PeerStatus is what this host last heard of another entry host.
type PeerStatus struct {
	Identity Identity
	Revision uint64
	// HeardAt is on this host's clock; zero when never heard.
	HeardAt time.Time
	Leaving bool
}

// TeamLoad is one team's load on one entry host.
type TeamLoad struct {
	Host    string
	Team    string
	Running int
	Waiting int
	// UnmetRights are rights wanted beyond those held.
	UnmetRights int
}

// Peers exchanges digests and state with the other entry hosts.
type Peers interface {
	// Push sends newly accepted parts to all peers, without waiting.
	Push(head revision.Head, parts []revision.Part)
	// Status returns the last report of each peer.
	Status() []PeerStatus
	// Loads returns the last reported load of every peer.
	Loads() []TeamLoad
	// SetLoads sets the load that this host reports.
	SetLoads(loads []TeamLoad)
	// SetLeavingHosts sets the hosts that this host saw leaving.
	SetLeavingHosts(names []string)
	// Confirm asks one member to confirm that it knows this one.
	Confirm(ctx context.Context, member Identity) error
}

// Clock is the source of time for services; tests pass a virtual one.
type Clock func() time.Time
