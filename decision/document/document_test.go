package document_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/document"
)

var (
	salt = "00ff"
	hash = strings.Repeat("ab", 32)
	key  = document.Key{ID: "k1", Salt: salt, Hash: hash}
)

// valid returns a document of three sections without problems.
func valid() map[string]document.Section {
	return map[string]document.Section{
		"platform": {Name: "platform", Pools: []document.Pool{
			{Name: "office", Kind: "worker", Spare: true, MaxUnavailable: 2, MaxUnavailablePerZone: 1, MaxRacksOut: 2},
			{Name: "quotes", Kind: "backend-server", Adopt: []string{"*-quotes-*"}, MaxUnavailable: 1},
		}},
		"sales": {
			Name:   "sales",
			Teams:  []document.Team{{Name: "sales", Share: 1, Limit: 20, Keys: []document.Key{key}}},
			Queues: []document.Queue{{Name: "quotes", Team: "sales", Pool: "quotes", Class: "interactive"}},
		},
		"operators": {Name: "operators", Operators: []document.Operator{
			{Name: "siti", Key: key, Sections: []string{"*"}, Hosts: true},
		}},
	}
}

// TestValidateNamesEachProblem guards against a rule that is not enforced or a
// problem that names the wrong place.
func TestValidateNamesEachProblem(t *testing.T) {
	cases := []struct {
		name           string
		change         func(map[string]document.Section)
		section, field string
		value          string
	}{
		{"section name differs", func(d map[string]document.Section) { edit(d, "sales", func(s *document.Section) { s.Name = "sale" }) }, "sales", "section", "sale"},
		{"malformed section name", func(d map[string]document.Section) { d["a.b"] = document.Section{Name: "a.b"} }, "a.b", "section", "a.b"},
		{"malformed pool name", pool(0, func(p *document.Pool) { p.Name = "of/fice" }), "platform", "pools[0].name", "of/fice"},
		{"pool twice", pool(1, func(p *document.Pool) { p.Name = "office" }), "platform", "pools[1].name", "office"},
		{"unknown kind", pool(0, func(p *document.Pool) { p.Kind = "printer" }), "platform", "pools[0].kind", "printer"},
		{"two spares of a kind", pool(1, func(p *document.Pool) { p.Kind, p.Spare = "worker", true }), "platform", "pools[1].spare", "true"},
		{"bad pattern", pool(1, func(p *document.Pool) { p.Adopt = []string{"ok*", "[a"} }), "platform", "pools[1].adopt[1]", "[a"},
		{"negative budget", pool(1, func(p *document.Pool) { p.MaxUnavailable = -1 }), "platform", "pools[1].maxUnavailable", "-1"},
		{"budget too large", pool(1, func(p *document.Pool) { p.MaxUnavailable = 1_000_001 }), "platform", "pools[1].maxUnavailable", "1000001"},
		{"zone budget above pool's", pool(0, func(p *document.Pool) { p.MaxUnavailablePerZone = 3 }), "platform", "pools[0].maxUnavailablePerZone", "3"},
		{"negative racks", pool(0, func(p *document.Pool) { p.MaxRacksOut = -2 }), "platform", "pools[0].maxRacksOut", "-2"},
		{"minHosts of a fixed pool", pool(0, func(p *document.Pool) { p.MinHosts = 1 }), "platform", "pools[0].minHosts", "1"},
		{"maxHosts of a fixed pool", pool(0, func(p *document.Pool) { p.MaxHosts = 1 }), "platform", "pools[0].maxHosts", "1"},
		{"minHosts above maxHosts", pool(0, func(p *document.Pool) { p.Elastic, p.MinHosts, p.MaxHosts = true, 3, 2 }), "platform", "pools[0].minHosts", "3"},
		{"negative maxHosts", pool(0, func(p *document.Pool) { p.Elastic, p.MaxHosts = true, -1 }), "platform", "pools[0].maxHosts", "-1"},
		{"share of zero", team(func(t *document.Team) { t.Share = 0 }), "sales", "teams[0].share", "0"},
		{"limit below zero", team(func(t *document.Team) { t.Limit = -1 }), "sales", "teams[0].limit", "-1"},
		{"dot in team name", team(func(t *document.Team) { t.Name = "sa.les" }), "sales", "teams[0].name", "sa.les"},
		{"key identifier twice", team(func(t *document.Team) { t.Keys = []document.Key{key, key} }), "sales", "teams[0].keys[1].id", "k1"},
		{"salt not hexadecimal", team(func(t *document.Team) { t.Keys = []document.Key{{ID: "k", Salt: "demo", Hash: hash}} }), "sales", "teams[0].keys[0].salt", "(hidden)"},
		{"hash too short", team(func(t *document.Team) { t.Keys = []document.Key{{ID: "k", Salt: salt, Hash: "ab"}} }), "sales", "teams[0].keys[0].hash", "(hidden)"},
		{"unknown team", queue(func(q *document.Queue) { q.Team = "sails" }), "sales", "queues[0].team", "sails"},
		{"unknown pool", queue(func(q *document.Queue) { q.Pool = "quote" }), "sales", "queues[0].pool", "quote"},
		{"unknown class", queue(func(q *document.Queue) { q.Class = "fast" }), "sales", "queues[0].class", "fast"},
		{"negative waiting", queue(func(q *document.Queue) { q.MaxWaiting = -1 }), "sales", "queues[0].maxWaiting", "-1"},
		{"operators elsewhere", func(d map[string]document.Section) {
			edit(d, "sales", func(s *document.Section) {
				s.Operators = []document.Operator{{Name: "eve", Key: key, Sections: []string{"*"}}}
			})
		}, "sales", "operators", "1 operators"},
		{"operator's bad pattern", operator(func(o *document.Operator) { o.Sections = []string{"*", "[z-"} }), "operators", "operators[0].sections[1]", "[z-"},
		{"operator without use", operator(func(o *document.Operator) { o.Sections, o.Hosts = nil, false }), "operators", "operators[0].sections", ""},
	}
	assert.Check(t, is.Len(document.Validate(&document.Document{Sections: valid()}), 0))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sections := valid()
			c.change(sections)
			for _, p := range document.Validate(&document.Document{Sections: sections}) {
				if p.Section == c.section && p.Field == c.field && p.Value == c.value && p.Allowed != "" {
					return
				}
			}
			t.Fatalf("no problem reported in section %s, field %s with value %q", c.section, c.field, c.value)
		})
	}
}

