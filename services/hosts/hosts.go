// Package hosts keeps the latest copy of the platform's host list and merges
// hosts that were seen leaving ahead of it.
package hosts

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// readInterval is the interval at which the reader of a zone reads.
	readInterval = time.Second
	// maxCopyAge is the age of the copy at which an entry host reads although it
	// is not its turn. It is well under the 30 s after which a list permits
	// no grants.
	maxCopyAge = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// jitter is the largest part of an interval that is added at random, so
	// that entry hosts do not read at the same instant.
	jitter = 0.1
	// leavingReportLifetime is how long a report of a leaving host outweighs a list
	// that shows the host as live. The list lags behind, and peers repeat
	// their reports far more often than this.
	leavingReportLifetime = 30 * time.Second
	// turnRingCapacity holds the latest turns; only the last one counts.
	turnRingCapacity = 2
	// eventRingCapacity holds the reports of a whole pool that starts to leave.
	eventRingCapacity = 64

	stepList = "hosts.list"
	stepRead = "hosts.read"
)

// Service is the service services.NameHosts. Its methods may be used
// concurrently.
type Service struct {
	clock    services.Clock
	platform services.HostLister
	log      zerolog.Logger
	scope    tally.Scope
	events   *ring.Ring[event]
	turns    *ring.Ring[bool]
	latest   atomic.Pointer[fleet.HostList]
}

var (
	_ services.Hosts                = (*Service)(nil)
	_ services.DesignatedHostReader = (*Service)(nil)
)

// event is a message to the duty hosts.list: a list that was read, or the
// name of a host seen leaving.
type event struct {
	list    *fleet.HostList
	leaving string
}

// New returns the service. clock must have a monotonic reading.
func New(clock services.Clock) *Service {
	s := &Service{clock: clock}
	s.latest.Store(&fleet.HostList{})
	return s
}

// Provision looks up the platform and registers the duties. Reading is a duty
// of its own, because a read may take 2 s and reports of leaving hosts have to
// take effect meanwhile.
func (s *Service) Provision(c *kernel.Context) error {
	platform, err := kernel.Lookup[services.HostLister](c, services.NamePlatform)
	if err != nil {
		return err
	}
	s.platform = platform
	s.log = c.Log
	s.scope = c.Scope
	s.events = ring.New[event](stepList, eventRingCapacity, c.Scope)
	s.turns = ring.New[bool](stepRead, turnRingCapacity, c.Scope)
	c.AddDuty(stepRead, s.runReader)
	c.AddDuty(stepList, s.runList)
	return nil
}

// Hosts returns the latest copy. It must not be modified.
func (s *Service) Hosts() *fleet.HostList { return s.latest.Load() }

// ReportLeaving records that a host was seen leaving. It never waits.
func (s *Service) ReportLeaving(host string) { s.events.OfferLatest(event{leaving: host}) }

// SetDesignatedHostReader sets whether it is this entry host's turn to read the list
// for its zone. It is, until told otherwise. It never waits and may be called
// once the service is provisioned.
func (s *Service) SetDesignatedHostReader(turn bool) { s.turns.OfferLatest(turn) }

// runReader reads the list when it is due and hands each to the duty hosts.list.
func (s *Service) runReader(ctx context.Context) {
	r := reader{hasTurn: true}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r.hasTurn = <-s.turns.C():
		case <-timer.C:
			r.lastAttempt = s.clock()
			if s.readOnce(ctx) {
				r.lastSuccess = r.lastAttempt
			}
		}
		due := r.due()
		timer.Reset(due.Sub(s.clock()) + time.Duration(rand.Float64()*jitter*float64(readInterval)))
	}
}

// reader is the state of the duty hosts.read.
type reader struct {
	hasTurn bool
	// lastAttempt and success are the starts of the last read and of the last
	// one that was answered.
	lastAttempt, lastSuccess time.Time
}

// due returns when to read next. An entry host whose turn it is not reads when
// its copy has reached maxCopyAge, whether the turn did not come round or its
// reads failed.
func (r reader) due() time.Time {
	next := r.lastAttempt.Add(readInterval)
	if rested := r.lastSuccess.Add(maxCopyAge); !r.hasTurn && rested.After(next) {
		return rested
	}
	return next
}

// readOnce reports whether the platform answered.
func (s *Service) readOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asOf := s.clock()
	read, err := s.platform.ListHosts(callCtx)
	if err != nil {
		reason := fault.ReasonOf(err)
		s.scope.Tagged(map[string]string{"step": stepList, "reason": string(reason)}).Counter("retried_total").Inc(1)
		s.log.Warn().Err(err).Str("step", stepList).Str("reason", string(reason)).Msg("host list not read")
		return false
	}
	s.events.OfferLatest(event{list: &fleet.HostList{Hosts: read, AsOf: asOf}})
	return true
}

// runList owns the last list read and the reports of leaving hosts.
func (s *Service) runList(ctx context.Context) {
	m := merger{leaving: make(map[string]time.Time)}
	for {
		e, err := s.events.Take(ctx)
		if err != nil {
			return
		}
		now := s.clock()
		if e.list != nil {
			m.list = e.list
		} else {
			m.leaving[e.leaving] = now
		}
		s.latest.Store(m.merge(now))
	}
}

// merger combines the list with the reports of leaving hosts.
type merger struct {
	list    *fleet.HostList
	leaving map[string]time.Time
}

// merge returns a new copy of the list in which reported hosts are leaving. A
// report is dropped when the list itself shows the host as not live, and after
// leavingReportLifetime.
func (m *merger) merge(now time.Time) *fleet.HostList {
	if m.list == nil {
		return &fleet.HostList{}
	}
	merged := &fleet.HostList{Hosts: make([]fleet.Host, len(m.list.Hosts)), AsOf: m.list.AsOf}
	copy(merged.Hosts, m.list.Hosts)
	for i := range merged.Hosts {
		h := &merged.Hosts[i]
		reported, ok := m.leaving[h.Name]
		switch {
		case !ok:
		case h.Phase != fleet.PhaseLive || now.Sub(reported) > leavingReportLifetime:
			delete(m.leaving, h.Name)
		default:
			h.Phase = fleet.PhaseLeaving
		}
	}
	m.dropExpired(now)
	return merged
}

// dropExpired drops reports of hosts that are not in the list.
func (m *merger) dropExpired(now time.Time) {
	for host, reported := range m.leaving {
		if now.Sub(reported) > leavingReportLifetime {
			delete(m.leaving, host)
		}
	}
}
