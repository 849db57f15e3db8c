package revision

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// submission is a change whose base was read and that is not written yet.
type submission struct {
	change   Change
	head     Head
	proposal Proposal
}

// fetch is a replica's read of the head and, later, of the parts.
type fetch struct {
	head  Head
	parts map[string]Part
}

// model is a platform with conditional transactions, operators whose changes
// race and are repeated, and replicas that read at any time.
type model struct {
	t       *rapid.T
	head    Head
	parts   map[string]Part
	history []*State
	// applied maps each change identifier to the revision it was applied as.
	applied          map[string]uint64
	submittedChanges []Change
	openSubmissions  []submission
	replicas         []*State
	fetches          []fetch
	lastChangeNumber int
}

var partNames = []string{"ledger", "section/a", "section/b"}

func newModel(t *rapid.T) *model {
	m := &model{t: t, head: Head{Parts: map[string]uint64{}}, parts: map[string]Part{}, applied: map[string]uint64{}}
	m.recordHistory()
	for range 3 {
		m.replicas = append(m.replicas, &State{Parts: map[string]Part{}})
		m.fetches = append(m.fetches, fetch{})
	}
	return m
}

func (m *model) recordHistory() {
	s := &State{Revision: m.head.Revision, Parts: map[string]Part{}}
	for name, p := range m.parts {
		s.Parts[name] = p
	}
	m.history = append(m.history, s)
}

func (m *model) randomReplica() int { return rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "replica") }

// submitEdit submits a change that appends its own identifier to parts as one
// replica shows them.
func (m *model) submitEdit() {
	base := m.replicas[m.randomReplica()]
	m.lastChangeNumber++
	c := Change{ID: fmt.Sprintf("c%d", m.lastChangeNumber)}
	first := rapid.IntRange(0, len(partNames)-1).Draw(m.t, "part")
	for i := range rapid.IntRange(1, 2).Draw(m.t, "parts") {
		p := base.Parts[partNames[(first+i)%len(partNames)]]
		name := partNames[(first+i)%len(partNames)]
		c.Updates = append(c.Updates, Update{Part: name, IfRevision: p.Revision, Data: []byte(string(p.Data) + c.ID + ";")})
	}
	m.submittedChanges = append(m.submittedChanges, c)
	m.submit(c)
}

func (m *model) resubmit() {
	if len(m.submittedChanges) > 0 {
		m.submit(rapid.SampledFrom(m.submittedChanges).Draw(m.t, "change"))
	}
}

func (m *model) submit(c Change) {
	current := map[string]Part{}
	for _, u := range c.Updates {
		if p, ok := m.parts[u.Part]; ok {
			current[u.Part] = p
		}
	}
	p := Propose(m.head, current, c)
	got, applied := m.applied[c.ID]
	if applied && m.head.Revision-got < maxRememberedChanges && p.Verdict != Repeated {
		m.t.Fatalf("repeated change %s, applied as revision %d, is not recognised at head revision %d", c.ID, got, m.head.Revision)
	}
	m.openSubmissions = append(m.openSubmissions, submission{c, m.head, p})
}

// commit writes one open submission, conditional on the head it was read at.
// The reply may be lost; the operator may then repeat the change at any time.
func (m *model) commit() {
	if len(m.openSubmissions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.openSubmissions)-1).Draw(m.t, "submission")
	s := m.openSubmissions[i]
	m.openSubmissions = slices.Delete(m.openSubmissions, i, i+1)
	switch s.proposal.Verdict {
	case Repeated:
		if got := m.applied[s.change.ID]; got != s.proposal.Revision {
			m.t.Fatalf("repeated change %s is reported as revision %d, was applied as %d", s.change.ID, s.proposal.Revision, got)
		}
	case Accepted:
		if m.head.Revision == s.head.Revision {
			m.apply(s)
		}
	}
}

func (m *model) apply(s submission) {
	if _, alreadyApplied := m.applied[s.change.ID]; alreadyApplied {
		m.t.Fatalf("change %s is applied twice", s.change.ID)
	}
	for _, u := range s.change.Updates {
		previous := string(m.parts[u.Part].Data)
		if !strings.HasPrefix(string(u.Data), previous) {
			m.t.Fatalf("change %s overwrites updates %q of part %s", s.change.ID, previous, u.Part)
		}
	}
	m.head = s.proposal.Head
	for _, p := range s.proposal.Parts {
		m.parts[p.Name] = p
	}
	m.applied[s.change.ID] = s.proposal.Revision
	m.recordHistory()
}

// fetchHead starts a fetch; its parts are read later, one at a time.
func (m *model) fetchHead() {
	i := m.randomReplica()
	m.fetches[i] = fetch{head: m.head, parts: map[string]Part{}}
}

func (m *model) fetchPart() {
	f := m.fetches[m.randomReplica()]
	name := rapid.SampledFrom(partNames).Draw(m.t, "part")
	if p, ok := m.parts[name]; ok && f.parts != nil {
		f.parts[name] = p
	}
}

// advance offers a fetch, complete or not, to a replica that may have restarted
// or advanced since the fetch started.
func (m *model) advance() {
	i, from := m.randomReplica(), m.randomReplica()
	f := m.fetches[from]
	before := m.replicas[i]
	next, advanced := before.Advance(f.head, f.parts)
	if next.Revision < before.Revision || advanced != (next != before) {
		m.t.Fatalf("replica went from revision %d to %d, but advanced is %v", before.Revision, next.Revision, advanced)
	}
	m.replicas[i] = next
}

// copyReplicaState offers the state of one replica to another one.
func (m *model) copyReplicaState() {
	from, to := m.randomReplica(), m.randomReplica()
	m.replicas[to], _ = m.replicas[to].Advance(m.replicas[from].Head(), m.replicas[from].Parts)
}

func (m *model) check() {
	for _, s := range m.replicas {
		assert.DeepEqual(m.t, s, m.history[s.Revision])
	}
}

// Guards against lost updates, changes that are applied twice, and replicas
// that go back or mix parts of different revisions, for any order of reads,
// writes, repeats and restarts.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := map[string]func(){
			"edit": m.submitEdit, "repeat": m.resubmit, "commit": m.commit, "fetch head": m.fetchHead,
			"fetch part": m.fetchPart, "advance": m.advance, "hand over": m.copyReplicaState,
			"restart": func() { m.replicas[m.randomReplica()] = &State{Parts: map[string]Part{}} },
			"accept":  func() { m.updateReplica(); m.submitEdit(); m.commit() },
		}
		names := []string{"edit", "repeat", "commit", "commit", "fetch head", "fetch part", "fetch part", "advance", "hand over", "restart", "accept", "accept"}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
			m.check()
		}
	})
}

// updateReplica brings one replica to the newest state, so that an edit from it
// is accepted.
func (m *model) updateReplica() {
	i := m.randomReplica()
	m.replicas[i], _ = m.replicas[i].Advance(m.head, m.parts)
}

// Guards against a change that updates a part twice, of which all but the last
// update would be lost, and against one without an identifier, whose repeat
// could not be recognised.
func TestMalformedChange(t *testing.T) {
	twice := Change{ID: "c", Updates: []Update{{Part: "a", Data: []byte("1")}, {Part: "a", Data: []byte("2")}}}
	for _, c := range []Change{twice, {ID: "c"}, {Updates: []Update{{Part: "a"}}}} {
		assert.Equal(t, Propose(Head{}, nil, c).Verdict, Malformed)
	}
}
