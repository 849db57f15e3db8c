// Package membership renews this entry host's member row at the platform, and
// decides whether this process may use rights and accept changes.
package membership

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	renewPeriod = 10 * time.Second
	// retryInterval is the time between two attempts while the row is not
	// confirmed.
	retryInterval = time.Second
	// tickPeriod is the time between two ticks of this process; a gap of more
	// than maxTickGap between them means that the process was paused.
	tickPeriod          = 200 * time.Millisecond
	maxTickGap          = time.Second
	messageRingCapacity = 16
)

// Settings of the service.
type Settings struct {
	// HoldTerm is how long after the start of the last confirmed renewal
	// this process may use rights and accept changes.
	HoldTerm time.Duration
}

// Service implements services.Membership, services.PeerMembership and
// services.MemberEnder.
type Service struct {
	self     services.Identity
	settings Settings
	clock    services.Clock
	log      zerolog.Logger
	table    services.Table
	metrics  services.Metrics
	messages *ring.Ring[message]

	// The renew duty publishes these; other goroutines only read them.
	lease        atomic.Pointer[lease]
	listing      atomic.Pointer[services.MemberListing]
	peerMembers  atomic.Pointer[[]services.Identity]
	endedMembers atomic.Pointer[[]services.Identity]

	lastTick atomic.Pointer[time.Time]
	// pauseDetectedAt is the time at which a pause was detected; nil if the
	// row has been confirmed since.
	pauseDetectedAt    atomic.Pointer[time.Time]
	changesStopped     atomic.Bool
	isDesignatedReader atomic.Bool
}

// lease is the state of this process's membership as of the last renewal.
type lease struct {
	// confirmedAt is the start of the last confirmed renewal; zero before
	// the first one.
	confirmedAt time.Time
	// superseded is set permanently once the row belongs to a later process
	// or was removed by an operator.
	superseded bool
	admitted   bool
	// unconfirmed are the names of members whose confirmation is missing.
	unconfirmed []string
	// lapses counts how often the hold term ended before a renewal.
	lapses int
}

// New returns the service for the entry host self. clock must be monotonic.
func New(self services.Identity, settings Settings, clock services.Clock) *Service {
	s := &Service{self: self, settings: settings, clock: clock}
	s.lease.Store(&lease{})
	s.listing.Store(&services.MemberListing{})
	s.endedMembers.Store(&[]services.Identity{})
	s.isDesignatedReader.Store(true)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.table, err = kernel.Lookup[services.Table](c, services.NamePlatform); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil {
		return err
	}
	s.messages = ring.New[message]("membership", messageRingCapacity, c.Scope)
	c.AddDuty("membership.tick", s.runTick)
	c.AddDuty("membership.renew", func(ctx context.Context) { newRenewer(s).run(ctx) })
	return nil
}

// Drain deletes this host's own row. Services that depend on this one have
// ended their work by then.
func (s *Service) Drain(ctx context.Context) error {
	s.StopAcceptingChanges()
	done := ring.Reply[error]()
	if err := s.messages.Put(ctx, leave{done}); err != nil {
		return err
	}
	failed, err := done.Take(ctx)
	if err != nil {
		return err
	}
	return failed
}

// runTick records a tick every tickPeriod, so that a pause of the process can be
// detected.
func (s *Service) runTick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		s.tick(s.clock())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) tick(now time.Time) {
	if s.pausedSinceLastTick(now) {
		s.pauseDetectedAt.Store(&now)
		s.log.Warn().Msg("the process was paused; it uses no rights until its member row is confirmed")
		s.messages.Offer(renewNow{})
	}
	s.lastTick.Store(&now)
}

// pausedSinceLastTick reports whether more than maxTickGap has passed since the
// last tick.
func (s *Service) pausedSinceLastTick(now time.Time) bool {
	last := s.lastTick.Load()
	return last != nil && now.Sub(*last) > maxTickGap
}

// Self implements services.Membership.
func (s *Service) Self() services.Identity { return s.self }

