// Package revision orders all changes of the shared state under one revision
// number and decides which changes are accepted and which states a replica
// applies.
//
// It is free of I/O; contents of parts are opaque bytes.
package revision

import "slices"

// maxRememberedChanges is how many change identifiers a part keeps, so that a
// submission repeated after a lost reply is recognised.
const maxRememberedChanges = 16

// Part is one separately changed portion of the shared state.
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

// Head is the summary of the shared state: its revision and that of each
// part.
type Head struct {
	Revision uint64            `json:"revision"`
	Parts    map[string]uint64 `json:"parts"`
}

// State is an immutable copy of the whole shared state.
type State struct {
	Revision uint64          `json:"revision"`
	Parts    map[string]Part `json:"parts"`
}

// Update is a new content for one part, conditional on its revision.
type Update struct {
	Part string
	// IfRevision is the revision of the part that the change was made from;
	// zero means that the part must not exist.
	IfRevision uint64
	Data       []byte
}

// Requirement makes a change conditional on a part that it only read.
type Requirement struct {
	Part string
	// Revision that the part must have; zero means that it must not exist.
	Revision uint64
}

// Change is a set of updates that take effect together.
type Change struct {
	ID      string
	Updates []Update
	// Requires lists parts that were read to decide the change and that it
	// does not write, such as the section that declares a pool's bounds.
	Requires []Requirement
}

// Verdict tells what became of a change.
type Verdict int

// Verdicts on a change.
const (
	// Accepted means that the proposed parts and head may be committed.
	Accepted Verdict = iota
	// Repeated means that the change was accepted earlier.
	Repeated
	// Conflict means that a part has a revision other than the expected one.
	Conflict
	// Malformed means that the change has no identifier, no update, or two
	// updates of one part.
	Malformed
)

// Proposal is the outcome of Propose.
type Proposal struct {
	Verdict Verdict
	// Revision is the new revision (Accept) or the one that the change got
	// earlier (Repeated).
	Revision uint64
	Head     Head
	Parts    []Part
	// ConflictPart and ConflictRevision name the first part that differs.
	ConflictPart     string
	ConflictRevision uint64
}

// Propose decides a change against the current head and the current content
// of the parts that the change names.
func Propose(head Head, current map[string]Part, c Change) Proposal {
	if c.malformed() {
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
		if have := current[u.Part].Revision; have != u.IfRevision {
			return Proposal{Verdict: Conflict, ConflictPart: u.Part, ConflictRevision: have}
		}
	}
	for _, r := range c.Requires {
		if have := head.Parts[r.Part]; have != r.Revision {
			return Proposal{Verdict: Conflict, ConflictPart: r.Part, ConflictRevision: have}
		}
	}
	return accept(head, current, c)
}

func (c Change) malformed() bool {
	names := make(map[string]bool, len(c.Updates))
	for _, u := range c.Updates {
		names[u.Part] = true
	}
	return c.ID == "" || len(c.Updates) == 0 || len(names) != len(c.Updates)
}

func accept(head Head, current map[string]Part, c Change) Proposal {
	next := Head{Revision: head.Revision + 1, Parts: make(map[string]uint64, len(head.Parts)+1)}
	for name, rev := range head.Parts {
		next.Parts[name] = rev
	}
	parts := make([]Part, 0, len(c.Updates))
	for _, u := range c.Updates {
		next.Parts[u.Part] = next.Revision
		changes := append(slices.Clone(current[u.Part].Changes), AppliedChange{c.ID, next.Revision})
		if extra := len(changes) - maxRememberedChanges; extra > 0 {
			changes = changes[extra:]
		}
		parts = append(parts, Part{Name: u.Part, Revision: next.Revision, Data: u.Data, Changes: changes})
	}
	return Proposal{Verdict: Accepted, Revision: next.Revision, Head: next, Parts: parts}
}

// StaleParts returns the names of the parts that head has at another revision
// than s, in alphabetical order.
func (s *State) StaleParts(head Head) []string {
	var names []string
	for name, rev := range head.Parts {
		if s.Parts[name].Revision != rev {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Advance returns the state that head describes, taking changed parts from
// fetched and the others from s. It reports false and returns s itself when
// head is not newer than s, or when a part is missing or not at the revision
// that head names; a replica therefore never holds a mixture of revisions and
// never goes back.
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
