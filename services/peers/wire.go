package peers

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// unknownAge is sent as the age of a time that is not known.
const unknownAge = -1

// ageMs returns the time from since to now in milliseconds, rounded up: the
// receiver would take an age that is too small as evidence of a later time.
func ageMs(now, since time.Time) int64 {
	if since.IsZero() {
		return unknownAge
	}
	return int64((now.Sub(since) + time.Millisecond - 1) / time.Millisecond)
}

// asOf is the inverse of ageMs for the reply to a request sent at askedAt; zero
// if the age or askedAt is unknown.
func asOf(askedAt time.Time, ms int64) time.Time {
	if ms < 0 || askedAt.IsZero() {
		return time.Time{}
	}
	return askedAt.Add(-time.Duration(ms) * time.Millisecond)
}

// composeDigest returns the digest that this host sends now.
func (v *peerView) composeDigest() *wirev1.Digest {
	own := v.selfReport()
	now := v.clock()
	read := v.tracker.LatestPlatformRead()
	d := &wirev1.Digest{
		Member:           identityToWire(v.self),
		Revision:         own.Revision,
		ChangeInDoubt:    own.InDoubt,
		Leaving:          v.departed,
		LeavingHosts:     v.leavingHosts,
		PlatformRevision: read.Revision,
		PlatformAgeMs:    ageMs(now, read.AsOf),
		MembersAgeMs:     ageMs(now, v.tracker.MembersAsOf(own.AsOf)),
	}
	for _, l := range v.ownLoads {
		d.Loads = append(d.Loads, &wirev1.TeamLoad{Team: l.Team, Running: int32(l.Running), Waiting: int32(l.Waiting), UnmetRights: int32(l.UnmetRights)})
	}
	if !v.departed {
		d.Members = append(d.Members, d.Member)
	}
	v.addOtherMembers(d, now)
	return d
}

func (v *peerView) addOtherMembers(d *wirev1.Digest, now time.Time) {
	for _, m := range v.tracker.Members() {
		identity, ok := v.identities[m]
		if !ok {
			identity = services.Identity{Name: m.Name, Incarnation: m.Incarnation}
		}
		d.Members = append(d.Members, identityToWire(identity))
	}
	for m, s := range v.tracker.SelfReports() {
		d.Statements = append(d.Statements, &wirev1.Statement{
			Member: m.Name, Incarnation: m.Incarnation, Revision: s.Revision, ChangeInDoubt: s.InDoubt, AgeMs: ageMs(now, s.AsOf),
		})
	}
	for _, departure := range v.tracker.Departures() {
		d.Statements = append(d.Statements, &wirev1.Statement{
			Member: departure.Member.Name, Incarnation: departure.Member.Incarnation, Revision: departure.Revision, Leaving: true,
		})
	}
}

// reportFromWire converts the part of a digest that concerns freshness, except
// for its members. askedAt is zero for a digest that this host did not request.
func reportFromWire(d *wirev1.Digest, askedAt time.Time) freshness.Report {
	from := memberOf(identityFromWire(d.GetMember()))
	r := freshness.Report{
		From:        from,
		MembersAsOf: asOf(askedAt, d.GetMembersAgeMs()),
		SelfReports: map[freshness.Member]freshness.SelfReport{},
		Platform:    freshness.PlatformRead{Revision: d.GetPlatformRevision(), AsOf: asOf(askedAt, d.GetPlatformAgeMs())},
	}
	for _, s := range d.GetStatements() {
		m := freshness.Member{Name: s.GetMember(), Incarnation: s.GetIncarnation()}
		if s.GetLeaving() {
			r.Departures = append(r.Departures, freshness.Departure{Member: m, Revision: s.GetRevision()})
			continue
		}
		r.SelfReports[m] = freshness.SelfReport{Revision: s.GetRevision(), InDoubt: s.GetChangeInDoubt(), AsOf: asOf(askedAt, s.GetAgeMs())}
	}
	r.SelfReports[from] = freshness.SelfReport{Revision: d.GetRevision(), InDoubt: d.GetChangeInDoubt(), AsOf: askedAt}
	if d.GetLeaving() {
		r.Departures = append(r.Departures, freshness.Departure{Member: from, Revision: d.GetRevision()})
	}
	return r
}

func identityToWire(i services.Identity) *wirev1.Member {
	return &wirev1.Member{Name: i.Name, Zone: string(i.Zone), Incarnation: i.Incarnation, PeerAddress: i.PeerAddress}
}

func identityFromWire(m *wirev1.Member) services.Identity {
	return services.Identity{
		Name: m.GetName(), Zone: fleet.AvailabilityZone(m.GetZone()), Incarnation: m.GetIncarnation(), PeerAddress: m.GetPeerAddress(),
	}
}

func loadsFromWire(host string, in []*wirev1.TeamLoad) []services.TeamLoad {
	loads := make([]services.TeamLoad, len(in))
	for i, l := range in {
		loads[i] = services.TeamLoad{Host: host, Team: l.GetTeam(), Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), UnmetRights: int(l.GetUnmetRights())}
	}
	return loads
}

func headToWire(h revision.Head) *wirev1.StateHead {
	return &wirev1.StateHead{Revision: h.Revision, Parts: h.Parts}
}

func headFromWire(h *wirev1.StateHead) revision.Head {
	return revision.Head{Revision: h.GetRevision(), Parts: h.GetParts()}
}

func partToWire(p revision.Part) *wirev1.StatePart {
	out := &wirev1.StatePart{Name: p.Name, Revision: p.Revision, Data: p.Data}
	for _, c := range p.Changes {
		out.Changes = append(out.Changes, &wirev1.AppliedChange{ChangeId: c.ChangeID, Revision: c.Revision})
	}
	return out
}

func partsFromWire(in []*wirev1.StatePart) []revision.Part {
	parts := make([]revision.Part, len(in))
	for i, p := range in {
		parts[i] = revision.Part{Name: p.GetName(), Revision: p.GetRevision(), Data: p.GetData()}
		for _, c := range p.GetChanges() {
			parts[i].Changes = append(parts[i].Changes, revision.AppliedChange{ChangeID: c.GetChangeId(), Revision: c.GetRevision()})
		}
	}
	return parts
}
