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
	// roundPause is the pause after all entry hosts were tried.
	roundPause = 300 * time.Millisecond
)

// session is one run of a command.
type session struct {
	settings *Settings
	out      *output
	key      string
	servers  []server
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
		run.key = s.key()
	}
	return run
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// kind tells whether a call changes something.
type kind bool

const (
	reads        kind = false
	changesState kind = true
)

// verdict is what an attempt that failed leads to.
type verdict int

const (
	// final refusals are the same on every entry host.
	final verdict = iota
	// elsewhere means that nothing was run and another attempt may succeed.
	elsewhere
	// unknown means that the attempt may have taken effect.
	unknown
)

// refusedError is the last error of a call.
type refusedError struct {
	server  string
	err     error
	refusal *wirev1.AdminRefusal
}

// Error names the entry host and what it answered.
func (e *refusedError) Error() string {
	if e.refusal != nil && len(e.refusal.Problems) > 0 {
		return fmt.Sprintf("%s: not run: the document that would result has %d problems", e.server, len(e.refusal.Problems))
	}
	var refused *connect.Error
	if errors.As(e.err, &refused) {
		return e.server + ": " + refused.Message()
	}
	return e.server + ": " + e.err.Error()
}

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.err }

// method is one operation of the API as a method expression.
type method[Req, Resp any] func(fuchsiafrontv1connect.AdminServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call tries the entry hosts in turn, round after round, until one gives a
// final answer or the timeout has passed. Every attempt carries the same
// message, and with it the same change identifier, so that an attempt whose
// reply was lost is not applied again.
func call[Req, Resp any](ctx context.Context, s *session, k kind, do method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	var last *refusedError
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
			last = &refusedError{server.url, err, refusalOf(err)}
			switch judge(k, err, last.refusal) {
			case final:
				return nil, finalError(s, k, last, inDoubt)
			case unknown:
				inDoubt = true
			}
			s.out.progress("%v; trying again", last)
		}
		select {
		case <-ctx.Done():
			return nil, exhausted(s, k, last, inDoubt)
		case <-time.After(roundPause):
		}
	}
}

func attempt[Req, Resp any](ctx context.Context, s *session, server server, do method[Req, Resp], msg *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+s.key)
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

// passing are the reasons that another entry host, or the same one a little
// later, may not have.
var passing = []fault.Reason{
	fault.ReasonReplicaBehind, fault.ReasonNoState, fault.ReasonKeysNotCurrent, fault.ReasonPlatformDown,
	fault.ReasonPlatformBusy, fault.ReasonRingFull, fault.ReasonDraining, fault.ReasonMemberUnconfirmed,
	fault.ReasonDeadline,
}

func judge(k kind, err error, r *wirev1.AdminRefusal) verdict {
	switch {
	case r == nil && isUnknown(k, err):
		return unknown
	case r == nil && connect.CodeOf(err) == connect.CodeUnimplemented:
		return final
	case r == nil:
		return elsewhere
	case r.Outcome != "not-run":
		return unknown
	case slices.Contains(passing, fault.Reason(r.Reason)):
		return elsewhere
	}
	return final
}

// isUnknown reports whether an attempt without an answer may have taken
// effect. A call that found no connection was never sent.
func isUnknown(k kind, err error) bool {
	if k == reads {
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
func finalError(s *session, k kind, last *refusedError, inDoubt bool) error {
	conflict := connect.CodeOf(last.err) == connect.CodeAborted
	switch {
	case conflict:
		return &exitError{exitConflict, last}
	case inDoubt:
		return exhausted(s, k, last, true)
	}
	return &exitError{exitNotRun, last}
}

func exhausted(s *session, k kind, last *refusedError, inDoubt bool) error {
	switch {
	case inDoubt:
		return &exitError{exitUnknown, fault.New(&fault.Unknown, fault.ReasonConnectionLost, "call entry host", last.server,
			"%w; repeat the command with --change-id %s to learn the outcome", last, s.changeID)}
	case last.refusal == nil && k == reads:
		return &exitError{exitFailed, last}
	}
	return &exitError{exitNotRun, last}
}
