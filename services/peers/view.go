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
	// reviewPeriod is the time between two reviews of proof and turn.
	reviewPeriod = 100 * time.Millisecond
	// nearBound is how lately a host of the own zone must have been heard to
	// count when the zone's reader is chosen.
	nearBound = 2 * time.Second
	// statusKept is how long the report of a host that left is kept.
	statusKept = time.Minute
)

// viewMessage is what the view duty receives.
type viewMessage interface{ viewMessage() }

// question is a peer's digest that waits for the answer to it.
type question struct {
	digest *wirev1.Digest
	reply  *ring.Ring[*wirev1.Digest]
}

func newQuestion(d *wirev1.Digest) question {
	return question{digest: d, reply: ring.Reply[*wirev1.Digest]()}
}

// answered is a peer's answer to a question of this host.
type answered struct {
	digest  *wirev1.Digest
	askedAt time.Time
}

// nextCall asks for the next exchange; the reply has no address when there is
// no other host.
type nextCall struct{ reply *ring.Ring[call] }

// call is one exchange to make.
type call struct {
	address string
	digest  *wirev1.Digest
}

// depart asks for the calls that tell all peers that this host accepts no
// more changes.
type depart struct{ reply *ring.Ring[[]call] }

type setLoads struct{ loads []services.TeamLoad }
type setLeavingHosts struct{ names []string }

func (question) viewMessage()        {}
func (answered) viewMessage()        {}
func (nextCall) viewMessage()        {}
func (depart) viewMessage()          {}
func (setLoads) viewMessage()        {}
func (setLeavingHosts) viewMessage() {}

// viewer is the state of the view duty.
type viewer struct {
	*Service
	self       services.Identity
	know       *currency.Tracker
	order      *currency.PeerSelector
	identities map[currency.Member]services.Identity
	status     map[currency.Member]services.PeerStatus
	peerLoads  map[currency.Member][]services.TeamLoad

	ownLoads     []services.TeamLoad
	leavingHosts []string

	listedAt time.Time
	term     int
	ended    int
	// departing waits until no change is in doubt; departed is set then.
	departing *ring.Ring[[]call]
	departed  bool
}

func newViewer(s *Service) *viewer {
	self := s.membership.Self()
	return &viewer{
		Service:    s,
		self:       self,
		know:       currency.NewTracker(memberOf(self)),
		order:      currency.NewPeerSelector(s.settings.Random),
		identities: map[currency.Member]services.Identity{},
		status:     map[currency.Member]services.PeerStatus{},
		peerLoads:  map[currency.Member][]services.TeamLoad{},
	}
}

func (v *viewer) run(ctx context.Context) {
	ticker := time.NewTicker(reviewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-v.view.C():
			v.handle(m)
		case <-ticker.C:
			v.review()
		}
	}
}

func (v *viewer) handle(m viewMessage) {
	switch m := m.(type) {
	case question:
		v.hear(m.digest)
		v.know.MergeUnsolicited(v.report(m.digest, time.Time{}), v.clock())
		v.review()
		m.reply.Offer(v.compose())
	case answered:
		v.hear(m.digest)
		v.know.MergeReply(v.report(m.digest, m.askedAt), v.clock())
		v.confirm(m)
		v.review()
	case nextCall:
		m.reply.Offer(v.next())
	case depart:
		v.departing = m.reply
		v.review()
	case setLoads:
		v.ownLoads = m.loads
	case setLeavingHosts:
		v.leavingHosts = m.names
	}
}

// review takes in what the platform said, and hands out proof and turn.
func (v *viewer) review() {
	v.takeMembership()
	own := v.statement()
	v.know.RecordPlatformRead(v.platformRead())
	if proof := v.know.Prove(own); !proof.IsZero() {
		v.state.ReceiveProof(own.Revision, proof)
	}
	turn := currency.ShouldReadHead(v.self.Name, v.near(own.MadeAt), v.platformAge(own.MadeAt))
	v.state.SetDesignatedHeadReader(turn)
	v.members.SetDesignatedMemberReader(turn)
	v.publish(own.MadeAt)
	if v.departing != nil && !own.InDoubt {
		v.departed = true
		v.departing.Offer(v.callAll())
		v.departing = nil
	}
}

// takeMembership merges the members' rows and the operators' statements.
func (v *viewer) takeMembership() {
	listing := v.members.Listing()
	if !listing.SelfInForce || listing.Lapses != v.term {
		v.know.InvalidateListing()
		v.term = listing.Lapses
		if !listing.SelfInForce {
			v.listedAt = time.Time{}
		}
	}
	if listing.SelfInForce && listing.AsOf.After(v.listedAt) {
		v.listedAt = listing.AsOf
		v.know.MergeListing(v.remember(listing.Members), listing.AsOf, true, v.clock())
	}
	ended := v.members.EndedMembers()
	for _, identity := range ended[v.ended:] {
		v.know.RecordDeparture(currency.Departure{Member: memberOf(identity)})
	}
	v.ended = len(ended)
}

