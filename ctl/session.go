package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/fault"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

const (
	// attemptTimeout limits one attempt at one entry host, which itself allows
	// the platform 2 s for each step of a change.
	attemptTimeout = 10 * time.Second
	// roundDelay is the delay before all entry hosts are tried again.
	roundDelay = 300 * time.Millisecond
)

// session holds the state of one run of a command.
type session struct {
	settings    *Settings
	out         *output
	operatorKey string
	servers     []server
	// changeID identifies the change of this run in every attempt.
	changeID string
}

type server struct {
	url    string
	client fuchsiafrontv1connect.AdminServiceClient
}

func newSession(s *Settings, out *output) *session {
	run := &session{settings: s, out: out, changeID: s.ChangeID}
	if run.changeID == "" {
		run.changeID = "ctl-" + randomHex(16)
	}
	for _, url := range s.Servers {
		url = strings.TrimSuffix(url, "/")
		run.servers = append(run.servers, server{url, fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, url)})
	}
	if len(run.servers) > 0 {
		run.operatorKey = s.resolveOperatorKey()
	}
	return run
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// callKind tells whether a call changes state.
type callKind bool

const (
	readCall   callKind = false
	changeCall callKind = true
)

// attemptResult classifies a failed attempt.
type attemptResult int

const (
	// resultFinal means a refusal that is the same on every entry host.
	resultFinal attemptResult = iota
	// resultRetryable means that nothing was run, and another attempt may succeed.
	resultRetryable
	// resultUnknown means that the attempt may have taken effect.
	resultUnknown
)

// callError is the last error of a call, or the problems found in files.
type callError struct {
	source  string
	err     error
	refusal *wirev1.AdminRefusal
}

// Error returns the source and what it answered.
func (e *callError) Error() string {
	if e.refusal != nil && len(e.refusal.Problems) > 0 {
		return fmt.Sprintf("%s: not run: the resulting document has %d problems", e.source, len(e.refusal.Problems))
	}
	var connectErr *connect.Error
	if errors.As(e.err, &connectErr) {
		return e.source + ": " + connectErr.Message()
	}
	return e.source + ": " + e.err.Error()
}

func (e *callError) Unwrap() error { return e.err }

// method is a method expression of one API operation.
type method[Req, Resp any] func(fuchsiafrontv1connect.AdminServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call tries the entry hosts in turn, repeatedly, until one gives a final answer
// or --timeout has passed. Every attempt sends the same message with the same
// change identifier, so that a change whose reply was lost is not applied again.
func call[Req, Resp any](ctx context.Context, s *session, k callKind, invoke method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	var lastErr *callError
	inDoubt := false
	for {
		for _, server := range s.servers {
			if lastErr != nil && ctx.Err() != nil {
				break
			}
			resp, err := attempt(ctx, s, server, invoke, msg)
			if err == nil {
				return resp, nil
			}
			lastErr = &callError{server.url, err, refusalOf(err)}
			switch classifyFailure(k, err, lastErr.refusal) {
			case resultFinal:
				return nil, finalError(s, k, lastErr, inDoubt)
			case resultUnknown:
				inDoubt = true
			}
			s.out.printProgress("%v; trying again", lastErr)
		}
		select {
		case <-ctx.Done():
			return nil, retriesExhaustedError(s, k, lastErr, inDoubt)
		case <-time.After(roundDelay):
		}
	}
}

func attempt[Req, Resp any](ctx context.Context, s *session, server server, invoke method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+s.operatorKey)
	resp, err := invoke(server.client, ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func refusalOf(err error) *wirev1.AdminRefusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, d := range connectErr.Details() {
		value, err := d.Value()
		if r, ok := value.(*wirev1.AdminRefusal); ok && err == nil {
			return r
		}
	}
	return nil
}

// retryableReasons are reasons of refusals that may not apply to another entry
// host, or to the same one a little later.
var retryableReasons = []fault.Reason{
	fault.ReasonReplicaBehind, fault.ReasonNoState, fault.ReasonKeysNotCurrent, fault.ReasonPlatformDown,
	fault.ReasonPlatformBusy, fault.ReasonRingFull, fault.ReasonDraining, fault.ReasonMemberUnconfirmed,
	fault.ReasonDeadline,
}

func classifyFailure(k callKind, err error, r *wirev1.AdminRefusal) attemptResult {
	switch {
	case r == nil && mayHaveTakenEffect(k, err):
		return resultUnknown
	case r == nil && connect.CodeOf(err) == connect.CodeUnimplemented:
		return resultFinal
	case r == nil:
		return resultRetryable
	case r.Outcome != "not-run":
		return resultUnknown
	case slices.Contains(retryableReasons, fault.Reason(r.Reason)):
		return resultRetryable
	}
	return resultFinal
}

// mayHaveTakenEffect reports whether a failed attempt may have taken effect. A call
// whose connection could not be opened was never sent.
func mayHaveTakenEffect(k callKind, err error) bool {
	if k == readCall {
		return false
	}
	if r := refusalOf(err); r != nil {
		return r.Outcome != "not-run"
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// finalError returns the error of a final refusal. After an attempt whose outcome
// is unknown, only a conflict is conclusive: the attempt was conditional on a
// revision that is no longer in force, and a conflict is reported only if the
// change is not among the latest of the section.
func finalError(s *session, k callKind, lastErr *callError, inDoubt bool) error {
	conflict := connect.CodeOf(lastErr.err) == connect.CodeAborted
	switch {
	case conflict:
		return &exitError{exitConflict, lastErr}
	case inDoubt:
		return retriesExhaustedError(s, k, lastErr, true)
	}
	return &exitError{exitNotRun, lastErr}
}

func retriesExhaustedError(s *session, k callKind, lastErr *callError, inDoubt bool) error {
	switch {
	case inDoubt:
		return &exitError{exitUnknown, fault.New(&fault.Unknown, fault.ReasonConnectionLost, "call entry host", lastErr.source,
			"%w; repeat the command with --change-id %s to learn the outcome", lastErr, s.changeID)}
	case lastErr.refusal == nil && k == readCall:
		return &exitError{exitFailed, lastErr}
	}
	return &exitError{exitNotRun, lastErr}
}
