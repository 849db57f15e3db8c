// Package statesync keeps this host's replica of the shared state: the
// operators' document, the host assignments and the ledger of hosts out of
// service.
//
// The replica advances by reading the platform's head row, by this host's own
// changes, and by parts received from peers. It never applies a revision lower
// than its own.
package statesync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	replicaRingCapacity = 256
	commitRingCapacity  = 64
	watchRingCapacity   = 4
	// headReadPeriod is the time between two reads of the head by the
	// designated reader of a zone.
	headReadPeriod  = time.Second
	maxReadAttempts = 3
)

// Service implements services.State and services.PeerState.
type Service struct {
	clock services.Clock
	log   zerolog.Logger

	table      services.Table
	membership services.Membership
	metrics    services.Metrics

	replica *ring.Ring[replicaMessage]
	commits *ring.Ring[commitRequest]
	// designated wakes the follow duty when this host becomes its zone's
	// designated reader.
	designated *ring.Ring[struct{}]
	watches    []*ring.Ring[*services.View]

	// The replica duty publishes these; other goroutines only read them.
	view      atomic.Pointer[services.View]
	freshAsOf atomic.Pointer[time.Time]

	latestRead atomic.Pointer[platformRead]

	isDesignatedReader atomic.Bool
	ownRevision        atomic.Uint64
	inDoubt            atomic.Bool
}

// New returns the service. clock must be monotonic.
func New(clock services.Clock) *Service {
	return &Service{clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.table, err = kernel.Lookup[services.Table](c, services.NamePlatform); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil {
		return err
	}
	s.replica = ring.New[replicaMessage]("statesync.replica", replicaRingCapacity, c.Scope)
	s.commits = ring.New[commitRequest]("statesync.commit", commitRingCapacity, c.Scope)
	s.designated = ring.New[struct{}]("statesync.follow", 1, c.Scope)
	s.isDesignatedReader.Store(true)
	c.AddDuty("statesync.replica", s.runReplica)
	c.AddDuty("statesync.follow", s.runHeadReader)
	c.AddDuty("statesync.commit", s.runCommit)
	return nil
}

// View implements services.State.
func (s *Service) View() *services.View { return s.view.Load() }

// Watch implements services.State.
func (s *Service) Watch(name string) *ring.Ring[*services.View] {
	w := ring.New[*services.View](name, watchRingCapacity, nil)
	s.watches = append(s.watches, w)
	return w
}

// FreshAsOf implements services.State.
func (s *Service) FreshAsOf() time.Time {
	if t := s.freshAsOf.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Head implements services.PeerState.
func (s *Service) Head() (revision.Head, bool) {
	// inDoubt is read first: a change whose outcome becomes known between
	// the two reads is then reported as in doubt or is part of the head.
	inDoubt := s.inDoubt.Load()
	if v := s.view.Load(); v != nil {
		return v.State.Head(), inDoubt
	}
	return revision.Head{}, inDoubt
}

// Replica implements services.PeerState.
func (s *Service) Replica() *revision.State {
	if v := s.view.Load(); v != nil {
		return v.State
	}
	return nil
}

// OwnRevision implements services.PeerState.
func (s *Service) OwnRevision() uint64 { return s.ownRevision.Load() }

// PlatformRead implements services.PeerState.
func (s *Service) PlatformRead() (uint64, time.Time) {
	if r := s.latestRead.Load(); r != nil {
		return r.revision, r.asOf
	}
	return 0, time.Time{}
}

// SetDesignatedHeadReader implements services.PeerState.
func (s *Service) SetDesignatedHeadReader(designated bool) {
	if wasDesignated := s.isDesignatedReader.Swap(designated); designated && !wasDesignated {
		s.designated.OfferLatest(struct{}{})
	}
}

// ReceiveParts implements services.PeerState.
func (s *Service) ReceiveParts(head revision.Head, parts []revision.Part) {
	if !s.replica.Offer(advance{head: head, parts: partsByName(parts)}) {
		s.metrics.CountRefusal("receive parts", fault.ReasonRingFull)
	}
}

// ReceiveFreshness implements services.PeerState.
func (s *Service) ReceiveFreshness(rev uint64, asOf time.Time) {
	s.replica.Offer(freshnessUpdate{revision: rev, asOf: asOf})
}

func partsByName(parts []revision.Part) map[string]revision.Part {
	m := make(map[string]revision.Part, len(parts))
	for _, p := range parts {
		m[p.Name] = p
	}
	return m
}

// runHeadReader reads the head every headReadPeriod while this host is its
// zone's designated reader or has no state yet.
func (s *Service) runHeadReader(ctx context.Context) {
	ticker := time.NewTicker(headReadPeriod)
	defer ticker.Stop()
	for {
		if s.isDesignatedReader.Load() || s.View() == nil {
			s.readUntilCurrent(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.designated.C():
		case <-ticker.C:
		}
	}
}

// readUntilCurrent reads the head and the parts that changed. When another
// change was committed between the two reads it reads again, with at most
// maxReadAttempts attempts in all.
func (s *Service) readUntilCurrent(ctx context.Context) {
	for range maxReadAttempts {
		started := s.clock()
		head, parts, err := s.readNewer(ctx)
		if err != nil {
			s.metrics.CountRetry("read state head", fault.ReasonOf(err))
			s.log.Debug().Err(err).Msg("state head not read; it is read again in the next period")
			return
		}
		s.offerAndWait(ctx, advance{head: head, parts: parts, fromPlatform: true})
		s.ReceiveFreshness(head.Revision, started)
		if s.revision() >= head.Revision {
			return
		}
	}
}
