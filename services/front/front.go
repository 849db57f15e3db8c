// Package front serves callers over HTTP.
//
// Handlers decode, post to other services, wait, and encode; every decision is
// made elsewhere.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// Settings of the service.
type Settings struct {
	// Address to listen on, IP:port.
	Address string
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// DefaultTimeout applies to requests that name none; MaxTimeout bounds
	// what they may name.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// KeyCurrency is the longest time without proof that the keys are
	// current for which keyed work is accepted.
	KeyCurrency time.Duration
	// ReadinessDelay is the time between reporting not-ready and refusing
	// new connections, in which the balancer sends callers elsewhere.
	ReadinessDelay time.Duration
}

// Service is the callers' listener.
type Service struct {
	settings Settings
	clock    services.Clock
	log      zerolog.Logger

	state      services.State
	dispatcher services.Dispatcher
	metrics    services.Metrics
	readiness  services.Readiness

	server   *http.Server
	listener net.Listener
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.dispatcher, err = kernel.Lookup[services.Dispatcher](c, services.NameDispatch); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil {
		return err
	}
	if s.readiness, err = kernel.Lookup[services.Readiness](c, services.NameAdmin); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", s.postRequest)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// Start opens the listener.
func (s *Service) Start(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.settings.Address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.log.Info().Str("address", listener.Addr().String()).Msg("callers' listener open")
	go s.serve()
	s.readiness.SetReady(true)
	return nil
}

func (s *Service) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Msg("callers' listener failed")
	}
}

// Drain reports not-ready, gives the balancer time to react, then stops
// accepting connections and waits for the requests under way.
func (s *Service) Drain(ctx context.Context) error {
	s.readiness.SetReady(false)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.ReadinessDelay):
	}
	return s.server.Shutdown(ctx)
}

// Stop closes what a drain left open.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

func (s *Service) postRequest(w http.ResponseWriter, r *http.Request) {
	req, err := s.decode(w, r)
	if err != nil {
		s.refuse(w, req, err)
		return
	}
	reply, err := s.dispatcher.Submit(r.Context(), req)
	if err != nil {
		s.refuse(w, req, err)
		return
	}
	writeReply(w, req, reply)
}

// decode authenticates and reads a request. The request is returned also with
// an error, as far as it was read.
func (s *Service) decode(w http.ResponseWriter, r *http.Request) (*services.Request, error) {
	req := &services.Request{
		ID:          r.Header.Get(headerIdempotencyKey),
		Idempotent:  r.Header.Get(headerIdempotent) == "true",
		ContentType: r.Header.Get("Content-Type"),
	}
	req.CallerID = req.ID != ""
	if !req.CallerID {
		req.ID = newRequestID()
	}
	if err := s.admit(r, req); err != nil {
		return req, err
	}
	timeout, err := s.timeout(r)
	if err != nil {
		return req, err
	}
	req.Deadline = s.clock().Add(timeout)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err != nil {
		return req, bodyError(err, s.settings.MaxBodyBytes)
	}
	req.Body = body
	return req, nil
}

func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(&fault.NotRun, fault.ReasonBodyTooLarge, "read body", "caller", "the body is over %d bytes", limit)
	}
	return fault.New(&fault.NotRun, fault.ReasonMalformed, "read body", "caller", "%w", err)
}

func (s *Service) timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return s.settings.DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fault.New(&fault.NotRun, fault.ReasonMalformed, "read header "+headerTimeout, "caller",
			"%q is not a positive number of milliseconds", text)
	}
	return min(time.Duration(ms)*time.Millisecond, s.settings.MaxTimeout), nil
}

// admit looks up the queue and checks the key that came with the request.
func (s *Service) admit(r *http.Request, req *services.Request) error {
	const step = "admit request"
	view := s.state.View()
	if view == nil {
		return fault.New(&fault.NotRun, fault.ReasonNoState, step, "", "this host has no configuration yet")
	}
	name := r.PathValue("queue")
	queue, ok := view.Document.Queue(name)
	if !ok {
		return fault.New(&fault.NotRun, fault.ReasonUnknownQueue, step, "caller", "there is no queue %q", name)
	}
	team, ok := view.Document.Team(queue.Team)
	if !ok {
		return fault.New(&fault.NotRun, fault.ReasonUnknownQueue, step, "caller", "queue %q has no team", name)
	}
	if err := s.admitKey(team, queue, bearer(r)); err != nil {
		return err
	}
	req.Team, req.Queue, req.Share, req.Limit = team.Name, queue, team.Share, team.Limit
	return nil
}

func (s *Service) admitKey(team document.Team, queue document.Queue, key string) error {
	const step = "check key"
	if key != "" || !queue.Open {
		if age := s.clock().Sub(s.state.CurrentSince()); age > s.settings.KeyCurrency {
			return fault.New(&fault.NotRun, fault.ReasonKeysNotCurrent, step, "", "no proof for %v that the keys are current", age.Round(time.Millisecond))
		}
	}
	admission := keyring.Admit(team, queue, key)
	if admission.Refused != "" {
		return fault.New(&fault.NotRun, admission.Refused, step, "caller", "the key does not admit work to queue %q", queue.Name)
	}
	return nil
}

func newRequestID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
