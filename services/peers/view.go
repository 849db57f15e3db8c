package peers

import (
	"context"
	"slices"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/currency"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

const (
	// refreshPeriod is the time between two reviews of proof and turn.
	refreshPeriod = 100 * time.Millisecond
	// recentlyHeardBound is how lately a host of the own zone must have been heard to
	// count when the zone's reader is chosen.
	recentlyHeardBound = 2 * time.Second
	// statusRetention is how long the report of a host that left is kept.
	statusRetention = time.Minute
)

// viewMessage is what the view duty receives.
type viewMessage interface{ viewMessage() }

// receivedDigest is a peer's digest that waits for the answer to it.
type receivedDigest struct {
	digest *wirev1.Digest
	reply  *ring.Ring[*wirev1.Digest]
}

func newReceivedDigest(d *wirev1.Digest) receivedDigest {
	return receivedDigest{digest: d, reply: ring.Reply[*wirev1.Digest]()}
}

// exchangeReply is a peer's answer to a question of this host.
type exchangeReply struct {
	digest  *wirev1.Digest
	askedAt time.Time
}

// nextCallRequest asks for the next exchange; the reply has no address when there is
// no other host.
type nextCallRequest struct{ reply *ring.Ring[exchangeCall] }

// exchangeCall is one exchange to make.
type exchangeCall struct {
	address string
	digest  *wirev1.Digest
}

// departureRequest asks for the calls that tell all peers that this host accepts no
// more changes.
type departureRequest struct{ reply *ring.Ring[[]exchangeCall] }

type setLoads struct{ loads []services.TeamLoad }
type setLeavingHosts struct{ names []string }

func (receivedDigest) viewMessage()   {}
func (exchangeReply) viewMessage()    {}
func (nextCallRequest) viewMessage()  {}
func (departureRequest) viewMessage() {}
func (setLoads) viewMessage()         {}
func (setLeavingHosts) viewMessage()  {}

// peerView is the state of the view duty.
type peerView struct {
	*Service
	self       services.Identity
	tracker    *currency.Tracker
	selector   *currency.PeerSelector
	identities map[currency.Member]services.Identity
	status     map[currency.Member]services.PeerStatus
	peerLoads  map[currency.Member][]services.TeamLoad

	ownLoads     []services.TeamLoad
	leavingHosts []string

	listedAsOf  time.Time
	lapses      int
	endedMerged int
	// departureReply waits until no change is in doubt; departed is set then.
	departureReply *ring.Ring[[]exchangeCall]
	departed       bool
}

func newPeerView(s *Service) *peerView {
	self := s.membership.Self()
	return &peerView{
		Service:    s,
		self:       self,
		tracker:    currency.NewTracker(memberOf(self)),
		selector:   currency.NewPeerSelector(s.settings.Random),
		identities: map[currency.Member]services.Identity{},
		status:     map[currency.Member]services.PeerStatus{},
		peerLoads:  map[currency.Member][]services.TeamLoad{},
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

// refresh takes in what the platform said, and hands out proof and turn.
func (v *peerView) refresh() {
	v.mergeMembership()
	own := v.ownStatement()
	v.tracker.RecordPlatformRead(v.ownPlatformRead())
	if proof := v.tracker.Prove(own); !proof.IsZero() {
		v.state.ReceiveProof(own.Revision, proof)
	}
	turn := currency.ShouldReadHead(v.self.Name, v.recentZonePeers(own.MadeAt), v.platformAge(own.MadeAt))
	v.state.SetDesignatedHeadReader(turn)
	v.peerMembership.SetDesignatedMemberReader(turn)
	v.publish(own.MadeAt)
	if v.departureReply != nil && !own.InDoubt {
		v.departed = true
		v.departureReply.Offer(v.departureCalls())
		v.departureReply = nil
	}
}

// mergeMembership merges the members' rows and the operators' statements.
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
		v.tracker.RecordDeparture(currency.Departure{Member: memberOf(identity)})
	}
	v.endedMerged = len(ended)
}

// recordIdentities keeps identities and returns their members. A peer that knows a
// member by name only does not replace its address.
func (v *peerView) recordIdentities(identities []services.Identity) []currency.Member {
	members := make([]currency.Member, len(identities))
	for i, identity := range identities {
		members[i] = memberOf(identity)
		if _, known := v.identities[members[i]]; !known || identity.PeerAddress != "" {
			v.identities[members[i]] = identity
		}
	}
	return members
}

// ownStatement is what this host says of itself. The clock is read first, so
// that the statement is at least as new as its time.
func (v *peerView) ownStatement() currency.Statement {
	now := v.clock()
	head, inDoubt := v.state.Head()
	return currency.Statement{Revision: head.Revision, InDoubt: inDoubt, MadeAt: now}
}

func (v *peerView) ownPlatformRead() currency.PlatformRead {
	revision, asOf := v.state.PlatformRead()
	return currency.PlatformRead{Revision: revision, AsOf: asOf}
}

// recentZonePeers returns the names of the hosts of the own zone that were heard lately,
// directly or by way of others.
func (v *peerView) recentZonePeers(now time.Time) []string {
	statements := v.tracker.Statements()
	var near []string
	for _, m := range v.tracker.Members() {
		heard := now.Sub(v.status[m].HeardAt) <= recentlyHeardBound || now.Sub(statements[m].MadeAt) <= recentlyHeardBound
		if v.identities[m].Zone == v.self.Zone && heard {
			near = append(near, m.Name)
		}
	}
	return near
}

// recordSender keeps a peer's report of itself.
func (v *peerView) recordSender(d *wirev1.Digest) {
	identity := identityFromWire(d.GetMember())
	m := memberOf(identity)
	v.identities[m] = identity
	v.status[m] = services.PeerStatus{Identity: identity, Revision: d.GetRevision(), HeardAt: v.clock(), Leaving: d.GetLeaving()}
	v.peerLoads[m] = loadsFromWire(identity.Name, d.GetLoads())
	for _, host := range d.GetLeavingHosts() {
		v.hosts.ReportLeaving(host)
	}
}

func (v *peerView) report(d *wirev1.Digest, askedAt time.Time) currency.Report {
	identities := make([]services.Identity, len(d.GetMembers()))
	for i, m := range d.GetMembers() {
		identities[i] = identityFromWire(m)
	}
	r := reportFromWire(d, askedAt)
	r.Members = v.recordIdentities(identities)
	return r
}

// forwardConfirmation tells membership that the peer named this host.
func (v *peerView) forwardConfirmation(a exchangeReply) {
	for _, m := range a.digest.GetMembers() {
		if identityFromWire(m) == v.self {
			v.peerMembership.ReceiveConfirmation(identityFromWire(a.digest.GetMember()), a.askedAt)
		}
	}
}

// nextCall chooses the next exchange. Seeds that belong to no known host count as
// hosts of another zone.
func (v *peerView) nextCall() exchangeCall {
	statements, unconfirmed := v.tracker.Statements(), v.peerMembership.UnconfirmedMembers()
	var near, far []currency.Candidate
	for address, identity := range v.addresses() {
		c := currency.Candidate{
			Address: address, StatedAt: statements[memberOf(identity)].MadeAt, MustConfirm: slices.Contains(unconfirmed, identity.Name),
		}
		if identity.Zone == v.self.Zone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	reader, need := v.zoneReader()
	address := v.selector.Next(v.clock(), near, far, reader, need)
	if address == "" {
		return exchangeCall{}
	}
	return exchangeCall{address: address, digest: v.composeDigest()}
}

func (v *peerView) platformAge(now time.Time) time.Duration {
	return now.Sub(v.tracker.LatestPlatformRead().AsOf)
}

// zoneReader returns the address of the zone's reader and how much it is needed.
func (v *peerView) zoneReader() (string, currency.ReaderUrgency) {
	now := v.clock()
	reader, need := currency.ZoneReader(v.self.Name, v.recentZonePeers(now), v.platformAge(now))
	for _, m := range v.tracker.Members() {
		if address := v.identities[m].PeerAddress; m.Name == reader && address != "" {
			return address, need
		}
	}
	return "", currency.ReaderNotUrgent
}

// addresses returns the known hosts by peer address, and the seeds.
func (v *peerView) addresses() map[string]services.Identity {
	all := make(map[string]services.Identity)
	for _, seed := range v.settings.Seeds {
		all[seed] = services.Identity{}
	}
	for _, m := range v.tracker.Members() {
		if identity, ok := v.identities[m]; ok {
			all[identity.PeerAddress] = identity
		}
	}
	delete(all, v.self.PeerAddress)
	delete(all, "")
	return all
}

func (v *peerView) departureCalls() []exchangeCall {
	var calls []exchangeCall
	for address := range v.addresses() {
		calls = append(calls, exchangeCall{address: address, digest: v.composeDigest()})
	}
	return calls
}

// publish hands the known members to membership, and replaces the copies that
// other goroutines read.
func (v *peerView) publish(now time.Time) {
	var identities []services.Identity
	known := make(map[currency.Member]bool)
	for _, m := range v.tracker.Members() {
		known[m] = true
		if identity, ok := v.identities[m]; ok {
			identities = append(identities, identity)
		}
	}
	v.peerMembership.ReceiveMembers(identities)
	for m := range v.identities {
		if !known[m] && now.Sub(v.status[m].HeardAt) > statusRetention {
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

func memberOf(i services.Identity) currency.Member {
	return currency.Member{Name: i.Name, Incarnation: i.Incarnation}
}
