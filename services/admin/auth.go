package admin

import (
	"net/http"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// handler implements the operators' API.
type handler struct {
	fuchsiafrontv1connect.UnimplementedAdminServiceHandler
	service *Service
}

// authenticate authenticates the operator of a call that changes nothing. Such
// calls are answered however stale the keys are, so that operators can inspect
// a host that is cut off.
func (h *handler) authenticate(header http.Header) (document.Operator, *services.View, error) {
	const step = "check operator key"
	view := h.service.state.View()
	if view == nil {
		return document.Operator{}, nil, fault.New(&fault.NotRun, fault.ReasonNoState, step, "", "this host has no configuration yet")
	}
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	o, reason := keyring.AuthenticateOperator(h.service.operators(view), key)
	if reason != "" {
		return document.Operator{}, nil, fault.New(&fault.NotRun, reason, step, "operator", "the operator key is not accepted")
	}
	return o, view, nil
}

// operators returns the operators of the document, or the bootstrap operator
// while the document declares none.
func (s *Service) operators(view *services.View) []document.Operator {
	if declared := view.Document.Operators(); len(declared) > 0 {
		return declared
	}
	if s.settings.Bootstrap.Name == "" {
		return nil
	}
	return []document.Operator{s.settings.Bootstrap}
}

// authenticateForChange authenticates the operator of a call that changes
// something. It requires fresh keys, because a withdrawn operator key must not
// change anything on a host that has not received the withdrawal.
func (h *handler) authenticateForChange(header http.Header) (document.Operator, *services.View, error) {
	o, view, err := h.authenticate(header)
	if err != nil {
		return o, nil, err
	}
	if staleness, known := h.service.staleness(); !known || staleness > h.service.settings.MaxKeyStaleness {
		return o, nil, fault.New(&fault.NotRun, fault.ReasonKeysNotCurrent, "check operator key", "",
			"the keys have not been known to be fresh for %v; want at most %v", staleness.Round(time.Millisecond), h.service.settings.MaxKeyStaleness)
	}
	return o, view, nil
}

// staleness returns the time since the replica was last known to be fresh. If
// it never was, it returns the time since the start and false.
func (s *Service) staleness() (staleness time.Duration, known bool) {
	asOf := s.state.FreshAsOf()
	if asOf.IsZero() {
		return s.clock().Sub(s.startedAt), false
	}
	return s.clock().Sub(asOf), true
}

// authenticateForHostChange authenticates the operator of a host operation.
func (h *handler) authenticateForHostChange(header http.Header, step, host string) (document.Operator, *services.View, error) {
	o, view, err := h.authenticateForChange(header)
	if err != nil {
		return o, nil, err
	}
	return o, view, checkMayChangeHosts(o, step, host)
}

func checkMayChangeHosts(o document.Operator, step, host string) error {
	if o.Hosts {
		return nil
	}
	return fault.New(&fault.NotRun, fault.ReasonNotPermitted, step, host, "operator %q may not change hosts; want an operator with hosts: true", o.Name)
}

func checkMayChangeSection(o document.Operator, step, section string) error {
	if keyring.MayChange(o, section) {
		return nil
	}
	return fault.New(&fault.NotRun, fault.ReasonNotPermitted, step, section, "operator %q may not change this section; its patterns are %s",
		o.Name, strings.Join(o.Sections, " "))
}