func edit(d map[string]document.Section, name string, change func(*document.Section)) {
	s := d[name]
	change(&s)
	d[name] = s
}

func pool(i int, change func(*document.Pool)) func(map[string]document.Section) {
	return func(d map[string]document.Section) { change(&d["platform"].Pools[i]) }
}

func team(change func(*document.Team)) func(map[string]document.Section) {
	return func(d map[string]document.Section) { change(&d["sales"].Teams[0]) }
}

func queue(change func(*document.Queue)) func(map[string]document.Section) {
	return func(d map[string]document.Section) { change(&d["sales"].Queues[0]) }
}

func operator(change func(*document.Operator)) func(map[string]document.Section) {
	return func(d map[string]document.Section) { change(&d["operators"].Operators[0]) }
}

// TestValidateReturnsAllProblems guards against a validation that stops at the
// first problem, so that an operator needs one attempt for each.
func TestValidateReturnsAllProblems(t *testing.T) {
	sections := valid()
	pool(0, func(p *document.Pool) {
		p.Kind, p.MaxUnavailable, p.MaxUnavailablePerZone, p.MaxRacksOut = "x", -1, 0, 0
	})(sections)
	team(func(t *document.Team) { t.Share, t.Limit = -1, -1 })(sections)
	queue(func(q *document.Queue) { q.Team, q.Pool, q.Class = "x", "x", "x" })(sections)
	assert.Equal(t, len(document.Validate(&document.Document{Sections: sections})), 7)
}

// TestNobodyIsLockedOut guards against a change after which no key may change
// the operators' section.
func TestNobodyIsLockedOut(t *testing.T) {
	before := &document.Document{Sections: valid()}
	cases := []struct {
		name    string
		change  func(map[string]document.Section)
		refused bool
	}{
		{"no change", func(map[string]document.Section) {}, false},
		{"section deleted", func(d map[string]document.Section) { delete(d, "operators") }, true},
		{"last key withdrawn", operator(func(o *document.Operator) { o.Key.Withdrawn = true }), true},
		{"pattern narrowed", operator(func(o *document.Operator) { o.Sections = []string{"sales"} }), true},
		{"narrowed, still covers", operator(func(o *document.Operator) { o.Sections = []string{"oper*"} }), false},
	}
	for _, c := range cases {
		sections := valid()
		c.change(sections)
		problems := document.CheckOwnership(before, &document.Document{Sections: sections})
		assert.Check(t, is.Equal(len(problems) > 0, c.refused), c.name)
	}
	empty := &document.Document{}
	assert.Check(t, is.Len(document.CheckOwnership(empty, empty), 0), "a document that never had operators")
}

