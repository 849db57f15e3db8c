// Package fleet is the stand-in's set of backend servers and workers, with the
// host list and the record of what really ran.
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
	"fuchsiafront.example/fuchsiafront/standin/worker"
)

// Settings of the fleet.
type Settings struct {
	// BackendServers are opened at start; their addresses are IP:0.
	BackendServers []domain.Host
	// Workers are opened at start on ports that the kernel chooses.
	Workers []domain.Host
	// DefaultWork is how long a request runs when its body does not say.
	DefaultWork time.Duration
	Zones       map[string]netip.Prefix
}

// Service implements standin.Fleet.
type Service struct {
	settings Settings

	mu            sync.Mutex
	servers       map[string]*backendserver.Server
	workers       map[string]*worker.Worker
	workerFleet   *worker.Fleet
	hosts         map[string]domain.Host
	hostHistory   []hostSnapshot
	executions    []standin.Execution
	runningByTeam map[string]int
	peakByTeam    map[string]int
}

type hostSnapshot struct {
	at    time.Time
	hosts []domain.Host
}

// New returns the fleet.
func New(s Settings) *Service {
	return &Service{
		settings:      s,
		servers:       make(map[string]*backendserver.Server),
		workers:       make(map[string]*worker.Worker),
		hosts:         make(map[string]domain.Host),
		runningByTeam: make(map[string]int),
		peakByTeam:    make(map[string]int),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	var workers []*worker.Worker
	for _, host := range s.settings.Workers {
		w := worker.New(worker.Config{Name: host.Name, Capacity: host.Capacity})
		s.workers[host.Name] = w
		workers = append(workers, w)
	}
	s.workerFleet = worker.NewFleet(workers...)
	return s.workerFleet.Provision(c)
}

// Start opens the backend servers and workers.
func (s *Service) Start(ctx context.Context) error {
	if err := s.workerFleet.Start(ctx); err != nil {
		return err
	}
	addresses := s.workerFleet.Addresses()
	for _, host := range s.settings.Workers {
		host.Address = addresses[host.Name]
		s.hosts[host.Name] = host
	}
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
	s.recordSnapshot()
	return nil
}

// Stop closes the backend servers and workers.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.workerFleet.Stop(ctx); err != nil {
		return err
	}
	for _, server := range s.servers {
		if err := server.Close(); err != nil {
			return err
		}
	}
	return nil
}

// recordSnapshot records the list as it is now. s.mu is held.
func (s *Service) recordSnapshot() {
	hosts := make([]domain.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b domain.Host) int { return strings.Compare(a.Name, b.Name) })
	s.hostHistory = append(s.hostHistory, hostSnapshot{time.Now(), hosts})
}

// ListHosts implements standin.Fleet.
func (s *Service) ListHosts(lag time.Duration) []domain.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-lag)
	for _, past := range slices.Backward(s.hostHistory) {
		if !past.at.After(asOf) {
			return past.hosts
		}
	}
	return s.hostHistory[0].hosts
}

// Operate implements standin.Fleet.
func (s *Service) Operate(op standin.Operation, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.hosts[name]
	if !ok {
		return fmt.Errorf("no host %q", name)
	}
	switch op {
	case standin.OperationDrain:
		host.Phase = domain.PhaseLeaving
	case standin.OperationReturn:
		host.Phase = domain.PhaseLive
	case standin.OperationReboot:
		return s.reboot(host)
	}
	s.hosts[name] = host
	s.setLeaving(name, host.Phase == domain.PhaseLeaving)
	s.recordSnapshot()
	return nil
}

// reboot refuses to restart a host that takes work or whose work goes on.
func (s *Service) reboot(host domain.Host) error {
	if host.Phase == domain.PhaseLive {
		return fmt.Errorf("host %q is live: %w", host.Name, standin.ErrBusy)
	}
	if server, ok := s.servers[host.Name]; ok && server.Running() > 0 {
		return fmt.Errorf("host %q runs %d requests: %w", host.Name, server.Running(), standin.ErrBusy)
	}
	if w, ok := s.workers[host.Name]; ok && w.Free() != host.Capacity {
		return fmt.Errorf("host %q runs tasks: %w", host.Name, standin.ErrBusy)
	}
	return nil
}

func (s *Service) setLeaving(name string, leaving bool) {
	if server, ok := s.servers[name]; ok {
		server.SetLeaving(leaving)
	}
	if w, ok := s.workers[name]; ok {
		w.SetFaults(worker.Faults{Leaving: leaving})
	}
}

// SetFaults implements standin.Fleet.
func (s *Service) SetFaults(name string, set faults.Set) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := s.servers[name]; ok {
		server.Injector().Apply(set)
		return nil
	}
	if w, ok := s.workers[name]; ok {
		w.SetFaults(worker.Faults{
			Down: set.Down, Delay: set.Delay, LoseReply: set.LoseReply,
			Silent: set.SilenceOpenConns, FailAll: set.FailAll, Leaving: set.Leaving,
		})
		return nil
	}
	return fmt.Errorf("no host %q", name)
}

// RecordStart implements backendserver.Recorder.
func (s *Service) RecordStart(e standin.Execution) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
	s.runningByTeam[e.Team]++
	s.peakByTeam[e.Team] = max(s.peakByTeam[e.Team], s.runningByTeam[e.Team])
	return len(s.executions) - 1
}

// RecordEnd implements backendserver.Recorder.
func (s *Service) RecordEnd(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[index].End = time.Now()
	s.runningByTeam[s.executions[index].Team]--
}

// Executions implements standin.Fleet.
func (s *Service) Executions() []standin.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.executions)
	for _, w := range s.workers {
		for _, e := range w.Executions() {
			all = append(all, standin.Execution{RequestID: e.Job, Server: e.Worker, Start: e.Start, End: e.End, Job: true})
		}
	}
	return all
}

// PeakByTeam implements standin.Fleet.
func (s *Service) PeakByTeam() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	peaks := make(map[string]int, len(s.peakByTeam))
	for team, n := range s.peakByTeam {
		peaks[team] = n
	}
	return peaks
}
