package services

import "time"

// PeerStatus is the last status that this host received from another entry host.
type PeerStatus struct {
	Identity Identity
	Revision uint64
	// LastContactAt is the time of the last message from the host, on this
	// host's clock; zero if nothing was received yet.
	LastContactAt time.Time
	Leaving       bool
}

// TeamLoad is the load of one team on one entry host.
type TeamLoad struct {
	Host    string
	Team    string
	Running int
	Waiting int
	// UnmetRights is the number of rights needed beyond those held.
	UnmetRights int
}

// Peers exchanges digests and state with the other entry hosts.
type Peers interface {
	// Status returns the last status of each peer.
	Status() []PeerStatus
	// Loads returns the last reported loads of all peers.
	Loads() []TeamLoad
	// SetLoads sets the loads that this host reports.
	SetLoads(loads []TeamLoad)
	// SetLeavingHosts sets the hosts that this host has seen leaving.
	SetLeavingHosts(names []string)
}

// Clock is the source of time for services; tests pass a virtual clock.
type Clock func() time.Time

// MemberListing is the result of one read of all member rows.
type MemberListing struct {
	Members []Identity
	// AsOf is the time on this host's clock at which the read started; zero
	// before the first read.
	AsOf time.Time
	// SelfInForce is true when this host's own row was in force before the
	// read and still is.
	SelfInForce bool
	// Lapses counts how often this host's own row went out of force. During a
	// lapse others may have admitted members without this host's confirmation.
	Lapses int
}

// PeerMembership is the interface through which the peers and membership services
// exchange what they know of members. It is implemented by the service
// NameMembership.
type PeerMembership interface {
	Listing() MemberListing
	// EndedMembers returns the members that operators have declared ended.
	EndedMembers() []Identity
	// ReceiveConfirmation records that a member listed this host as a member
	// in its answer to an exchange that was sent at askedAt.
	ReceiveConfirmation(member Identity, askedAt time.Time)
	// UnconfirmedMembers returns the names of the members that have yet to
	// confirm this host before it may accept changes.
	UnconfirmedMembers() []string
	// ReceiveMembers replaces the set of members that peers know of.
	ReceiveMembers(members []Identity)
	// SetDesignatedMemberReader sets whether this host is the one that reads the
	// rows of all members.
	SetDesignatedMemberReader(designated bool)
	// StopAcceptingChanges permanently ends this host's right to accept changes.
	StopAcceptingChanges()
}
