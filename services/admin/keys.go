package admin

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// CreateKey adds the stored form of a key to a team.
func (h *handler) CreateKey(ctx context.Context, r *connect.Request[wirev1.CreateKeyRequest]) (*connect.Response[wirev1.CreateKeyResponse], error) {
	const step = "create key"
	key := document.Key{ID: r.Msg.KeyId, Salt: r.Msg.Salt, Hash: r.Msg.Hash}
	result, err := h.changeKey(ctx, r, step, keyChange{
		changeID: r.Msg.ChangeId, team: r.Msg.Team, keyID: r.Msg.KeyId,
		content: []string{step, r.Msg.Team, key.ID, key.Salt, key.Hash},
		isApplied: func(present document.Key, found bool) (bool, error) {
			if !found || (present.Salt == key.Salt && present.Hash == key.Hash) {
				return found, nil
			}
			return false, fault.New(&fault.NotRun, fault.ReasonConflict, step, r.Msg.Team, "the team has another key with identifier %q", key.ID)
		},
		edit: func(text []byte) ([]byte, error) { return yamldoc.AddKey(text, r.Msg.Team, key) },
	})
	if err != nil {
		return nil, h.refuse(step, err)
	}
	return connect.NewResponse(&wirev1.CreateKeyResponse{Revision: result.Revision, RepeatedSubmission: result.Repeated}), nil
}

// WithdrawKey marks a key of a team as withdrawn. The answer means that the
// withdrawal is accepted; Rollout tells when it is in force everywhere.
func (h *handler) WithdrawKey(ctx context.Context, r *connect.Request[wirev1.WithdrawKeyRequest]) (*connect.Response[wirev1.WithdrawKeyResponse], error) {
	const step = "withdraw key"
	result, err := h.changeKey(ctx, r, step, keyChange{
		changeID: r.Msg.ChangeId, team: r.Msg.Team, keyID: r.Msg.KeyId,
		content: []string{step, r.Msg.Team, r.Msg.KeyId},
		isApplied: func(present document.Key, found bool) (bool, error) {
			if !found {
				return false, malformed(step, "key_id", r.Msg.KeyId, "the identifier of a key of team "+r.Msg.Team)
			}
			return present.Withdrawn, nil
		},
		edit: func(text []byte) ([]byte, error) { return yamldoc.WithdrawKey(text, r.Msg.Team, r.Msg.KeyId) },
	})
	if err != nil {
		return nil, h.refuse(step, err)
	}
	return connect.NewResponse(&wirev1.WithdrawKeyResponse{Revision: result.Revision, RepeatedSubmission: result.Repeated}), nil
}

// keyChange is a change of one key of a team.
type keyChange struct {
	changeID, team, keyID string
	// content tells the change apart from others with the same identifier.
	content []string
	// isApplied reports whether the document already holds the change.
	isApplied func(present document.Key, found bool) (bool, error)
	edit      func(text []byte) ([]byte, error)
}

// changeKey edits the section that declares the team. The edit does not
// depend on the rest of the section, so every conflict may be submitted again.
func (h *handler) changeKey(ctx context.Context, r connect.AnyRequest, step string, c keyChange) (services.ChangeResult, error) {
	o, view, err := h.authenticateForChange(r.Header())
	if err != nil {
		return services.ChangeResult{}, err
	}
	if c.changeID == "" {
		return services.ChangeResult{}, malformed(step, "change_id", "", "an identifier that the submitter chooses")
	}
	section, ok := view.Document.TeamSection(c.team)
	if !ok {
		return services.ChangeResult{}, malformed(step, "team", c.team, "the name of a team that a section declares")
	}
	if err := checkMayChangeSection(o, step, section); err != nil {
		return services.ChangeResult{}, err
	}
	present, found := findKey(view, c.team, c.keyID)
	if done, err := c.isApplied(present, found); done || err != nil {
		return services.ChangeResult{Revision: sectionRevision(view, section), Repeated: done}, err
	}
	change, err := planKeyChange(view, section, c)
	if err != nil {
		return services.ChangeResult{}, err
	}
	result, err := h.changeDocument(ctx, o, view, step, change)
	if fault.ReasonOf(err) == fault.ReasonConflict {
		err = fault.New(&fault.NotRun, fault.ReasonReplicaBehind, step, section, "the section changed at the same time; submit the change again")
	}
	return result, err
}

func findKey(view *services.View, team, id string) (document.Key, bool) {
	t, _ := view.Document.Team(team)
	i := slices.IndexFunc(t.Keys, func(k document.Key) bool { return k.ID == id })
	if i < 0 {
		return document.Key{}, false
	}
	return t.Keys[i], true
}

func planKeyChange(view *services.View, section string, c keyChange) (revision.Change, error) {
	text, err := c.edit([]byte(sectionText(view, section)))
	if err != nil {
		return revision.Change{}, err
	}
	edited := &wirev1.SectionChange{Name: section, IfRevision: sectionRevision(view, section), Yaml: string(text)}
	if err := validateResult(view, []*wirev1.SectionChange{edited}); err != nil {
		return revision.Change{}, err
	}
	return revision.Change{ID: recordedChangeID(c.changeID, c.content...), Updates: []revision.Update{sectionUpdate(view, edited)}}, nil
}
