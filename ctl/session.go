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
	// attemptTimeout bounds one attempt at one entry host, which itself
	// gives the platform 2 s for each step of a change.
	attemptTimeout = 10 * time.Second
	// roundDelay is the pause after all entry hosts were tried.
	roundDelay = 300 * time.Millisecond
)

// session is one run of a command.
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

// callKind tells whether a call changes something.
type callKind bool

const (
	readCall   callKind = false
	changeCall callKind = true
)

// attemptResult is what an attempt that failed leads to.
type attemptResult int

const (
	// resultFinal refusals are the same on every entry host.
	resultFinal attemptResult = iota
	// resultRetryable means that nothing was run and another attempt may succeed.
	resultRetryable
	// resultUnknown means that the attempt may have taken effect.
	resultUnknown
)

// callError is the last error of a call.
type callError struct {
	source  string
	err     error
	refusal *wirev1.AdminRefusal
}

// Error names the entry host and what it answered.
func (e *callError) Error() string {
	if e.refusal != nil && len(e.refusal.Problems) > 0 {
		return fmt.Sprintf("%s: not run: the document that would result has %d problems", e.source, len(e.refusal.Problems))
	}
	var refused *connect.Error
	if errors.As(e.err, &refused) {
		return e.source + ": " + refused.Message()
	}
	return e.source + ": " + e.err.Error()
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.err }

// method is one operation of the API as a method expression.
type method[Req, Resp any] func(fuchsiafrontv1connect.AdminServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call tries the entry hosts in turn, round after round, until one gives a
// final answer or the timeout has passed. Every attempt carries the same
// message, and with it the same change identifier, so that an attempt whose
// reply was lost is not applied again.
func call[Req, Resp any](ctx context.Context, s *session, k callKind, do method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	var last *callError
	inDoubt := false
	for {
		for _, server := range s.servers {
			if last != nil && ctx.Err() != nil {
				break
			}
			resp, err := attempt(ctx, s, server, do, msg)
			if err == nil {
				return resp, nil
			}
			last = &callError{server.url, err, refusalOf(err)}
			switch classifyFailure(k, err, last.refusal) {
			case resultFinal:
				return nil, finalError(s, k, last, inDoubt)
			case resultUnknown:
				inDoubt = true
			}
			s.out.printProgress("%v; trying again", last)
		}
		select {
		case <-ctx.Done():
			return nil, retriesExhaustedError(s, k, last, inDoubt)
		case <-time.After(roundDelay):
		}
	}
}

func attempt[Req, Resp any](ctx context.Context, s *session, server server, do method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+s.operatorKey)
	resp, err := do(server.client, ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func refusalOf(err error) *wirev1.AdminRefusal {
	var refused *connect.Error
	if !errors.As(err, &refused) {
		return nil
	}
	for _, d := range refused.Details() {
		value, err := d.Value()
		if r, ok := value.(*wirev1.AdminRefusal); ok && err == nil {
			return r
		}
	}
	return nil
}

// retryableReasons are the reasons that another entry host, or the same one a little
// later, may not have.
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

// mayHaveTakenEffect reports whether an attempt without an answer may have taken
// effect. A call that found no connection was never sent.
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

// finalError returns the error of a final refusal. After an attempt in doubt
// only a conflict is certain: the attempt was conditional on a revision that
// is gone, and a conflict is reported only when the change is not among the
// latest of the section.
func finalError(s *session, k callKind, last *callError, inDoubt bool) error {
	conflict := connect.CodeOf(last.err) == connect.CodeAborted
	switch {
	case conflict:
		return &exitError{exitConflict, last}
	case inDoubt:
		return retriesExhaustedError(s, k, last, true)
	}
	return &exitError{exitNotRun, last}
}

func retriesExhaustedError(s *session, k callKind, last *callError, inDoubt bool) error {
	switch {
	case inDoubt:
		return &exitError{exitUnknown, fault.New(&fault.Unknown, fault.ReasonConnectionLost, "call entry host", last.source,
			"%w; repeat the command with --change-id %s to learn the outcome", last, s.changeID)}
	case last.refusal == nil && k == readCall:
		return &exitError{exitFailed, last}
	}
	return &exitError{exitNotRun, last}
}
