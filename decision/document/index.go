package document

import (
	"maps"
	"slices"
)

// index holds the declarations of all sections by name. It is built on the
// first look-up, so that a request costs no scan of the document.
type index struct {
	pools  map[string]Pool
	teams  map[string]Team
	queues map[string]Queue
	// teamSections names the section that declares each team.
	teamSections map[string]string
}

func (d *Document) lookupIndex() *index {
	d.indexOnce.Do(d.buildIndex)
	return &d.index
}

// buildIndex keeps the first declaration of a name in alphabetical order of
// the sections, so that every host reads an invalid document alike.
func (d *Document) buildIndex() {
	d.index = index{
		pools:        make(map[string]Pool),
		teams:        make(map[string]Team),
		queues:       make(map[string]Queue),
		teamSections: make(map[string]string),
	}
	for _, name := range d.SectionNames() {
		s := d.Sections[name]
		for _, p := range s.Pools {
			addFirst(d.index.pools, p.Name, p)
		}
		for _, t := range s.Teams {
			addFirst(d.index.teams, t.Name, t)
			addFirst(d.index.teamSections, t.Name, name)
		}
		for _, q := range s.Queues {
			addFirst(d.index.queues, q.Name, q)
		}
	}
}

func addFirst[T any](m map[string]T, name string, value T) {
	if _, taken := m[name]; !taken {
		m[name] = value
	}
}

// SectionNames returns the names of all sections in alphabetical order.
func (d *Document) SectionNames() []string {
	return slices.Sorted(maps.Keys(d.Sections))
}

// Queue returns the queue of a name.
func (d *Document) Queue(name string) (Queue, bool) {
	q, ok := d.lookupIndex().queues[name]
	return q, ok
}

// Team returns the team of a name.
func (d *Document) Team(name string) (Team, bool) {
	t, ok := d.lookupIndex().teams[name]
	return t, ok
}

// TeamSection returns the name of the section that declares a team.
func (d *Document) TeamSection(team string) (string, bool) {
	s, ok := d.lookupIndex().teamSections[team]
	return s, ok
}

// Pool returns the pool of a name.
func (d *Document) Pool(name string) (Pool, bool) {
	p, ok := d.lookupIndex().pools[name]
	return p, ok
}

// Queues returns all queues in alphabetical order of their names.
func (d *Document) Queues() []Queue { return sortedByName(d.lookupIndex().queues) }

// Teams returns all teams in alphabetical order of their names.
func (d *Document) Teams() []Team { return sortedByName(d.lookupIndex().teams) }

// Pools returns all pools in alphabetical order of their names.
func (d *Document) Pools() []Pool { return sortedByName(d.lookupIndex().pools) }

func sortedByName[T any](m map[string]T) []T {
	values := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// Operators returns the operators of the section that declares them.
func (d *Document) Operators() []Operator {
	return d.Sections[OperatorsSection].Operators
}
