package statesync

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// replicaMessage is a message to the replica duty: advance or
// freshnessUpdate.
type replicaMessage interface{ replicaMessage() }

// advance carries a head and at least the parts that changed.
type advance struct {
	head  revision.Head
	parts map[string]revision.Part
	// fromPlatform is set for a read of the platform. Only such a read shows
	// that there is no state yet; a peer at revision zero may have lost it.
	fromPlatform bool
	done         *ring.Ring[struct{}]
}

// freshnessUpdate states that no revision above revision had been accepted as
// of asOf.
type freshnessUpdate struct {
	revision uint64
	asOf     time.Time
}

func (advance) replicaMessage()         {}
func (freshnessUpdate) replicaMessage() {}

// runReplica owns the replica; no other goroutine publishes views or
// freshAsOf.
func (s *Service) runReplica(ctx context.Context) {
	state := &revision.State{Parts: map[string]revision.Part{}}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.replica.C():
			switch m := m.(type) {
			case advance:
				state = s.applyAdvance(state, m)
			case freshnessUpdate:
				s.applyFreshness(state, m)
			}
		}
	}
}

func (s *Service) applyAdvance(state *revision.State, m advance) *revision.State {
	if m.done != nil {
		defer m.done.Offer(struct{}{})
	}
	next, advanced := state.Advance(m.head, m.parts)
	firstEmpty := m.fromPlatform && m.head.Revision == 0 && s.view.Load() == nil
	if !advanced && !firstEmpty {
		return state
	}
	view, err := decodeView(s.view.Load(), next)
	if err != nil {
		s.log.Error().Err(err).Uint64("revision", next.Revision).Msg("shared state cannot be decoded; the replica keeps its revision")
		return state
	}
	s.view.Store(view)
	for _, w := range s.watches {
		w.OfferLatest(view)
	}
	s.log.Info().Uint64("revision", next.Revision).Msg("revision in force")
	return next
}

// applyFreshness stores a later freshAsOf. An update for a revision above the
// replica's does not make the replica fresh.
func (s *Service) applyFreshness(state *revision.State, m freshnessUpdate) {
	if m.revision > state.Revision || s.view.Load() == nil {
		return
	}
	if m.asOf.After(s.FreshAsOf()) {
		s.freshAsOf.Store(&m.asOf)
	}
}

// decodeView decodes a state. Sections that did not change are taken from the
// previous view.
func decodeView(previous *services.View, state *revision.State) (*services.View, error) {
	v := &services.View{
		Revision:    state.Revision,
		State:       state,
		Document:    &document.Document{Sections: map[string]document.Section{}},
		Assignments: budget.Assignments{},
		Ledger:      &budget.Ledger{Entries: map[string]budget.LedgerEntry{}},
	}
	for _, part := range state.Parts {
		if err := decodePart(v, previous, part); err != nil {
			return nil, err
		}
	}
	return v, nil
}

// decodePart decodes a part into v. Empty data means that the part is deleted.
func decodePart(v, previous *services.View, part revision.Part) error {
	switch {
	case len(part.Data) == 0:
		return nil
	case part.Name == services.PartLedger:
		return json.Unmarshal(part.Data, v.Ledger)
	case strings.HasPrefix(part.Name, services.PartHostsPrefix):
		return json.Unmarshal(part.Data, &v.Assignments)
	case strings.HasPrefix(part.Name, services.PartSectionPrefix):
		return decodeSection(v, previous, part)
	}
	return nil
}

// checkUpdates refuses a change whose parts no replica could decode. All
// replicas would stay at their revision and apply no later change.
func checkUpdates(c revision.Change) error {
	scratch := &services.View{
		Document:    &document.Document{Sections: map[string]document.Section{}},
		Assignments: budget.Assignments{},
		Ledger:      &budget.Ledger{},
	}
	for _, u := range c.Updates {
		if err := decodePart(scratch, nil, revision.Part{Name: u.Part, Data: u.Data}); err != nil {
			return fault.New(&fault.Invalid, fault.ReasonMalformed, "change state", u.Part, "%w", err)
		}
	}
	return nil
}

// decodeSection reuses the section of the previous view when it is unchanged.
func decodeSection(v, previous *services.View, part revision.Part) error {
	name := strings.TrimPrefix(part.Name, services.PartSectionPrefix)
	if previous != nil && previous.State.Parts[part.Name].Revision == part.Revision {
		v.Document.Sections[name] = previous.Document.Sections[name]
		return nil
	}
	section, err := yamldoc.Decode(part.Name, part.Data)
	if err != nil {
		return err
	}
	v.Document.Sections[name] = section
	return nil
}
