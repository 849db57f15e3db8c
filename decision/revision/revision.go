// Package revision orders all changes of the shared state by one revision
// number, and decides which changes are accepted and which states a replica
// applies.
//
// It performs no I/O and treats the contents of parts as opaque bytes.
package revision

import "slices"

// maxRememberedChanges is how many change identifiers a part keeps, so that a
// submission repeated after a lost reply is recognised.
const maxRememberedChanges = 16

// Part is a portion of the shared state that can be changed on its own.
type Part struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
	// Changes are the latest changes of this part, oldest first.
	Changes []AppliedChange `json:"changes,omitempty"`
}

// AppliedChange records one accepted change of a part.
type AppliedChange struct {
	ChangeID string `json:"changeID"`
	Revision uint64 `json:"revision"`
}

// Head is the summary of the shared state: its revision and that of each part.
type Head struct {
	Revision uint64            `json:"revision"`
	Parts    map[string]uint64 `json:"parts"`
}

// State is an immutable copy of the whole shared state.
type State struct {
	Revision uint64          `json:"revision"`
	Parts    map[string]Part `json:"parts"`
}

// Update is new content for one part, conditional on the part's revision.
type Update struct {
	Part string
	// IfRevision is the revision of the part that the change is based on; zero
	// means that the part must not exist.
	IfRevision uint64
	Data       []byte
}

// Requirement makes a change conditional on a part that it only reads.
type Requirement struct {
	Part string
	// Revision is the one that the part must have; zero means that the part
	// must not exist.
	Revision uint64
}

// Change is a set of updates that take effect together.
type Change struct {
	ID      string
	Updates []Update
	// Requires lists parts that the change depends on and does not write, such
	// as the section that declares a pool's bounds.
	Requires []Requirement
}

// Verdict is the decision on a change.
type Verdict int

// Verdicts on a change.
const (
	// Accepted means that the proposed parts and head may be committed.
	Accepted Verdict = iota
	// Repeated means that the change was already accepted earlier.
	Repeated
	// Conflict means that a part has a revision other than the expected one.
	Conflict
	// Malformed means that the change has no identifier, no update, or two
	// updates of one part.
	Malformed
)

// Proposal is the result of Propose.
type Proposal struct {
	Verdict Verdict
	// Revision is the new revision (Accepted) or the one that the change got
	// earlier (Repeated).
	Revision uint64
	Head     Head
	Parts    []Part
	// ConflictPart and ConflictRevision are the name and the current revision
	// of the first part that differs.
	ConflictPart     string
	ConflictRevision uint64
}

// Propose decides a change against the current head and the current content
// of the parts that the change names.
func Propose(head Head, current map[string]Part, c Change) Proposal {
	if c.isMalformed() {
		return Proposal{Verdict: Malformed}
	}
	for _, u := range c.Updates {
		for _, applied := range current[u.Part].Changes {
			if applied.ChangeID == c.ID {
				return Proposal{Verdict: Repeated, Revision: applied.Revision}
			}
		}
	}
	for _, u := range c.Updates {
		if actual := current[u.Part].Revision; actual != u.IfRevision {
			return Proposal{Verdict: Conflict, ConflictPart: u.Part, ConflictRevision: actual}
		}
	}
	for _, r := range c.Requires {
		if actual := head.Parts[r.Part]; actual != r.Revision {
			return Proposal{Verdict: Conflict, ConflictPart: r.Part, ConflictRevision: actual}
		}
	}
	return accept(head, current, c)
}

func (c Change) isMalformed() bool {
	names := make(map[string]bool, len(c.Updates))
	for _, u := range c.Updates {
		names[u.Part] = true
	}
	return c.ID == "" || len(c.Updates) == 0 || len(names) != len(c.Updates)
}

func accept(head Head, current map[string]Part, c Change) Proposal {
	nextHead := Head{Revision: head.Revision + 1, Parts: make(map[string]uint64, len(head.Parts)+1)}
	for name, rev := range head.Parts {
		nextHead.Parts[name] = rev
	}
	parts := make([]Part, 0, len(c.Updates))
	for _, u := range c.Updates {
		nextHead.Parts[u.Part] = nextHead.Revision
		changes := append(slices.Clone(current[u.Part].Changes), AppliedChange{c.ID, nextHead.Revision})
		if excess := len(changes) - maxRememberedChanges; excess > 0 {
			changes = changes[excess:]
		}
		parts = append(parts, Part{Name: u.Part, Revision: nextHead.Revision, Data: u.Data, Changes: changes})
	}
	return Proposal{Verdict: Accepted, Revision: nextHead.Revision, Head: nextHead, Parts: parts}
}

// StaleParts returns the names of the parts that head has at another revision
// than s, in alphabetical order.
func (s *State) StaleParts(head Head) []string {
	var stale []string
	for name, rev := range head.Parts {
		if s.Parts[name].Revision != rev {
			stale = append(stale, name)
		}
	}
	slices.Sort(stale)
	return stale
}

// Advance returns the state that head describes, taking changed parts from
// fetched and the others from s. It reports false and returns s itself when
// head is not newer than s, or when a part is missing or not at the revision
// that head names; a replica therefore never mixes revisions and never goes
// back to an earlier one.
func (s *State) Advance(head Head, fetched map[string]Part) (*State, bool) {
	if head.Revision <= s.Revision {
		return s, false
	}
	next := &State{Revision: head.Revision, Parts: make(map[string]Part, len(head.Parts))}
	for name, rev := range head.Parts {
		p, ok := fetched[name]
		if !ok || p.Revision != rev {
			p, ok = s.Parts[name]
		}
		if !ok || p.Revision != rev {
			return s, false
		}
		next.Parts[name] = p
	}
	return next, true
}

// Head returns the summary of s.
func (s *State) Head() Head {
	h := Head{Revision: s.Revision, Parts: make(map[string]uint64, len(s.Parts))}
	for name, p := range s.Parts {
		h.Parts[name] = p.Revision
	}
	return h
}
