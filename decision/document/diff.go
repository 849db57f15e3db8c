package document

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind tells what became of a declaration.
type ChangeKind string

// Changes of a declaration.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Kinds of declarations, in the order in which differences are listed.
const (
	KindPool     = "pool"
	KindTeam     = "team"
	KindKey      = "key"
	KindQueue    = "queue"
	KindOperator = "operator"
)

var kindOrder = []string{KindPool, KindTeam, KindKey, KindQueue, KindOperator}

// FieldChange is one field with its old and new value; an empty value means
// that the field was or became unset.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference is one declaration that two documents hold differently.
type Difference struct {
	Kind   string     `json:"kind"`
	Name   string     `json:"name"`
	Change ChangeKind `json:"change"`
	// Fields lists the values of an addition, the last values of a removal,
	// and the fields that differ of a change.
	Fields []FieldChange `json:"fields,omitempty"`
}

// field is a named value of a declaration. digest stands for values that
// must not be shown: it takes part in the comparison only.
type field struct {
	name, value, digest string
}

type declaration struct {
	kind, name string
	fields     []field
}

// Diff returns what changes from before to after, in operators' terms. A
// declaration that moves to another section is changed in its field section.
// Salts and hashes of keys are compared and never shown.
func Diff(before, after *Document) []Difference {
	old, now := declarationsByID(before), declarationsByID(after)
	var differences []Difference
	for _, kind := range kindOrder {
		names := make(map[string]bool)
		for id := range old {
			names[id] = true
		}
		for id := range now {
			names[id] = true
		}
		for _, id := range slices.Sorted(maps.Keys(names)) {
			if !strings.HasPrefix(id, kind+"/") {
				continue
			}
			if d, differs := compareDeclarations(old[id], now[id]); differs {
				differences = append(differences, d)
			}
		}
	}
	return differences
}

// compareDeclarations compares two declarations of one kind and name; nil stands for one
// that is absent.
func compareDeclarations(old, now *declaration) (Difference, bool) {
	switch {
	case old == nil:
		return Difference{Kind: now.kind, Name: now.name, Change: Added, Fields: compareFields(nil, now.fields)}, true
	case now == nil:
		return Difference{Kind: old.kind, Name: old.name, Change: Removed, Fields: compareFields(old.fields, nil)}, true
	}
	fields := compareFields(old.fields, now.fields)
	return Difference{Kind: now.kind, Name: now.name, Change: Changed, Fields: fields}, len(fields) > 0
}

// compareFields compares the fields of two declarations. Both lists have the
// same fields in the same order unless one is nil.
func compareFields(old, now []field) []FieldChange {
	var changes []FieldChange
	for i := range max(len(old), len(now)) {
		var a, b field
		if old != nil {
			a = old[i]
		}
		if now != nil {
			b = now[i]
		}
		if a.value == b.value && a.digest == b.digest {
			continue
		}
		name := a.name
		if name == "" {
			name = b.name
		}
		changes = append(changes, FieldChange{Field: name, Old: a.value, New: b.value})
	}
	return changes
}

func declarationsByID(d *Document) map[string]*declaration {
	all := make(map[string]*declaration)
	add := func(kind, name string, fields []field) {
		id := kind + "/" + name
		if _, taken := all[id]; !taken {
			all[id] = &declaration{kind, name, fields}
		}
	}
	for _, section := range d.SectionNames() {
		s := d.Sections[section]
		for _, p := range s.Pools {
			add(KindPool, p.Name, poolFields(section, p))
		}
		for _, t := range s.Teams {
			add(KindTeam, t.Name, teamFields(section, t))
			for _, k := range t.Keys {
				add(KindKey, t.Name+"/"+k.ID, keyFields(k))
			}
		}
		for _, q := range s.Queues {
			add(KindQueue, q.Name, queueFields(section, q))
		}
		for _, o := range s.Operators {
			add(KindOperator, o.Name, operatorFields(section, o))
		}
	}
	return all
}

func poolFields(section string, p Pool) []field {
	return []field{
		{name: "section", value: section},
		{name: "kind", value: string(p.Kind)},
		{name: "spare", value: formatFlag(p.Spare)},
		{name: "adopt", value: strings.Join(p.Adopt, " ")},
		{name: "maxUnavailable", value: strconv.Itoa(p.MaxUnavailable)},
		{name: "maxUnavailablePerZone", value: formatOptional(p.MaxUnavailablePerZone)},
		{name: "maxRacksOut", value: formatOptional(p.MaxRacksOut)},
		{name: "elastic", value: formatFlag(p.Elastic)},
		{name: "minHosts", value: formatOptional(p.MinHosts)},
		{name: "maxHosts", value: formatOptional(p.MaxHosts)},
	}
}

func teamFields(section string, t Team) []field {
	return []field{
		{name: "section", value: section},
		{name: "share", value: strconv.FormatFloat(t.Share, 'g', -1, 64)},
		{name: "limit", value: strconv.Itoa(t.Limit)},
	}
}

// keyFields shows that a secret differs without showing its stored form.
func keyFields(k Key) []field {
	return []field{
		{name: "secret", value: hiddenValue, digest: k.Salt + "/" + k.Hash},
		{name: "withdrawn", value: formatFlag(k.Withdrawn)},
	}
}

func queueFields(section string, q Queue) []field {
	return []field{
		{name: "section", value: section},
		{name: "team", value: q.Team},
		{name: "pool", value: q.Pool},
		{name: "class", value: string(q.Class)},
		{name: "open", value: formatFlag(q.Open)},
		{name: "maxWaiting", value: formatOptional(q.MaxWaiting)},
	}
}

func operatorFields(section string, o Operator) []field {
	key := []field{
		{name: "section", value: section},
		{name: "keyID", value: o.Key.ID},
		{name: "sections", value: strings.Join(o.Sections, " ")},
		{name: "hosts", value: formatFlag(o.Hosts)},
	}
	return append(key, keyFields(o.Key)...)
}

// formatFlag and optional return an empty value for a field that is not set.
func formatFlag(b bool) string {
	if b {
		return "true"
	}
	return ""
}

func formatOptional(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
