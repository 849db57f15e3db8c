// Package admin serves operators over connect, and health, readiness and
// metrics over plain HTTP.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// Settings of the service.
type Settings struct {
	// Address to listen on, IP:port.
	Address string
	// Bootstrap is the operator that may change everything while the
	// document declares no operators.
	Bootstrap document.Operator
}

// Service is the operators' listener.
type Service struct {
	settings Settings
	log      zerolog.Logger

	state   services.State
	metrics services.Metrics

	ready    atomic.Bool
	server   *http.Server
	listener net.Listener
}

// New returns the service.
func New(s Settings) *Service { return &Service{settings: s} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(fuchsiafrontv1connect.NewAdminServiceHandler(&handler{service: s}))
	mux.Handle("GET /metrics", s.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// readyz answers 200 while callers may be sent here.
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
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.settings.Address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.log.Info().Str("address", listener.Addr().String()).Msg("operators' listener open")
	go s.serve()
	return nil
}

func (s *Service) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Msg("operators' listener failed")
	}
}

// Drain stops accepting connections and waits for the calls under way.
func (s *Service) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Stop closes what a drain left open.
func (s *Service) Stop(context.Context) error { return s.server.Close() }
