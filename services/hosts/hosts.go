// Package hosts keeps the latest copy of the platform's host list and marks in
// it the hosts that were reported as leaving before the list shows it.
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
	// readInterval is the interval between reads of the entry host that is
	// designated in its zone.
	readInterval = time.Second
	// maxCopyAge is the age of the copy at which an entry host reads although
	// it is not designated. It is well below the 30 s after which no grant is
	// based on a list.
	maxCopyAge = 5 * time.Second
	// readTimeout limits one read.
	readTimeout = 2 * time.Second
	// jitter is the largest fraction of readInterval that is added at random,
	// so that entry hosts do not read at the same time.
	jitter = 0.1
	// leavingReportLifetime is how long a report of a leaving host overrides a
	// list that shows the host as live. The list lags behind, and peers repeat
	// their reports much more often than this.
	leavingReportLifetime = 30 * time.Second
	// designationRingCapacity is small because only the latest value
	// counts.
	designationRingCapacity = 2
	// eventRingCapacity has room for the reports of a whole pool that starts
	// to leave.
	eventRingCapacity = 64

	stepList = "hosts.list"
	stepRead = "hosts.read"
)

// Service implements services.Hosts and services.DesignatedHostReader. Its methods may
// be used concurrently.
type Service struct {
	clock        services.Clock
	platform     services.HostLister
	log          zerolog.Logger
	scope        tally.Scope
	events       *ring.Ring[event]
	designations *ring.Ring[bool]
	latest       atomic.Pointer[fleet.HostList]
}

var (
	_ services.Hosts                = (*Service)(nil)
	_ services.DesignatedHostReader = (*Service)(nil)
)

// event is an input of the duty hosts.list: a list that was read, or the name
// of a host that was seen leaving.
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

// Provision looks up the platform and registers the duties. Reading is a
// separate duty, because a read may take 2 s and reports of leaving hosts must
// take effect in the meantime.
func (s *Service) Provision(c *kernel.Context) error {
	platform, err := kernel.Lookup[services.HostLister](c, services.NamePlatform)
	if err != nil {
		return err
	}
	s.platform = platform
	s.log = c.Log
	s.scope = c.Scope
	s.events = ring.New[event](stepList, eventRingCapacity, c.Scope)
	s.designations = ring.New[bool](stepRead, designationRingCapacity, c.Scope)
	c.AddDuty(stepRead, s.runReader)
	c.AddDuty(stepList, s.runList)
	return nil
}

// Hosts returns the latest copy of the list. It must not be modified.
func (s *Service) Hosts() *fleet.HostList { return s.latest.Load() }

// ReportLeaving records that a host was seen leaving. It never blocks.
func (s *Service) ReportLeaving(host string) { s.events.OfferLatest(event{leaving: host}) }

// SetDesignatedHostReader sets whether this entry host is designated to read the
// list for its zone; initially it is. It never blocks and may be called once the
// service is provisioned.
func (s *Service) SetDesignatedHostReader(designated bool) { s.designations.OfferLatest(designated) }

// runReader is the duty hosts.read: it reads the list when a read is due and
// passes it to the duty hosts.list.
func (s *Service) runReader(ctx context.Context) {
	r := reader{isDesignated: true}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r.isDesignated = <-s.designations.C():
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
	isDesignated bool
	// lastAttempt and lastSuccess are when the last read and the last
	// successful one started.
	lastAttempt, lastSuccess time.Time
}

// due returns when to read next. An entry host that is not designated reads when
// its copy has reached maxCopyAge, whether because it was not designated or
// because its reads failed.
func (r reader) due() time.Time {
	next := r.lastAttempt.Add(readInterval)
	if copyDue := r.lastSuccess.Add(maxCopyAge); !r.isDesignated && copyDue.After(next) {
		return copyDue
	}
	return next
}

// readOnce reads the list, passes it on and reports whether the platform
// answered.
func (s *Service) readOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asOf := s.clock()
	hosts, err := s.platform.ListHosts(callCtx)
	if err != nil {
		reason := fault.ReasonOf(err)
		s.scope.Tagged(map[string]string{"step": stepList, "reason": string(reason)}).Counter("retried_total").Inc(1)
		s.log.Warn().Err(err).Str("step", stepList).Str("reason", string(reason)).Msg("host list not read; keeping the last copy")
		return false
	}
	s.events.OfferLatest(event{list: &fleet.HostList{Hosts: hosts, AsOf: asOf}})
	return true
}

// runList is the duty hosts.list. It owns the last list read and the reports of
// leaving hosts.
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
	list *fleet.HostList
	// leaving maps host names to the time of the last report.
	leaving map[string]time.Time
}

// merge returns a new copy of the list in which reported hosts are leaving. A
// report is dropped when the list itself shows the host as not live, or after
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

// dropExpired drops expired reports, including those of hosts that are not in
// the list.
func (m *merger) dropExpired(now time.Time) {
	for host, reported := range m.leaving {
		if now.Sub(reported) > leavingReportLifetime {
			delete(m.leaving, host)
		}
	}
}
