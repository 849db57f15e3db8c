// Package entryfakes provides fakes of the services of an entry host and of the
// platform for tests. They keep their state in memory. State decides changes like
// the real service.
package entryfakes

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// State is a fake of services.State. Its fields are set before its first use.
type State struct {
	Clock services.Clock
	// BeforeChange, if not nil, is called before each change is decided.
	BeforeChange func(revision.Change)

	mu              sync.Mutex
	state           *revision.State
	view            *services.View
	watchRings      []*ring.Ring[*services.View]
	loseNextReply   bool
	staleness       time.Duration
	neverFresh      bool
	acceptedChanges int
}

// NewState returns an empty state at revision zero.
func NewState(clock services.Clock) *State {
	s := &State{Clock: clock, state: &revision.State{Parts: map[string]revision.Part{}}}
	s.view = decodeView(s.state)
	return s
}

// Provision implements kernel.Service.
func (s *State) Provision(*kernel.Context) error { return nil }

// View implements services.State.
func (s *State) View() *services.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Watch implements services.State.
func (s *State) Watch(name string) *ring.Ring[*services.View] {
	w := ring.New[*services.View](name, 4, nil)
	s.watchRings = append(s.watchRings, w)
	return w
}

// FreshAsOf implements services.State.
func (s *State) FreshAsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.neverFresh {
		return time.Time{}
	}
	return s.Clock().Add(-s.staleness)
}

// SetStaleness sets how long ago the replica was last fresh.
func (s *State) SetStaleness(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = age
}

// SetNeverFresh makes the replica one that was never fresh.
func (s *State) SetNeverFresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.neverFresh = true
}

// LoseNextReply makes the next change take effect with an unknown outcome.
func (s *State) LoseNextReply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNextReply = true
}

// AcceptedChanges returns the number of changes that have taken effect.
func (s *State) AcceptedChanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedChanges
}

// Change implements services.State.
func (s *State) Change(_ context.Context, c revision.Change) (services.ChangeResult, error) {
	if s.BeforeChange != nil {
		s.BeforeChange(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	proposal := revision.Propose(s.state.Head(), s.state.Parts, c)
	switch proposal.Verdict {
	case revision.Repeated:
		return services.ChangeResult{Revision: proposal.Revision, Repeated: true}, nil
	case revision.Conflict:
		return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonConflict, "change state", proposal.ConflictPart,
			"the part is at revision %d", proposal.ConflictRevision)
	}
	s.apply(proposal)
	if s.loseNextReply {
		s.loseNextReply = false
		return services.ChangeResult{}, fault.New(&fault.Unknown, fault.ReasonPlatformDown, "change state", "platform", "the reply was lost")
	}
	return services.ChangeResult{Revision: proposal.Revision}, nil
}

func (s *State) apply(p revision.Proposal) {
	changedParts := make(map[string]revision.Part, len(p.Parts))
	for _, part := range p.Parts {
		changedParts[part.Name] = part
	}
	s.state, _ = s.state.Advance(p.Head, changedParts)
	s.view = decodeView(s.state)
	s.acceptedChanges++
	for _, w := range s.watchRings {
		w.OfferLatest(s.view)
	}
}

// decodeView skips parts that cannot be decoded instead of failing, so that a test
// sees what was accepted.
func decodeView(state *revision.State) *services.View {
	v := &services.View{
		Revision:    state.Revision,
		State:       state,
		Document:    &document.Document{Sections: map[string]document.Section{}},
		Assignments: budget.Assignments{},
		Ledger:      &budget.Ledger{Entries: map[string]budget.LedgerEntry{}},
	}
	for name, part := range state.Parts {
		section, isSection := strings.CutPrefix(name, services.PartSectionPrefix)
		switch {
		case name == services.PartLedger:
			json.Unmarshal(part.Data, v.Ledger)
		case strings.HasPrefix(name, services.PartHostsPrefix):
			json.Unmarshal(part.Data, &v.Assignments)
		case isSection && len(part.Data) > 0:
			if decoded, err := yamldoc.Decode(section, part.Data); err == nil {
				v.Document.Sections[section] = decoded
			}
		}
	}
	return v
}
