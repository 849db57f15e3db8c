package admin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

const stepApply = "apply"

// Apply changes all sections of the request or none.
func (h *handler) Apply(ctx context.Context, r *connect.Request[wirev1.ApplyRequest]) (*connect.Response[wirev1.ApplyResponse], error) {
	o, view, err := h.authenticateForChange(r.Header())
	if err != nil {
		return nil, h.refuse(stepApply, err)
	}
	p, err := planApply(o, view, r.Msg)
	if err != nil {
		return nil, h.refuse(stepApply, err)
	}
	if p.repeated || p.unchanged {
		return connect.NewResponse(&wirev1.ApplyResponse{Revision: p.revision, RepeatedSubmission: p.repeated, Unchanged: p.unchanged}), nil
	}
	result, err := h.changeDocument(ctx, o, view, stepApply, p.change)
	if err != nil {
		return nil, h.refuse(stepApply, err)
	}
	return connect.NewResponse(&wirev1.ApplyResponse{Revision: result.Revision, RepeatedSubmission: result.Repeated}), nil
}

// applyPlan is the decision on a call of Apply.
type applyPlan struct {
	// change is set unless the call is a repeat or changes nothing.
	change    revision.Change
	repeated  bool
	unchanged bool
	revision  uint64
}

// planApply decides a call against a view. A repeat is recognised before the
// call is checked against the document, which may have changed since.
func planApply(o document.Operator, view *services.View, msg *wirev1.ApplyRequest) (applyPlan, error) {
	if err := checkApply(o, msg); err != nil {
		return applyPlan{}, err
	}
	id := applyChangeID(msg)
	for _, c := range msg.Changes {
		if at, ok := revisionOfChange(view, services.PartSectionPrefix+c.Name, id); ok {
			return applyPlan{repeated: true, revision: at}, nil
		}
	}
	changes := withoutUnchanged(view, msg.Changes)
	if len(changes) == 0 {
		return applyPlan{unchanged: true, revision: view.Revision}, nil
	}
	if err := checkRevisions(view, changes); err != nil {
		return applyPlan{}, err
	}
	if err := validateResult(view, changes); err != nil {
		return applyPlan{}, err
	}
	change := revision.Change{ID: id}
	for _, c := range changes {
		change.Updates = append(change.Updates, sectionUpdate(view, c))
	}
	return applyPlan{change: change}, nil
}

// checkApply checks the fields of the call and the operator's permission.
func checkApply(o document.Operator, msg *wirev1.ApplyRequest) error {
	if msg.ChangeId == "" {
		return malformed(stepApply, "change_id", "", "an identifier chosen by the submitter")
	}
	if len(msg.Changes) == 0 {
		return malformed(stepApply, "changes", "", "at least one section")
	}
	seen := make(map[string]bool, len(msg.Changes))
	for _, c := range msg.Changes {
		if seen[c.Name] {
			return malformed(stepApply, "changes", c.Name, "each section at most once")
		}
		seen[c.Name] = true
		if err := checkMayChangeSection(o, stepApply, c.Name); err != nil {
			return err
		}
	}
	return nil
}

