package peers

import (
	"context"
	"slices"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

const (
	// refreshPeriod is the longest time between two updates of the freshness
	// and of the designated reader.
	refreshPeriod = 100 * time.Millisecond
	// recentContactBound is the longest time since the last contact with a
	// host of the own zone for it to be considered as the zone's reader.
	recentContactBound = 2 * time.Second
	// statusRetention is how long the last status of a host that left is kept.
	statusRetention = time.Minute
)

// viewMessage is a message to the view duty.
type viewMessage interface{ viewMessage() }

// receivedDigest is a digest sent by a peer, which waits for the reply.
type receivedDigest struct {
	digest *wirev1.Digest
	reply  *ring.Ring[*wirev1.Digest]
}

func newReceivedDigest(d *wirev1.Digest) receivedDigest {
	return receivedDigest{digest: d, reply: ring.Reply[*wirev1.Digest]()}
}

// exchangeReply is a peer's reply to a digest sent by this host.
type exchangeReply struct {
	digest  *wirev1.Digest
	askedAt time.Time
}

// nextCallRequest asks for the next exchange to make. The call in the reply has
// no address when no other host is known.
type nextCallRequest struct{ reply *ring.Ring[exchangeCall] }

// exchangeCall is an exchange to make.
type exchangeCall struct {
	address string
	digest  *wirev1.Digest
}

// departureRequest asks for the calls that announce to all peers that this host
// accepts no more changes.
type departureRequest struct{ reply *ring.Ring[[]exchangeCall] }

type setLoads struct{ loads []services.TeamLoad }
type setLeavingHosts struct{ names []string }

func (receivedDigest) viewMessage()   {}
func (exchangeReply) viewMessage()    {}
func (nextCallRequest) viewMessage()  {}
func (departureRequest) viewMessage() {}
func (setLoads) viewMessage()         {}
func (setLeavingHosts) viewMessage()  {}

// peerView is the state of the view duty and is owned by its goroutine.
type peerView struct {
	*Service
	self       services.Identity
	tracker    *freshness.Tracker
	selector   *freshness.PeerSelector
	identities map[freshness.Member]services.Identity
	status     map[freshness.Member]services.PeerStatus
	peerLoads  map[freshness.Member][]services.TeamLoad

	ownLoads     []services.TeamLoad
	leavingHosts []string

	// listedAsOf, lapses and endedMerged are the AsOf and Lapses of the last
	// merged listing and the number of merged EndedMembers.
	listedAsOf  time.Time
	lapses      int
	endedMerged int
	// departureReply is set while a departure waits for a change in doubt;
	// departed is set once none is in doubt.
	departureReply *ring.Ring[[]exchangeCall]
	departed       bool
}

func newPeerView(s *Service) *peerView {
	self := s.membership.Self()
	return &peerView{
		Service:    s,
		self:       self,
		tracker:    freshness.NewTracker(memberOf(self)),
		selector:   freshness.NewPeerSelector(s.settings.Random),
		identities: map[freshness.Member]services.Identity{},
		status:     map[freshness.Member]services.PeerStatus{},
		peerLoads:  map[freshness.Member][]services.TeamLoad{},
	}
}

func (v *peerView) run(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-v.messages.C():
			v.handle(m)
		case <-ticker.C:
			v.refresh()
		}
	}
}

func (v *peerView) handle(m viewMessage) {
	switch m := m.(type) {
	case receivedDigest:
		v.recordSender(m.digest)
		v.tracker.MergeUnsolicited(v.report(m.digest, time.Time{}), v.clock())
		v.refresh()
		m.reply.Offer(v.composeDigest())
	case exchangeReply:
		v.recordSender(m.digest)
		v.tracker.MergeReply(v.report(m.digest, m.askedAt), v.clock())
		v.forwardConfirmation(m)
		v.refresh()
	case nextCallRequest:
		m.reply.Offer(v.nextCall())
	case departureRequest:
		v.departureReply = m.reply
		v.refresh()
	case setLoads:
		v.ownLoads = m.loads
	case setLeavingHosts:
		v.leavingHosts = m.names
	}
}

