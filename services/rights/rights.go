// Package rights implements the service services.NameRights: it grants the
// rights to run that bound each team to its limit.
//
// The duty rights.ledger owns the rights held and used by this host and answers
// at once. The duty rights.balance reads and writes the rows of the teams and
// never holds up the ledger.
package rights

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	ledgerRingCapacity = 1024
	// freedRingCapacity is above the number of teams, and a team is announced
	// once for each refusal, so that no announcement is dropped.
	freedRingCapacity   = 1024
	balanceRingCapacity = 16

	stepAcquire  = "acquire right"
	stepBalance  = "balance rights"
	platformPeer = "platform"
)

// Settings of the service. All are durations on this host's clock.
type Settings struct {
	// HoldTerm is how long a holder uses its rights after its last confirmed
	// renewal.
	HoldTerm time.Duration
	// LongestRequest bounds how long a request runs after its start.
	LongestRequest time.Duration
}

// Service implements services.Rights.
type Service struct {
	settings   Settings
	log        zerolog.Logger
	scope      tally.Scope
	platform   services.Platform
	state      services.State
	peers      services.Peers
	membership services.Membership
	ledger     *ring.Ring[message]
	balance    *ring.Ring[event]
	freedRings []*ring.Ring[string]
	runCtx     context.Context
	cancelRun  context.CancelFunc
}

// New returns the service, to be registered with the kernel.
func New(settings Settings) *Service { return &Service{settings: settings} }

// Provision looks up the services that the duties use and registers them.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.platform, err = kernel.Lookup[services.Platform](c, services.NamePlatform); err != nil {
		return err
	}
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[services.Peers](c, services.NamePeers); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	s.log, s.scope = c.Log, c.Scope
	s.ledger = ring.New[message]("rights.ledger", ledgerRingCapacity, c.Scope)
	s.balance = ring.New[event]("rights.balance", balanceRingCapacity, c.Scope)
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	c.AddDuty("rights.ledger", newLedgerDuty(s).run)
	c.AddDuty("rights.balance", newBalancer(s).run)
	return nil
}

// Drain gives back the rights that are not in use. It returns after one
// attempt for each team, or when ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	e := event{drainReply: ring.Reply[struct{}]()}
	if err := s.balance.Put(ctx, e); err != nil {
		return err
	}
	_, err := e.drainReply.Take(ctx)
	return err
}

// Stop releases callers that wait.
func (s *Service) Stop(context.Context) error {
	s.cancelRun()
	return nil
}

// Acquire implements services.Rights.
func (s *Service) Acquire(ctx context.Context, team string, n int) error {
	m := acquire{team: team, n: n, reply: ring.Reply[error]()}
	if !s.ledger.Offer(m) {
		return s.countRefusal(fault.New(&fault.NotRun, fault.ReasonRingFull, stepAcquire, "", "rights busy"))
	}
	select {
	case err := <-m.reply.C():
		return s.countRefusal(err)
	case <-s.runCtx.Done():
		return s.countRefusal(fault.New(&fault.NotRun, fault.ReasonDraining, stepAcquire, "", "stopped"))
	case <-ctx.Done():
		s.cancelAcquire(m)
		return s.countRefusal(fault.New(&fault.NotRun, fault.ReasonDeadline, stepAcquire, "", "%v", ctx.Err()))
	}
}

// cancelAcquire gives back what an abandoned request still gets. The ledger
// answers every message, and messages are answered in order, so that the
// release comes after the grant.
func (s *Service) cancelAcquire(m acquire) {
	s.post(cancelAcquire(m))
}

func (s *Service) countRefusal(err error) error {
	if err != nil {
		s.count("refused_total", stepAcquire, fault.ReasonOf(err))
	}
	return err
}

// Release implements services.Rights. It waits while the ring is full.
func (s *Service) Release(team string, n int) { s.post(release{team: team, n: n}) }

// SetWaiting implements services.Rights. It waits while the ring is full.
func (s *Service) SetWaiting(team string, n int) { s.post(setWaiting{team: team, n: n}) }

// post waits for room; the ledger never waits for anyone, so room comes.
func (s *Service) post(m message) {
	// An error means that the service has stopped and its state is gone.
	_ = s.ledger.Put(s.runCtx, m)
}

// WatchFreedRights implements services.Rights.
func (s *Service) WatchFreedRights(name string) services.FreedRing {
	r := ring.New[string](name, freedRingCapacity, s.scope)
	s.freedRings = append(s.freedRings, r)
	return r
}

// Usage implements services.Rights.
func (s *Service) Usage() []services.RightsUsage {
	positions := s.snapshots(s.runCtx)
	list := make([]services.RightsUsage, 0, len(positions))
	for _, p := range positions {
		list = append(list, services.RightsUsage{
			Team: p.Team, Limit: p.Limit, Held: p.Held + p.Jobs, Used: p.Used + p.Jobs,
			Waiting: p.Waiting, FleetHeld: p.FleetHeld,
		})
	}
	return list
}

// snapshots asks the ledger; it returns nil when ctx ends first.
func (s *Service) snapshots(ctx context.Context) []rights.TeamSnapshot {
	m := querySnapshots{reply: ring.Reply[[]rights.TeamSnapshot]()}
	if s.ledger.Put(ctx, m) != nil {
		return nil
	}
	list, _ := m.reply.Take(ctx)
	return list
}

func (s *Service) count(name, step string, reason fault.Reason) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(reason)}).Counter(name).Inc(1)
}

func (s *Service) self() rights.Holder {
	id := s.membership.Self()
	return rights.Holder{Host: id.Name, Incarnation: id.Incarnation}
}
