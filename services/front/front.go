// Package front serves callers over HTTP.
//
// The handlers decode requests, pass them to other services, wait, and encode
// the answers. They make no decisions: decision/admission decides who is admitted
// and what a refusal may state.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/httpserver"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// lookupTimeout limits the read of a claim, a job or an object for one
	// answer.
	lookupTimeout = 2 * time.Second
)

// Settings configures the service.
type Settings struct {
	// Address is the address to listen on, as IP:port.
	Address string
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
	// DefaultTimeout applies to requests without a timeout; MaxTimeout limits
	// the timeouts of the others.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// MaxKeyStaleness is the maximum staleness of the keys at which work with a
	// key is accepted.
	MaxKeyStaleness time.Duration
	// ReadinessDelay is the time between reporting not-ready and refusing new
	// connections, in which the load balancer diverts callers to other hosts.
	ReadinessDelay time.Duration
}

// Service is the HTTP server for callers.
type Service struct {
	settings Settings
	clock    services.Clock
	log      zerolog.Logger

	state      services.State
	dispatcher services.Dispatcher
	claims     services.Claims
	jobs       services.Jobs
	objects    services.Objects
	metrics    services.Metrics
	readiness  services.Readiness

	server   *httpserver.Server
	draining atomic.Bool
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	if err := s.lookup(c); err != nil {
		return err
	}
	s.server = httpserver.New("callers", &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, c.Log)
	return nil
}

func (s *Service) lookup(c *kernel.Context) (err error) {
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.dispatcher, err = kernel.Lookup[services.Dispatcher](c, services.NameDispatch); err != nil {
		return err
	}
	if s.claims, err = kernel.Lookup[services.Claims](c, services.NameClaims); err != nil {
		return err
	}
	if s.jobs, err = kernel.Lookup[services.Jobs](c, services.NameJobs); err != nil {
		return err
	}
	if s.objects, err = kernel.Lookup[services.Objects](c, services.NamePlatform); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil {
		return err
	}
	s.readiness, err = kernel.Lookup[services.Readiness](c, services.NameAdmin)
	return err
}

// handler routes by path first, to distinguish a wrong method from an unknown
// path.
func (s *Service) handler() http.Handler {
	routes := []struct {
		path    string
		methods map[string]http.HandlerFunc
	}{
		{"/v1/queues/{queue}/requests", map[string]http.HandlerFunc{http.MethodPost: s.postRequest}},
		{"/v1/requests/{id}", map[string]http.HandlerFunc{http.MethodGet: s.getRequest}},
		{"/v1/queues/{queue}/jobs", map[string]http.HandlerFunc{http.MethodPost: s.postJob}},
		{"/v1/jobs/{id}", map[string]http.HandlerFunc{http.MethodGet: s.getJob, http.MethodDelete: s.deleteJob}},
		{"/v1/jobs/{id}/result", map[string]http.HandlerFunc{http.MethodGet: s.getResult}},
	}
	mux := http.NewServeMux()
	for _, route := range routes {
		for method, handle := range route.methods {
			mux.HandleFunc(method+" "+route.path, handle)
		}
		mux.HandleFunc(route.path, func(w http.ResponseWriter, r *http.Request) {
			for method := range route.methods {
				w.Header().Add("Allow", method)
			}
			s.refuse(w, refusedWork{err: fault.New(&fault.Invalid, fault.ReasonWrongMethod, "route", "caller", "method %s is not allowed for path %q", r.Method, r.URL.Path)})
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, refusedWork{err: fault.New(&fault.Invalid, fault.ReasonUnknownPath, "route", "caller", "unknown path %q", r.URL.Path)})
	})
	return s.closeWhileDraining(mux)
}

// closeWhileDraining makes callers open a new connection, to another host, for
// their next request, so that a drain closes no connection on which a request
// is about to arrive.
func (s *Service) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Start opens the listener and reports ready.
func (s *Service) Start(ctx context.Context) error {
	if err := s.server.Listen(ctx, s.settings.Address); err != nil {
		return err
	}
	s.readiness.SetReady(true)
	return nil
}

// Drain reports not-ready, gives the load balancer time to react, then stops
// accepting connections and waits for the requests in progress.
func (s *Service) Drain(ctx context.Context) error {
	s.readiness.SetReady(false)
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.ReadinessDelay):
	}
	return s.server.Shutdown(ctx)
}

// Stop closes the connections that a drain left open.
func (s *Service) Stop(context.Context) error { return s.server.Close() }
