// Package peers exchanges digests and state with the other entry hosts.
//
// Digests carry each host's self-report and what it knows of other hosts, so
// that replicas stay fresh without an exchange between every pair of hosts.
// Package freshness decides what follows from the self-reports.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/httpserver"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

const (
	messageRingCapacity = 256
	// fetchRingCapacity is small: a later fetch makes an earlier one redundant.
	fetchRingCapacity = 2
	sendRingCapacity  = 256
	// sendDuties bounds the concurrent sends. With 52 silent members a push
	// ends after four rounds of callTimeout.
	sendDuties = 16

	exchangePeriod = 400 * time.Millisecond
	// callTimeout is shorter than exchangePeriod, so that a silent peer does
	// not delay the next exchange.
	callTimeout = 350 * time.Millisecond
	// fetchTimeout is long enough for a whole state of some megabytes.
	fetchTimeout = 3 * time.Second
	idleTimeout  = 2 * time.Minute
	// departureTimeout bounds how long Drain waits for a change in doubt. The
	// services that still have open requests are drained after that.
	departureTimeout = 5 * time.Second
)

// Settings of the service.
type Settings struct {
	// Address to listen on, IP:port.
	Address string
	// SourceIP is the address that connections start from; empty lets the
	// system choose.
	SourceIP string
	// Seeds are peer addresses, IP:port, that are called while their hosts
	// are not known from the platform or from other peers.
	Seeds []string
	// Random is the source of randomness for the order of the exchanges.
	Random *rand.Rand
}

// Service implements services.Peers.
type Service struct {
	settings Settings
	clock    services.Clock
	log      zerolog.Logger

	state          services.PeerState
	membership     services.Membership
	peerMembership services.PeerMembership
	hosts          services.Hosts
	metrics        services.Metrics

	messages *ring.Ring[viewMessage]
	views    *ring.Ring[*services.View]
	fetches  *ring.Ring[services.Identity]
	sends    *ring.Ring[func(context.Context)]

	// The view duty publishes these; other goroutines only read them.
	status atomic.Pointer[[]services.PeerStatus]
	loads  atomic.Pointer[[]services.TeamLoad]

	network network
	client  *http.Client
	server  *httpserver.Server
}

// network opens listeners and connections; tests replace it.
type network struct {
	listen func(ctx context.Context, address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

func tcpNetwork(sourceIP string) network {
	dialer := &net.Dialer{Timeout: callTimeout}
	if sourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	listen := func(ctx context.Context, address string) (net.Listener, error) {
		var lc net.ListenConfig
		return lc.Listen(ctx, "tcp", address)
	}
	return network{listen: listen, dial: dialer.DialContext}
}

// New returns the service. clock must be monotonic.
func New(s Settings, clock services.Clock) *Service {
	service := &Service{settings: s, clock: clock, network: tcpNetwork(s.SourceIP)}
	service.status.Store(&[]services.PeerStatus{})
	service.loads.Store(&[]services.TeamLoad{})
	return service
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	if err := s.lookup(c); err != nil {
		return err
	}
	s.messages = ring.New[viewMessage]("peers.view", messageRingCapacity, c.Scope)
	s.fetches = ring.New[services.Identity]("peers.fetch", fetchRingCapacity, c.Scope)
	s.sends = ring.New[func(context.Context)]("peers.send", sendRingCapacity, c.Scope)
	s.client = &http.Client{Transport: &http.Transport{
		DialContext:     s.network.dial,
		IdleConnTimeout: idleTimeout,
	}}
	mux := http.NewServeMux()
	mux.Handle(fuchsiafrontv1connect.NewPeerServiceHandler(&handler{service: s}))
	s.server = httpserver.New("peers", &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, IdleTimeout: idleTimeout}, c.Log)
	c.AddDuty("peers.view", func(ctx context.Context) { newPeerView(s).run(ctx) })
	c.AddDuty("peers.exchange", s.runExchange)
	c.AddDuty("peers.fetch", s.runFetch)
	c.AddDuty("peers.push", s.runPush)
	for range sendDuties {
		c.AddDuty("peers.send", s.runSend)
	}
	return nil
}

func (s *Service) lookup(c *kernel.Context) error {
	var err error
	if s.state, err = kernel.Lookup[services.PeerState](c, services.NameState); err != nil {
		return err
	}
	state, err := kernel.Lookup[services.State](c, services.NameState)
	if err != nil {
		return err
	}
	s.views = state.Watch("peers.push")
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	if s.peerMembership, err = kernel.Lookup[services.PeerMembership](c, services.NameMembership); err != nil {
		return err
	}
	if s.hosts, err = kernel.Lookup[services.Hosts](c, services.NameHosts); err != nil {
		return err
	}
	s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics)
	return err
}

// Start opens the listener.
func (s *Service) Start(ctx context.Context) error {
	listener, err := s.network.listen(ctx, s.settings.Address)
	if err != nil {
		return err
	}
	s.server.Serve(listener)
	return nil
}

// Drain ends this host's right to accept changes, waits for the outcome of the
// last one, and announces the departure to all peers. Exchanges continue until
// Stop, so that the replica stays fresh for requests still being served.
func (s *Service) Drain(ctx context.Context) error {
	s.peerMembership.StopAcceptingChanges()
	departed := ring.Reply[[]exchangeCall]()
	if err := s.messages.Put(ctx, departureRequest{departed}); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	calls, err := departed.Take(waitCtx)
	if err != nil {
		s.log.Warn().Msg("a change is still in doubt; the departure is announced to peers once its outcome is known")
		return nil
	}
	return s.makeCalls(ctx, calls)
}

// Stop closes the listener and all connections.
func (s *Service) Stop(context.Context) error {
	s.client.CloseIdleConnections()
	return s.server.Close()
}

// Status implements services.Peers.
func (s *Service) Status() []services.PeerStatus { return *s.status.Load() }

// Loads implements services.Peers.
func (s *Service) Loads() []services.TeamLoad { return *s.loads.Load() }

// SetLoads implements services.Peers.
func (s *Service) SetLoads(loads []services.TeamLoad) { s.messages.Offer(setLoads{loads}) }

// SetLeavingHosts implements services.Peers.
func (s *Service) SetLeavingHosts(names []string) { s.messages.Offer(setLeavingHosts{names}) }