// revisionOfChange returns the revision of a part's change, if the part still
// records it.
func revisionOfChange(view *services.View, part, changeID string) (uint64, bool) {
	for _, applied := range view.State.Parts[part].Changes {
		if applied.ChangeID == changeID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// sectionText returns the text of a section, or "" if there is none.
func sectionText(view *services.View, section string) string {
	return string(view.State.Parts[services.PartSectionPrefix+section].Data)
}

// withoutUnchanged leaves out the changes whose text is already in force.
func withoutUnchanged(view *services.View, changes []*wirev1.SectionChange) []*wirev1.SectionChange {
	return slices.DeleteFunc(slices.Clone(changes), func(c *wirev1.SectionChange) bool {
		current := sectionText(view, c.Name)
		if c.Delete {
			return current == ""
		}
		return current == c.Yaml
	})
}

// sectionRevision returns the revision on which a change of a section must be
// based; zero for a section that never existed or is deleted.
func sectionRevision(view *services.View, section string) uint64 {
	part := view.State.Parts[services.PartSectionPrefix+section]
	if len(part.Data) == 0 {
		return 0
	}
	return part.Revision
}

func checkRevisions(view *services.View, changes []*wirev1.SectionChange) error {
	conflict := &conflictError{}
	for _, c := range changes {
		current := sectionRevision(view, c.Name)
		if c.IfRevision > view.Revision {
			return fault.New(&fault.NotRun, fault.ReasonReplicaBehind, stepApply, c.Name,
				"the change is based on revision %d, which is later than revision %d of this host; submit it again", c.IfRevision, view.Revision)
		}
		if current == c.IfRevision {
			continue
		}
		conflict.current = append(conflict.current, &wirev1.SectionRevision{Name: c.Name, Revision: current})
		conflict.text += fmt.Sprintf("section %q is at revision %d, but the change is based on revision %d; ", c.Name, current, c.IfRevision)
	}
	if len(conflict.current) == 0 {
		return nil
	}
	conflict.text += "repeat the change from the current text"
	return fault.New(&fault.NotRun, fault.ReasonConflict, stepApply, conflict.current[0].Name, "%w", conflict)
}

// validateResult decodes the changed sections and validates the whole document
// that results.
func validateResult(view *services.View, changes []*wirev1.SectionChange) error {
	after := &document.Document{Sections: maps.Clone(view.Document.Sections)}
	locators := make(map[string]yamldoc.Locator, len(changes))
	var problems []*wirev1.DocumentProblem
	for _, c := range changes {
		if c.Delete {
			delete(after.Sections, c.Name)
			continue
		}
		section, err := yamldoc.Decode(c.Name, []byte(c.Yaml))
		if err != nil {
			problems = append(problems, decodeProblem(c.Name, err))
			continue
		}
		after.Sections[c.Name] = section
		locators[c.Name] = yamldoc.Locate([]byte(c.Yaml))
	}
	if len(problems) > 0 {
		return invalidDocument(problems)
	}
	found := append(document.Validate(after), document.CheckOwnership(view.Document, after)...)
	for _, p := range found {
		problems = append(problems, problemToWire(p, locators[p.Section]))
	}
	if len(problems) > 0 {
		return invalidDocument(problems)
	}
	return nil
}

func invalidDocument(problems []*wirev1.DocumentProblem) error {
	return fault.New(&fault.Invalid, fault.ReasonMalformed, stepApply, problems[0].Section, "%w", &documentError{problems})
}

func problemToWire(p document.Problem, l yamldoc.Locator) *wirev1.DocumentProblem {
	return &wirev1.DocumentProblem{
		Section: p.Section,
		Field:   p.Field,
		Line:    int32(l.Line(p.Field)),
		Value:   p.Value,
		Allowed: p.Allowed,
	}
}

// sectionUpdate returns the update of one section. A deleted section remains as
// a part without data, so an update that creates it again names its revision.
func sectionUpdate(view *services.View, c *wirev1.SectionChange) revision.Update {
	part := services.PartSectionPrefix + c.Name
	u := revision.Update{Part: part, IfRevision: c.IfRevision}
	if c.IfRevision == 0 {
		u.IfRevision = view.State.Parts[part].Revision
	}
	if !c.Delete {
		u.Data = []byte(c.Yaml)
	}
	return u
}

// changeDocument commits a change of sections that was validated against view.
// The update of PartDocument makes it conditional on every other section. That
// update comes last, so that a conflict of a section that the change names is
// reported as such.
func (h *handler) changeDocument(ctx context.Context, o document.Operator, view *services.View, step string, c revision.Change) (services.ChangeResult, error) {
	c.Updates = append(c.Updates, revision.Update{
		Part:       services.PartDocument,
		IfRevision: view.State.Parts[services.PartDocument].Revision,
		Data:       []byte(c.ID),
	})
	result, err := h.service.state.Change(ctx, c)
	if err != nil {
		return result, convertDocumentConflict(step, err)
	}
	h.service.log.Info().Str("step", step).Str("operator", o.Name).Str("change", c.ID).
		Uint64("revision", result.Revision).Bool("repeated", result.Repeated).Msg("document changed")
	return result, nil
}

// convertDocumentConflict converts a conflict with the rest of the document,
// after which the same change may be submitted again. Conflicts of the sections
// that the change names, and other errors, are returned as they are.
func convertDocumentConflict(step string, err error) error {
	f, ok := fault.As(err)
	if !ok || f.Reason != fault.ReasonConflict || f.Peer != services.PartDocument {
		return err
	}
	return fault.New(&fault.NotRun, fault.ReasonReplicaBehind, step, f.Peer,
		"another section changed at the same time, so the whole document must be validated again; submit the change again")
}

// GetDocument returns the named sections, or all if none is named.
func (h *handler) GetDocument(_ context.Context, r *connect.Request[wirev1.GetDocumentRequest]) (*connect.Response[wirev1.GetDocumentResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("get document", err)
	}
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