// refresh merges what was read from the platform, and passes on the freshness
// and whether this host is its zone's designated reader.
func (v *peerView) refresh() {
	v.mergeMembership()
	own := v.selfReport()
	v.tracker.RecordPlatformRead(v.ownPlatformRead())
	if freshAsOf := v.tracker.UpdateFreshness(own); !freshAsOf.IsZero() {
		v.state.ReceiveFreshness(own.Revision, freshAsOf)
	}
	designated := freshness.ShouldReadHead(v.self.Name, v.recentZonePeers(own.AsOf), v.platformAge(own.AsOf))
	v.state.SetDesignatedHeadReader(designated)
	v.peerMembership.SetDesignatedMemberReader(designated)
	v.publish(own.AsOf)
	if v.departureReply != nil && !own.InDoubt {
		v.departed = true
		v.departureReply.Offer(v.departureCalls())
		v.departureReply = nil
	}
}

// mergeMembership merges the listing of member rows and the members that
// operators declared ended.
func (v *peerView) mergeMembership() {
	listing := v.peerMembership.Listing()
	if !listing.SelfInForce || listing.Lapses != v.lapses {
		v.tracker.InvalidateListing()
		v.lapses = listing.Lapses
		if !listing.SelfInForce {
			v.listedAsOf = time.Time{}
		}
	}
	if listing.SelfInForce && listing.AsOf.After(v.listedAsOf) {
		v.listedAsOf = listing.AsOf
		v.tracker.MergeListing(v.recordIdentities(listing.Members), listing.AsOf, true, v.clock())
	}
	ended := v.peerMembership.EndedMembers()
	for _, identity := range ended[v.endedMerged:] {
		v.tracker.RecordDeparture(freshness.Departure{Member: memberOf(identity)})
	}
	v.endedMerged = len(ended)
}

// recordIdentities stores identities and returns their members. An identity
// without an address, from a peer that knows only the name, does not replace
// one with an address.
func (v *peerView) recordIdentities(identities []services.Identity) []freshness.Member {
	members := make([]freshness.Member, len(identities))
	for i, identity := range identities {
		members[i] = memberOf(identity)
		if _, known := v.identities[members[i]]; !known || identity.PeerAddress != "" {
			v.identities[members[i]] = identity
		}
	}
	return members
}

// selfReport returns this host's report on itself. The clock is read first, so
// that the report is at least as new as AsOf.
func (v *peerView) selfReport() freshness.SelfReport {
	now := v.clock()
	head, inDoubt := v.state.Head()
	return freshness.SelfReport{Revision: head.Revision, InDoubt: inDoubt, AsOf: now}
}

func (v *peerView) ownPlatformRead() freshness.PlatformRead {
	revision, asOf := v.state.PlatformRead()
	return freshness.PlatformRead{Revision: revision, AsOf: asOf}
}

// recentZonePeers returns the names of the hosts of the own zone with a recent
// contact, directly or through other hosts.
func (v *peerView) recentZonePeers(now time.Time) []string {
	selfReports := v.tracker.SelfReports()
	var recent []string
	for _, m := range v.tracker.Members() {
		hasRecentContact := now.Sub(v.status[m].LastContactAt) <= recentContactBound || now.Sub(selfReports[m].AsOf) <= recentContactBound
		if v.identities[m].Zone == v.self.Zone && hasRecentContact {
			recent = append(recent, m.Name)
		}
	}
	return recent
}

// recordSender stores what a digest states about its sender.
func (v *peerView) recordSender(d *wirev1.Digest) {
	identity := identityFromWire(d.GetMember())
	m := memberOf(identity)
	v.identities[m] = identity
	v.status[m] = services.PeerStatus{Identity: identity, Revision: d.GetRevision(), LastContactAt: v.clock(), Leaving: d.GetLeaving()}
	v.peerLoads[m] = loadsFromWire(identity.Name, d.GetLoads())
	for _, host := range d.GetLeavingHosts() {
		v.hosts.ReportLeaving(host)
	}
}

func (v *peerView) report(d *wirev1.Digest, askedAt time.Time) freshness.Report {
	identities := make([]services.Identity, len(d.GetMembers()))
	for i, m := range d.GetMembers() {
		identities[i] = identityFromWire(m)
	}
	r := reportFromWire(d, askedAt)
	r.Members = v.recordIdentities(identities)
	return r
}