// CheckMayUseRights implements services.Membership.
func (s *Service) CheckMayUseRights(now time.Time) error {
	const step = "check member row"
	l := s.lease.Load()
	switch {
	case l.superseded:
		return fault.New(&fault.NotRun, fault.ReasonMemberSuperseded, step, s.self.Name, "the member row belongs to a later process or was removed")
	case l.confirmedAt.IsZero():
		return fault.New(&fault.NotRun, fault.ReasonMemberUnconfirmed, step, s.self.Name, "the member row has not been confirmed yet")
	case now.Sub(l.confirmedAt) >= s.settings.HoldTerm:
		return fault.New(&fault.NotRun, fault.ReasonHoldTermOver, step, s.self.Name, "the member row has not been confirmed for the hold term of %v", s.settings.HoldTerm)
	case s.pauseDetectedAt.Load() != nil || s.pausedSinceLastTick(now):
		return fault.New(&fault.NotRun, fault.ReasonPaused, step, s.self.Name, "the process was paused and has not confirmed its member row")
	}
	return nil
}

// CheckMayAcceptChanges implements services.Membership.
func (s *Service) CheckMayAcceptChanges() error {
	if s.changesStopped.Load() {
		return fault.New(&fault.NotRun, fault.ReasonDraining, "accept change", s.self.Name, "this host is stopping")
	}
	if err := s.CheckMayUseRights(s.clock()); err != nil {
		return err
	}
	if l := s.lease.Load(); !l.admitted {
		return fault.New(&fault.NotRun, fault.ReasonMemberUnconfirmed, "accept change", s.self.Name, "members have not confirmed this host yet: %s", strings.Join(l.unconfirmed, ", "))
	}
	return nil
}

// Members implements services.Membership.
func (s *Service) Members() []services.Identity {
	if m := s.peerMembers.Load(); m != nil {
		return *m
	}
	return s.listing.Load().Members
}

// Listing implements services.PeerMembership.
func (s *Service) Listing() services.MemberListing {
	l, listing := s.lease.Load(), *s.listing.Load()
	expired := s.clock().Sub(l.confirmedAt) >= s.settings.HoldTerm
	listing.SelfInForce = listing.SelfInForce && listing.Lapses == l.lapses && !expired && !l.superseded
	listing.Lapses = l.lapses
	return listing
}

// EndedMembers implements services.PeerMembership.
func (s *Service) EndedMembers() []services.Identity { return *s.endedMembers.Load() }

// ReceiveConfirmation implements services.PeerMembership. A confirmation that is
// dropped because the ring is full is repeated by the next exchange.
func (s *Service) ReceiveConfirmation(member services.Identity, askedAt time.Time) {
	if !s.lease.Load().admitted {
		s.messages.Offer(confirmation{memberOf(member), askedAt})
	}
}

// UnconfirmedMembers implements services.PeerMembership.
func (s *Service) UnconfirmedMembers() []string { return s.lease.Load().unconfirmed }

// ReceiveMembers implements services.PeerMembership.
func (s *Service) ReceiveMembers(members []services.Identity) {
	all := append([]services.Identity{s.self}, members...)
	s.peerMembers.Store(&all)
}

// SetDesignatedMemberReader implements services.PeerMembership.
func (s *Service) SetDesignatedMemberReader(designated bool) { s.isDesignatedReader.Store(designated) }

// StopAcceptingChanges implements services.PeerMembership.
func (s *Service) StopAcceptingChanges() { s.changesStopped.Store(true) }

// DeclareIncarnationEnded records that one incarnation of a member has ended and
// removes its row.
func (s *Service) DeclareIncarnationEnded(ctx context.Context, member services.Identity) error {
	return s.messages.Put(ctx, incarnationEnded{member})
}

func memberOf(i services.Identity) freshness.Member {
	return freshness.Member{Name: i.Name, Incarnation: i.Incarnation}
}

// DeclareEnded implements services.MemberEnder. It applies to every incarnation
// of the host that this process knows.
func (s *Service) DeclareEnded(ctx context.Context, _, member string) error {
	known := append(slices.Clone(s.Listing().Members), s.Members()...)
	found := false
	for _, m := range known {
		if m.Name != member || m == s.self {
			continue
		}
		found = true
		if err := s.DeclareIncarnationEnded(ctx, m); err != nil {
			return err
		}
	}
	if !found {
		return fault.New(&fault.NotRun, fault.ReasonUnknownHost, "state host ended", member, "no other entry host has this name")
	}
	return nil
}