// TestDiffInOperatorsTerms guards against a diff that omits a change or
// identifies it by its position in the text.
func TestDiffInOperatorsTerms(t *testing.T) {
	after := valid()
	pool(1, func(p *document.Pool) { p.MaxUnavailable = 2 })(after)
	team(func(t *document.Team) {
		t.Limit = 30
		t.Keys = []document.Key{{ID: "k1", Salt: salt, Hash: hash, Withdrawn: true}, {ID: "k2", Salt: salt, Hash: hash}}
	})(after)
	queue(func(q *document.Queue) { q.Name = "offers" })(after)
	operator(func(o *document.Operator) { o.Key.Hash = strings.Repeat("cd", 32) })(after)
	var lines []string
	for _, d := range document.Diff(&document.Document{Sections: valid()}, &document.Document{Sections: after}) {
		line := fmt.Sprintf("%s %s %s", d.Change, d.Kind, d.Name)
		if d.Change == document.Changed {
			for _, f := range d.Fields {
				line += fmt.Sprintf(" %s:%s->%s", f.Field, f.Old, f.New)
			}
		}
		lines = append(lines, line)
	}
	assert.DeepEqual(t, lines, []string{
		"changed pool quotes maxUnavailable:1->2",
		"changed team sales limit:20->30",
		"changed key sales/k1 withdrawn:->true",
		"added key sales/k2",
		"added queue offers",
		"removed queue quotes",
		"changed operator siti secret:(hidden)->(hidden)",
	})
}

// genSections generates the sections of a document. Names come from a small
// set, so that two documents share some declarations.
func genSections(t *rapid.T, label string) map[string]document.Section {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	out := make(map[string]document.Section)
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, label) {
		s := document.Section{Name: n}
		for _, p := range rapid.SliceOfN(name, 0, 2).Draw(t, "pools") {
			s.Pools = append(s.Pools, document.Pool{Name: p, Kind: "worker", MaxUnavailable: rapid.IntRange(0, 2).Draw(t, "max")})
		}
		for _, team := range rapid.SliceOfN(name, 0, 2).Draw(t, "teams") {
			k := document.Key{ID: "k", Salt: rapid.StringMatching("5a17[0-9a-f]{8}").Draw(t, "salt"), Hash: rapid.StringMatching("4a54[0-9a-f]{60}").Draw(t, "hash")}
			s.Teams = append(s.Teams, document.Team{Name: team, Share: 1, Keys: []document.Key{k}})
			s.Operators = append(s.Operators, document.Operator{Name: team, Key: k})
		}
		out[n] = s
	}
	return out
}

// TestDiffProperties guards against a diff that hides a change, invents one, or
// shows the stored form of a key.
func TestDiffProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &document.Document{Sections: genSections(t, "a")}
		b := &document.Document{Sections: genSections(t, "b")}
		assert.Check(t, is.Len(document.Diff(a, &document.Document{Sections: maps.Clone(a.Sections)}), 0))
		forward, back := document.Diff(a, b), document.Diff(b, a)
		assert.Equal(t, len(forward), len(back))
		for i, d := range forward {
			for j, f := range d.Fields {
				assert.Equal(t, f.Old, back[i].Fields[j].New)
			}
		}
		shown := fmt.Sprint(forward, document.Validate(a))
		assert.Assert(t, !strings.Contains(shown, "5a17") && !strings.Contains(shown, "4a54"), shown)
	})
}

// TestIndexAgreesWithSections guards against an index that lacks a declaration
// or has one that no section declares.
func TestIndexAgreesWithSections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &document.Document{Sections: genSections(t, "d")}
		for _, name := range []string{"a", "b", "c", "d"} {
			declared := ""
			for _, s := range d.SectionNames() {
				for _, team := range d.Sections[s].Teams {
					if team.Name == name && declared == "" {
						declared = s
					}
				}
			}
			section, ok := d.TeamSection(name)
			assert.Equal(t, section, declared)
			team, found := d.Team(name)
			assert.Equal(t, found, ok)
			assert.Assert(t, !found || team.Name == name)
		}
	})
}
