package admin

import (
	"errors"
	"strings"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// Outcomes of a refused call.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// documentError holds the problems of a document.
type documentError struct {
	problems []*wirev1.DocumentProblem
}

// Error returns all problems, separated by semicolons.
func (e *documentError) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = document.Problem{Section: p.Section, Field: p.Field, Value: p.Value, Allowed: p.Allowed}.String()
	}
	return strings.Join(lines, "; ")
}

// conflictError holds the current revisions of the sections that are not at the
// revision on which a change is based.
type conflictError struct {
	current []*wirev1.SectionRevision
	text    string
}

// Error returns the sections and revisions that differ.
func (e *conflictError) Error() string { return e.text }

// decodeProblem returns the problem of a section that cannot be decoded.
func decodeProblem(section string, err error) *wirev1.DocumentProblem {
	p := &wirev1.DocumentProblem{Section: section, Value: err.Error(), Allowed: "YAML of one section"}
	var lineErr *yamldoc.LineError
	if errors.As(err, &lineErr) {
		p.Line, p.Value = int32(lineErr.Line), lineErr.Text
	}
	return p
}

// refuse counts and logs a refusal and converts it to a connect error whose
// detail is an AdminRefusal.
func (h *handler) refuse(step string, err error) error {
	reason := fault.ReasonOf(err)
	h.service.metrics.CountRefusal(step, reason)
	h.service.log.Info().Err(err).Str("step", step).Str("reason", string(reason)).Msg("operator's call refused")
	refused := connect.NewError(connectCode(reason, err), err)
	if detail, detailErr := connect.NewErrorDetail(refusalDetail(step, reason, err)); detailErr == nil {
		refused.AddDetail(detail)
	}
	return refused
}

func refusalDetail(step string, reason fault.Reason, err error) *wirev1.AdminRefusal {
	r := &wirev1.AdminRefusal{Outcome: outcomeUnknown, Reason: string(reason), Step: step, Detail: err.Error()}
	if f, ok := fault.As(err); ok {
		r.Step, r.Peer, r.Detail = f.Step, f.Peer, f.Err.Error()
	}
	if fault.IsNotRun(err) {
		r.Outcome = outcomeNotRun
	}
	var invalid *documentError
	if errors.As(err, &invalid) {
		r.Problems = invalid.problems
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		r.Present = conflict.current
	}
	return r
}

func connectCode(reason fault.Reason, err error) connect.Code {
	if !fault.IsNotRun(err) {
		return connect.CodeUnknown
	}
	if f, _ := fault.As(err); f.Class == &fault.Invalid {
		return connect.CodeInvalidArgument
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
	case fault.ReasonAvailabilityBudget, fault.ReasonStaleHostList:
		return connect.CodeFailedPrecondition
	case fault.ReasonUnsupported:
		return connect.CodeUnimplemented
	}
	return connect.CodeUnavailable
}

// malformed returns the fault of a call with a field that is not allowed.
func malformed(step, field, value, allowed string) error {
	return fault.New(&fault.Invalid, fault.ReasonMalformed, step, "operator", "%s %q is not allowed; want %s", field, value, allowed)
}
