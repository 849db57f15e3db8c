package admin

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// handler implements the operators' API.
type handler struct {
	fuchsiafrontv1connect.UnimplementedAdminServiceHandler
	service *Service
}

// operator authenticates the operator of a call.
func (h *handler) operator(header interface{ Get(string) string }) (document.Operator, error) {
	const step = "check operator key"
	view := h.service.state.View()
	if view == nil {
		return document.Operator{}, fault.New(&fault.NotRun, fault.ReasonNoState, step, "", "this host has no configuration yet")
	}
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	operators := view.Document.Operators()
	if len(operators) == 0 {
		operators = []document.Operator{h.service.settings.Bootstrap}
	}
	o, reason := keyring.Operator(operators, key)
	if reason != "" {
		return document.Operator{}, fault.New(&fault.NotRun, reason, step, "operator", "the operator key is not accepted")
	}
	return o, nil
}

// Apply changes sections, all of them or none.
func (h *handler) Apply(ctx context.Context, r *connect.Request[wirev1.ApplyRequest]) (*connect.Response[wirev1.ApplyResponse], error) {
	o, err := h.operator(r.Header())
	if err != nil {
		return nil, h.refuse("apply", err)
	}
	change, err := changeOf(o, r.Msg)
	if err != nil {
		return nil, h.refuse("apply", err)
	}
	result, err := h.service.state.Change(ctx, change)
	if err != nil {
		return nil, h.refuse("apply", err)
	}
	return connect.NewResponse(&wirev1.ApplyResponse{Revision: result.Revision, RepeatedSubmission: result.Repeated}), nil
}

func changeOf(o document.Operator, msg *wirev1.ApplyRequest) (revision.Change, error) {
	change := revision.Change{ID: msg.ChangeId}
	if change.ID == "" || len(msg.Changes) == 0 {
		return change, fault.New(&fault.Invalid, fault.ReasonMalformed, "apply", "operator", "a change needs an identifier and a section")
	}
	for _, c := range msg.Changes {
		if !keyring.MayChange(o, c.Name) {
			return change, fault.New(&fault.NotRun, fault.ReasonNotPermitted, "apply", c.Name, "operator %q may not change this section", o.Name)
		}
		update := revision.Update{Part: services.PartSectionPrefix + c.Name, IfRevision: c.IfRevision}
		if !c.Delete {
			section, err := yamldoc.Decode(c.Name, []byte(c.Yaml))
			if err != nil {
				return change, err
			}
			if section.Name != c.Name {
				return change, fault.New(&fault.Invalid, fault.ReasonMalformed, "apply", c.Name, "the text declares section %q", section.Name)
			}
			update.Data = []byte(c.Yaml)
		}
		change.Updates = append(change.Updates, update)
	}
	return change, nil
}

// GetDocument returns the sections named, or all of them.
func (h *handler) GetDocument(_ context.Context, r *connect.Request[wirev1.GetDocumentRequest]) (*connect.Response[wirev1.GetDocumentResponse], error) {
	if _, err := h.operator(r.Header()); err != nil {
		return nil, h.refuse("get document", err)
	}
	view := h.service.state.View()
	resp := &wirev1.GetDocumentResponse{Revision: view.Revision}
	for name, part := range view.State.Parts {
		section, ok := strings.CutPrefix(name, services.PartSectionPrefix)
		if !ok || len(part.Data) == 0 {
			continue
		}
		if len(r.Msg.Sections) > 0 && !slices.Contains(r.Msg.Sections, section) {
			continue
		}
		resp.Sections = append(resp.Sections, &wirev1.SectionRevision{Name: section, Revision: part.Revision, Yaml: string(part.Data)})
	}
	slices.SortFunc(resp.Sections, func(a, b *wirev1.SectionRevision) int { return strings.Compare(a.Name, b.Name) })
	return connect.NewResponse(resp), nil
}

// refuse counts a refusal and converts it to a connect error.
func (h *handler) refuse(step string, err error) error {
	reason := fault.ReasonOf(err)
	h.service.metrics.Refused(step, reason)
	h.service.log.Info().Err(err).Str("step", step).Msg("operator's call refused")
	return connect.NewError(codeOf(reason, err), err)
}

func codeOf(reason fault.Reason, err error) connect.Code {
	if !fault.IsNotRun(err) {
		return connect.CodeUnknown
	}
	switch reason {
	case fault.ReasonNoKey, fault.ReasonWrongKey, fault.ReasonWithdrawnKey:
		return connect.CodeUnauthenticated
	case fault.ReasonNotPermitted:
		return connect.CodePermissionDenied
	case fault.ReasonMalformed:
		return connect.CodeInvalidArgument
	case fault.ReasonConflict:
		return connect.CodeAborted
	case fault.ReasonUnknownHost, fault.ReasonUnknownQueue, fault.ReasonUnknownJob:
		return connect.CodeNotFound
	case fault.ReasonBudget:
		return connect.CodeFailedPrecondition
	}
	return connect.CodeUnavailable
}
