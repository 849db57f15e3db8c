package front

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/admission"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Headers of the protocol for callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Idempotent"
	headerTimeout        = "Request-Timeout-Ms"
	headerRequestID      = "Request-Id"
	headerOutcome        = "Outcome"
)

// requestIdentifier returns the identifier that the caller chose, or a new one.
func requestIdentifier(r *http.Request) (id string, fromCaller bool, err error) {
	values := r.Header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return newIdentifier(), false, nil
	}
	if len(values) > 1 || !admission.IsValidCallerID(values[0]) {
		// No attempt can be recorded under an invalid identifier.
		return newIdentifier(), false, malformedError("read header "+headerIdempotencyKey, "want one value of 1 to 128 letters, digits or -._~:@+=,")
	}
	return values[0], true, nil
}

func newIdentifier() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func malformedError(step, format string, args ...any) error {
	return fault.New(&fault.Invalid, fault.ReasonMalformed, step, "caller", format, args...)
}

// keyCheck returns the key presented with r and the staleness of the keys.
func (s *Service) keyCheck(r *http.Request) admission.KeyCheck {
	presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return admission.KeyCheck{
		Presented:    presented,
		Staleness:    s.clock().Sub(s.state.FreshAsOf()),
		MaxStaleness: s.settings.MaxKeyStaleness,
	}
}

// document returns the configuration, or nil when there is none yet.
func (s *Service) document() *document.Document {
	if view := s.state.View(); view != nil {
		return view.Document
	}
	return nil
}

func admissionError(d admission.Decision) error {
	if d.Refused == "" {
		return nil
	}
	return fault.New(&fault.NotRun, d.Refused, "admit work", "caller", "queue %q, team %q", d.Queue.Name, d.Team.Name)
}

func (s *Service) requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return s.settings.DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, malformedError("read header "+headerTimeout, "%q is not a positive number of milliseconds", text)
	}
	return min(time.Duration(ms)*time.Millisecond, s.settings.MaxTimeout), nil
}

// readBody reads the body, at most until timeout has passed.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err == nil {
		// The HTTP server keeps reading, to detect that the caller left.
		controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(&fault.Invalid, fault.ReasonBodyTooLarge, "read body", "caller", "the body exceeds %d bytes", s.settings.MaxBodyBytes)
	}
	return nil, malformedError("read body", "%w", err)
}
