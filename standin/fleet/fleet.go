// Package fleet is the stand-in's set of backend servers, with the host list
// and the record of what really ran.
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	domain "fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/backendserver"
	"fuchsiafront.example/fuchsiafront/standin/faults"
)

// Settings of the fleet.
type Settings struct {
	// BackendServers are opened at start; their addresses are IP:0.
	BackendServers []domain.Host
	// DefaultWork is how long a request runs when its body does not say.
	DefaultWork time.Duration
	Zones       map[string]netip.Prefix
}

// Service implements standin.Fleet.
type Service struct {
	settings Settings

	mu         sync.Mutex
	servers    map[string]*backendserver.Server
	hosts      map[string]domain.Host
	history    []snapshot
	executions []standin.Execution
	running    map[string]int
	peak       map[string]int
}

type snapshot struct {
	at    time.Time
	hosts []domain.Host
}

// New returns the fleet.
func New(s Settings) *Service {
	return &Service{
		settings: s,
		servers:  make(map[string]*backendserver.Server),
		hosts:    make(map[string]domain.Host),
		running:  make(map[string]int),
		peak:     make(map[string]int),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Context) error { return nil }

// Start opens the backend servers.
func (s *Service) Start(context.Context) error {
	for _, host := range s.settings.BackendServers {
		server, err := backendserver.Open(host, s.settings.DefaultWork, s, s.settings.Zones)
		if err != nil {
			return err
		}
		s.servers[host.Name] = server
		s.hosts[host.Name] = server.Host()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot()
	return nil
}

// Stop closes the backend servers.
func (s *Service) Stop(context.Context) error {
	for _, server := range s.servers {
		if err := server.Close(); err != nil {
			return err
		}
	}
	return nil
}

// snapshot records the list as it is now. s.mu is held.
func (s *Service) snapshot() {
	hosts := make([]domain.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b domain.Host) int { return strings.Compare(a.Name, b.Name) })
	s.history = append(s.history, snapshot{time.Now(), hosts})
}

// ListHosts implements standin.Fleet.
func (s *Service) ListHosts(lag time.Duration) []domain.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-lag)
	for _, past := range slices.Backward(s.history) {
		if !past.at.After(asOf) {
			return past.hosts
		}
	}
	return s.history[0].hosts
}

// Operate implements standin.Fleet.
func (s *Service) Operate(op standin.Operation, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.hosts[name]
	if !ok {
		return fmt.Errorf("no host %q", name)
	}
	host.Phase = domain.PhaseLive
	if op == standin.OperationDrain {
		host.Phase = domain.PhaseLeaving
	}
	s.hosts[name] = host
	if server, ok := s.servers[name]; ok {
		server.SetLeaving(host.Phase == domain.PhaseLeaving)
	}
	s.snapshot()
	return nil
}

// SetFaults implements standin.Fleet.
func (s *Service) SetFaults(name string, set faults.Set) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.servers[name]
	if !ok {
		return fmt.Errorf("no host %q", name)
	}
	server.Injector().Apply(set)
	return nil
}

// Started implements backendserver.Recorder.
func (s *Service) Started(e standin.Execution) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
	s.running[e.Team]++
	s.peak[e.Team] = max(s.peak[e.Team], s.running[e.Team])
	return len(s.executions) - 1
}

// Ended implements backendserver.Recorder.
func (s *Service) Ended(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[index].End = time.Now()
	s.running[s.executions[index].Team]--
}

// Executions implements standin.Fleet.
func (s *Service) Executions() []standin.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// PeakByTeam implements standin.Fleet.
func (s *Service) PeakByTeam() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	peaks := make(map[string]int, len(s.peak))
	for team, n := range s.peak {
		peaks[team] = n
	}
	return peaks
}
