// Package backend owns the connections to backend servers.
//
// Each connection is one duty that owns its socket and carries one request at
// a time, so that an answer can only belong to the request that was written
// last. Attempts for one backend server wait in one bounded ring that all its
// connection duties read.
package backend

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// serverConnections is the number of connections that one backend server
	// accepts from all entry hosts together.
	serverConnections = 64
	sendCapacity      = 64
)

// Settings of the service.
type Settings struct {
	// MaxEntryHosts is the largest number of entry hosts of the deployment;
	// the connections of each backend server are divided by it.
	MaxEntryHosts int
	// SourceIP is the address that connections start from; empty lets the
	// system choose.
	SourceIP string
}

// Service implements services.Backends.
type Service struct {
	settings Settings
	clock    services.Clock
	log      zerolog.Logger
	scope    tally.Scope

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	servers map[string]*server
}

// server is the set of connections to one backend server.
type server struct {
	host   fleet.Host
	sends  *ring.Ring[services.BackendSend]
	cancel context.CancelFunc
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock, servers: make(map[string]*server)}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.scope = c.Scope
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return nil
}

// Stop closes all connections.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.running.Wait()
	return nil
}

// Send implements services.Backends.
func (s *Service) Send(_ context.Context, send services.BackendSend) error {
	s.mu.Lock()
	srv, ok := s.servers[send.Server.Name]
	if !ok {
		srv = s.open(send.Server)
	}
	s.mu.Unlock()
	if !srv.sends.Offer(send) {
		return fault.New(&fault.NotRun, fault.ReasonRingFull, "send to backend server", send.Server.Name, "%d attempts are waiting", sendCapacity)
	}
	return nil
}

// Retain implements services.Backends. A connection that carries a request
// ends after its answer.
func (s *Service) Retain(servers map[string]fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, srv := range s.servers {
		if host, ok := servers[name]; ok && host.Address == srv.host.Address {
			continue
		}
		srv.cancel()
		delete(s.servers, name)
	}
}

// open starts the connection duties of one backend server. s.mu is held.
func (s *Service) open(host fleet.Host) *server {
	ctx, cancel := context.WithCancel(s.ctx)
	srv := &server{
		host:   host,
		sends:  ring.New[services.BackendSend]("backend."+host.Name, sendCapacity, s.scope),
		cancel: cancel,
	}
	s.servers[host.Name] = srv
	count := max(1, serverConnections/max(1, s.settings.MaxEntryHosts))
	for range count {
		c := &connection{host: host, sourceIP: s.settings.SourceIP, clock: s.clock, log: s.log}
		s.running.Go(func() { c.run(ctx, srv.sends) })
	}
	return srv
}
