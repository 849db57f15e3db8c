// Package admin serves the operators' API over Connect, and health, readiness
// and metrics over plain HTTP.
package admin

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/rollout"
	"fuchsiafront.example/fuchsiafront/httpserver"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// maxCallBytes is the maximum size of one call; a document of the design size
// has about 1 MB.
const maxCallBytes = 8 << 20

// Settings of the service.
type Settings struct {
	// Address to listen on, IP:port.
	Address string
	// Bootstrap is the operator that may change everything while the
	// document declares no operators.
	Bootstrap document.Operator
	// MaxKeyStaleness is the maximum staleness of the keys at which an operator
	// may change anything.
	MaxKeyStaleness time.Duration
}

// Service serves operators, health checks and scrapers of metrics.
type Service struct {
	settings  Settings
	clock     services.Clock
	startedAt time.Time
	log       zerolog.Logger
	scope     tally.Scope

	state       services.State
	metrics     services.Metrics
	membership  services.Membership
	peers       services.Peers
	rights      services.Rights
	jobs        services.Jobs
	maintenance services.Maintenance
	dispatcher  services.Dispatcher
	hosts       services.Hosts

	views *ring.Ring[*services.View]
	// The duty admin.views publishes history; other goroutines only read it.
	history atomic.Pointer[rollout.History]

	ready  atomic.Bool
	server *httpserver.Server
}

// New returns the service. clock must be monotonic.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log, s.scope, s.startedAt = c.Log, c.Scope, s.clock()
	s.history.Store(&rollout.History{})
	if err := s.lookup(c); err != nil {
		return err
	}
	s.views = s.state.Watch("admin.views")
	c.AddDuty("admin.views", s.runRevisionHistory)
	c.AddDuty("admin.gauges", s.runGauges)

	mux := http.NewServeMux()
	mux.Handle(fuchsiafrontv1connect.NewAdminServiceHandler(&handler{service: s}, connect.WithReadMaxBytes(maxCallBytes)))
	mux.Handle("GET /metrics", s.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	s.server = httpserver.New("operators", &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, c.Log)
	return nil
}

func (s *Service) lookup(c *kernel.Context) error {
	return errors.Join(
		lookupInto(c, services.NameState, &s.state),
		lookupInto(c, services.NameMetrics, &s.metrics),
		lookupInto(c, services.NameMembership, &s.membership),
		lookupInto(c, services.NamePeers, &s.peers),
		lookupInto(c, services.NameRights, &s.rights),
		lookupInto(c, services.NameJobs, &s.jobs),
		lookupInto(c, services.NameMaintenance, &s.maintenance),
		lookupInto(c, services.NameDispatch, &s.dispatcher),
		lookupInto(c, services.NameHosts, &s.hosts),
	)
}

func lookupInto[T any](c *kernel.Context, name string, target *T) error {
	found, err := kernel.Lookup[T](c, name)
	*target = found
	return err
}

// readyz answers 200 while the load balancer may send callers to this host, and
// 503 otherwise.
func (s *Service) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() || s.state.View() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// SetReady implements services.Readiness.
func (s *Service) SetReady(ready bool) { s.ready.Store(ready) }

// Start opens the listener.
func (s *Service) Start(ctx context.Context) error {
	return s.server.Listen(ctx, s.settings.Address)
}

// Address returns the address of the listener, or "" before Start.
func (s *Service) Address() string { return s.server.Address() }

// Drain stops accepting connections and waits for the open calls.
func (s *Service) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Stop closes the connections that are still open after Drain.
func (s *Service) Stop(context.Context) error { return s.server.Close() }
