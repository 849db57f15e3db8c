package services

import "time"

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
	// Status returns the last report of each peer.
	Status() []PeerStatus
	// Loads returns the last reported load of every peer.
	Loads() []TeamLoad
	// SetLoads sets the load that this host reports.
	SetLoads(loads []TeamLoad)
	// SetLeavingHosts sets the hosts that this host saw leaving.
	SetLeavingHosts(names []string)
}

// Clock is the source of time for services; tests pass a virtual one.
type Clock func() time.Time