// remember keeps identities and returns their members. A peer that knows a
// member by name only does not replace its address.
func (v *viewer) remember(identities []services.Identity) []currency.Member {
	members := make([]currency.Member, len(identities))
	for i, identity := range identities {
		members[i] = memberOf(identity)
		if _, known := v.identities[members[i]]; !known || identity.PeerAddress != "" {
			v.identities[members[i]] = identity
		}
	}
	return members
}

// statement is what this host says of itself. The clock is read first, so
// that the statement is at least as new as its time.
func (v *viewer) statement() currency.Statement {
	now := v.clock()
	head, inDoubt := v.state.Head()
	return currency.Statement{Revision: head.Revision, InDoubt: inDoubt, MadeAt: now}
}

func (v *viewer) platformRead() currency.PlatformRead {
	revision, asOf := v.state.PlatformRead()
	return currency.PlatformRead{Revision: revision, AsOf: asOf}
}

// near returns the names of the hosts of the own zone that were heard lately,
// directly or by way of others.
func (v *viewer) near(now time.Time) []string {
	statements := v.know.Statements()
	var near []string
	for _, m := range v.know.Members() {
		heard := now.Sub(v.status[m].HeardAt) <= nearBound || now.Sub(statements[m].MadeAt) <= nearBound
		if v.identities[m].Zone == v.self.Zone && heard {
			near = append(near, m.Name)
		}
	}
	return near
}

// hear keeps a peer's report of itself.
func (v *viewer) hear(d *wirev1.Digest) {
	identity := identityFromWire(d.GetMember())
	m := memberOf(identity)
	v.identities[m] = identity
	v.status[m] = services.PeerStatus{Identity: identity, Revision: d.GetRevision(), HeardAt: v.clock(), Leaving: d.GetLeaving()}
	v.peerLoads[m] = loadsFromWire(identity.Name, d.GetLoads())
	for _, host := range d.GetLeavingHosts() {
		v.hosts.ReportLeaving(host)
	}
}

func (v *viewer) report(d *wirev1.Digest, askedAt time.Time) currency.Report {
	identities := make([]services.Identity, len(d.GetMembers()))
	for i, m := range d.GetMembers() {
		identities[i] = identityFromWire(m)
	}
	r := reportFromWire(d, askedAt)
	r.Members = v.remember(identities)
	return r
}

// confirm tells membership that the peer named this host.
func (v *viewer) confirm(a answered) {
	for _, m := range a.digest.GetMembers() {
		if identityFromWire(m) == v.self {
			v.members.ReceiveConfirmation(identityFromWire(a.digest.GetMember()), a.askedAt)
		}
	}
}

// next chooses the next exchange. Seeds that belong to no known host count as
// hosts of another zone.
func (v *viewer) next() call {
	statements, unconfirmed := v.know.Statements(), v.members.UnconfirmedMembers()
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
	reader, need := v.reader()
	address := v.order.Next(v.clock(), near, far, reader, need)
	if address == "" {
		return call{}
	}
	return call{address: address, digest: v.compose()}
}

func (v *viewer) platformAge(now time.Time) time.Duration {
	return now.Sub(v.know.LatestPlatformRead().AsOf)
}

// reader returns the address of the zone's reader and how much it is needed.
func (v *viewer) reader() (string, currency.ReaderUrgency) {
	now := v.clock()
	reader, need := currency.ZoneReader(v.self.Name, v.near(now), v.platformAge(now))
	for _, m := range v.know.Members() {
		if address := v.identities[m].PeerAddress; m.Name == reader && address != "" {
			return address, need
		}
	}
	return "", currency.ReaderNotUrgent
}

// addresses returns the known hosts by peer address, and the seeds.
func (v *viewer) addresses() map[string]services.Identity {
	all := make(map[string]services.Identity)
	for _, seed := range v.settings.Seeds {
		all[seed] = services.Identity{}
	}
	for _, m := range v.know.Members() {
		if identity, ok := v.identities[m]; ok {
			all[identity.PeerAddress] = identity
		}
	}
	delete(all, v.self.PeerAddress)
	delete(all, "")
	return all
}

func (v *viewer) callAll() []call {
	var calls []call
	for address := range v.addresses() {
		calls = append(calls, call{address: address, digest: v.compose()})
	}
	return calls
}

// publish hands the known members to membership, and replaces the copies that
// other goroutines read.
func (v *viewer) publish(now time.Time) {
	var identities []services.Identity
	known := make(map[currency.Member]bool)
	for _, m := range v.know.Members() {
		known[m] = true
		if identity, ok := v.identities[m]; ok {
			identities = append(identities, identity)
		}
	}
	v.members.ReceiveMembers(identities)
	for m := range v.identities {
		if !known[m] && now.Sub(v.status[m].HeardAt) > statusKept {
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