// forwardConfirmation tells membership if the peer listed this host as a member.
func (v *peerView) forwardConfirmation(a exchangeReply) {
	for _, m := range a.digest.GetMembers() {
		if identityFromWire(m) == v.self {
			v.peerMembership.ReceiveConfirmation(identityFromWire(a.digest.GetMember()), a.askedAt)
		}
	}
}

// nextCall chooses the next exchange. Seeds that belong to no known host count
// as hosts of another zone.
func (v *peerView) nextCall() exchangeCall {
	selfReports, unconfirmed := v.tracker.SelfReports(), v.peerMembership.UnconfirmedMembers()
	var sameZone, otherZones []freshness.Candidate
	for address, identity := range v.addresses() {
		c := freshness.Candidate{
			Address: address, ReportedAsOf: selfReports[memberOf(identity)].AsOf, MustConfirm: slices.Contains(unconfirmed, identity.Name),
		}
		if identity.Zone == v.self.Zone {
			sameZone = append(sameZone, c)
		} else {
			otherZones = append(otherZones, c)
		}
	}
	reader, urgency := v.zoneReader()
	address := v.selector.Next(v.clock(), sameZone, otherZones, reader, urgency)
	if address == "" {
		return exchangeCall{}
	}
	return exchangeCall{address: address, digest: v.composeDigest()}
}

func (v *peerView) platformAge(now time.Time) time.Duration {
	return now.Sub(v.tracker.LatestPlatformRead().AsOf)
}

// zoneReader returns the address of the zone's reader and how urgently it is to
// be asked.
func (v *peerView) zoneReader() (string, freshness.ReaderUrgency) {
	now := v.clock()
	reader, urgency := freshness.ZoneReader(v.self.Name, v.recentZonePeers(now), v.platformAge(now))
	for _, m := range v.tracker.Members() {
		if address := v.identities[m].PeerAddress; m.Name == reader && address != "" {
			return address, urgency
		}
	}
	return "", freshness.ReaderNotUrgent
}

// addresses returns the other known hosts by peer address, with an empty
// identity for a seed of which no host is known.
func (v *peerView) addresses() map[string]services.Identity {
	byAddress := make(map[string]services.Identity)
	for _, seed := range v.settings.Seeds {
		byAddress[seed] = services.Identity{}
	}
	for _, m := range v.tracker.Members() {
		if identity, ok := v.identities[m]; ok {
			byAddress[identity.PeerAddress] = identity
		}
	}
	delete(byAddress, v.self.PeerAddress)
	delete(byAddress, "")
	return byAddress
}

func (v *peerView) departureCalls() []exchangeCall {
	var calls []exchangeCall
	for address := range v.addresses() {
		calls = append(calls, exchangeCall{address: address, digest: v.composeDigest()})
	}
	return calls
}

// publish passes the known members to membership, and replaces the copies of
// status and loads that other goroutines read.
func (v *peerView) publish(now time.Time) {
	var identities []services.Identity
	known := make(map[freshness.Member]bool)
	for _, m := range v.tracker.Members() {
		known[m] = true
		if identity, ok := v.identities[m]; ok {
			identities = append(identities, identity)
		}
	}
	v.peerMembership.ReceiveMembers(identities)
	for m := range v.identities {
		if !known[m] && now.Sub(v.status[m].LastContactAt) > statusRetention {
			delete(v.identities, m)
			delete(v.status, m)
			delete(v.peerLoads, m)
		}
	}
	status := make([]services.PeerStatus, 0, len(v.status))
	for _, s := range v.status {
		status = append(status, s)
	}
	slices.SortFunc(status, func(a, b services.PeerStatus) int { return strings.Compare(a.Identity.Name, b.Identity.Name) })
	var loads []services.TeamLoad
	for _, l := range v.peerLoads {
		loads = append(loads, l...)
	}
	v.Service.status.Store(&status)
	v.loads.Store(&loads)
}

func memberOf(i services.Identity) freshness.Member {
	return freshness.Member{Name: i.Name, Incarnation: i.Incarnation}
}
