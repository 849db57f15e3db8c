// Package httpserver runs the HTTP listener of a service.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// Server serves one handler on one listener. Listen or Serve is called once;
// the other methods may be used concurrently afterwards.
type Server struct {
	name     string
	log      zerolog.Logger
	server   *http.Server
	listener net.Listener
}

// New returns a server that is not listening yet. name tells the log whom the
// listener is for. The server must have its handler and timeouts set.
func New(name string, server *http.Server, log zerolog.Logger) *Server {
	return &Server{name: name, log: log, server: server}
}

// Listen opens address and serves it.
func (s *Server) Listen(ctx context.Context, address string) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s.Serve(listener)
	return nil
}

// Serve serves a listener that is open. It returns at once.
func (s *Server) Serve(listener net.Listener) {
	s.listener = listener
	s.log.Info().Str("for", s.name).Str("address", listener.Addr().String()).Msg("listener open")
	go s.serve()
}

func (s *Server) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Str("for", s.name).Msg("listener failed")
	}
}

// Address returns the address that the listener has; empty while there is
// none.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits for the calls under way, at
// most until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close ends the listener and all connections.
func (s *Server) Close() error { return s.server.Close() }
