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

// MemberListing is a read of the members' rows.
type MemberListing struct {
	Members []Identity
	// AsOf is the start of the read on this host's clock; zero before the
	// first one.
	AsOf time.Time
	// SelfInForce is set when the own row was in force before the read and
	// still is.
	SelfInForce bool
	// Lapses counts how often the own row went out of force. Others may have
	// admitted members without this host's confirmation in between.
	Lapses int
}

// PeerMembership is how the peers service and membership tell each other
// about members. It is implemented by the service NameMembership.
type PeerMembership interface {
	Listing() MemberListing
	// EndedMembers returns the members that operators stated to have ended.
	EndedMembers() []Identity
	// ReceiveConfirmation records that a member named this host in the
	// answer to a question asked at askedAt.
	ReceiveConfirmation(member Identity, askedAt time.Time)
	// UnconfirmedMembers returns the names of the members whose confirmation is
	// missing for this host to accept changes.
	UnconfirmedMembers() []string
	// ReceiveMembers replaces the members that peers know.
	ReceiveMembers(members []Identity)
	// SetDesignatedMemberReader sets whether this host reads the members' rows of all.
	SetDesignatedMemberReader(turn bool)
	// StopAcceptingChanges ends this host's right to accept changes for good.
	StopAcceptingChanges()
}
