// Package backend owns the connections to backend servers.
//
// Each connection is one duty that owns its socket and carries one request at
// a time, so that an answer can only belong to the request that was written
// last. Attempts for one backend server wait in one bounded ring that all its
// connection duties read. The duty backend.servers owns the set of servers,
// hands attempts on, and looks for silent connections.
package backend

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxServerConnections is the number of connections that one backend server
	// accepts from all entry hosts together.
	maxServerConnections = 64
	sendCapacity         = 64
	messageCapacity      = 2048

	stepSend = "send to backend server"
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

	messages *ring.Ring[message]
	// running counts the connection duties and probes.
	running sync.WaitGroup
	// stopping is published to the connections when the service stops.
	stopping atomic.Bool
}

// message is what the duty backend.servers receives.
type message interface{ message() }

type sendMessage struct{ send services.BackendAttempt }

type retainMessage struct{ servers map[string]fleet.Host }

// reportMessage carries the slots in use that a reply told.
type reportMessage struct {
	server     *server
	slotsInUse int
}

func (sendMessage) message()   {}
func (retainMessage) message() {}
func (reportMessage) message() {}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.scope = c.Scope
	s.messages = ring.New[message]("backend.servers", messageCapacity, c.Scope)
	c.AddDuty("backend.servers", s.runServers)
	return nil
}

// Send implements services.Backends.
func (s *Service) Send(_ context.Context, send services.BackendAttempt) error {
	if !s.messages.Offer(sendMessage{send}) {
		return fault.New(&fault.NotRun, fault.ReasonRingFull, stepSend, send.Server.Name, "%d messages are waiting", messageCapacity)
	}
	return nil
}

// Retain implements services.Backends. A call that finds the ring full is
// dropped; the next one makes up for it.
func (s *Service) Retain(servers map[string]fleet.Host) {
	s.messages.Offer(retainMessage{servers})
}

// ConnectionsPerServer implements services.Backends. One of this host's connections to
// each server is kept for probes.
func (s *Service) ConnectionsPerServer() int {
	return max(1, maxServerConnections/max(1, s.settings.MaxEntryHosts)-1)
}
