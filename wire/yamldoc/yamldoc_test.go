package yamldoc_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

const text = `# Sales, asked for by Nur
section: sales
teams:
  - name: sales # the large one
    share: 1.5
    limit: 20
    keys:
      - id: k1
        salt: "00ff"
        hash: "aa"
      # kept for the audit
      - {id: k2, salt: "0011", hash: "bb"}
  - name: web
    share: 1
    limit: 3
`

// TestTextIsKept guards against losing the operators' comments or layout.
func TestTextIsKept(t *testing.T) {
	second := "section: web\n# last words\n"
	sources, err := yamldoc.DecodeAll("file", strings.NewReader("# head\n---\n"+text+"---\n"+second+"---\n# tail\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(sources), 2)
	assert.Equal(t, string(sources[0].YAML), "# head\n\n"+text)
	assert.Equal(t, string(sources[1].YAML), second+"# tail\n")
	assert.Equal(t, sources[1].Section.Name, "web")
	assert.Equal(t, sources[1].Line, 19)
}

// TestErrorsNameTheLine guards against an error that names the wrong line of a file
// with several sections.
func TestErrorsNameTheLine(t *testing.T) {
	cases := []struct{ in, want string }{
		{"section: a\nteems: []\n", `line 2: unknown field "teems"; did you mean "teams"?`},
		{"section: a\n---\nsection: b\npools:\n  - name: p\n    maxunavailable: 2\n", `line 6: unknown field "maxunavailable"; did you mean "maxUnavailable"?`},
		{"section: a\nqqqqqqqqqqqqqqqqqq: 1\n", `line 2: unknown field "qqqqqqqqqqqqqqqqqq"`},
		{"section: a\nteams:\n  - name: x\n    limit: many\n", "line 4: "},
		{"section: a\nsection: b\n", "line 2: "},
	}
	for _, c := range cases {
		_, err := yamldoc.DecodeAll("file", strings.NewReader(c.in))
		assert.Check(t, is.ErrorContains(err, c.want))
	}
	_, err := yamldoc.DecodeAll("file", strings.NewReader(cases[0].in+"---\n"+cases[2].in))
	assert.Check(t, is.ErrorContains(err, "line 2: "))
	assert.Check(t, is.ErrorContains(err, "line 5: "), "errors of all sections are reported at once")
	_, err = yamldoc.Decode("a", []byte("section: a\nteams:\n- name: "+strings.Repeat("x", yamldoc.MaxSectionBytes)))
	assert.Check(t, is.ErrorContains(err, "want at most"))
}

// TestLineOfField guards against a document problem that is reported at the wrong
// line.
func TestLineOfField(t *testing.T) {
	for field, line := range map[string]int{"teams[0].share": 5, "teams[1].limit": 15, "teams[0].keys[1].id": 12, "teams[1].keys": 13, "": 0} {
		assert.Check(t, is.Equal(yamldoc.Locate([]byte(text)).Line(field), line), field)
	}
}

// TestErrorsDoNotShowStoredKeys guards against an error, and thus a log line, that
// contains the stored form of a key because the text around it is invalid.
func TestErrorsDoNotShowStoredKeys(t *testing.T) {
	const hash = "4a54ff00aa"
	for _, field := range []string{
		"keys: " + hash, "keys: [" + hash + "]", "keys: [{hash: [" + hash + "]}]", "keys: [{hash: {a: " + hash + "}}]",
		"keys: [{hash: \"" + hash + "}]", "keys: [{withdrawn: " + hash + "}]", "keys:\n    - id: k\n     hash: " + hash,
	} {
		_, err := yamldoc.Decode("a", []byte("section: a\nteams:\n  - name: x\n    "+field+"\n"))
		assert.Assert(t, err != nil, field)
		assert.Check(t, !strings.Contains(err.Error(), hash), "%s: %v", field, err)
	}
}

// TestKeyEditsKeepTheRest guards against a key edit that loses comments or other
// keys.
func TestKeyEditsKeepTheRest(t *testing.T) {
	added, err := yamldoc.AddKey([]byte(text), "sales", document.Key{ID: "k3", Salt: "22", Hash: "cc"})
	assert.NilError(t, err)
	line := `      - {id: "k3", salt: "22", hash: "cc"}` + "\n"
	assert.Equal(t, strings.Replace(string(added), line, "", 1), text)
	assert.Assert(t, string(added) != text)

	added, err = yamldoc.AddKey([]byte(text), "web", document.Key{ID: "k3", Salt: "22", Hash: "cc"})
	assert.NilError(t, err)
	assert.Equal(t, strings.Replace(string(added), "    keys:\n"+line, "", 1), text)

	for _, id := range []string{"k1", "k2"} {
		withdrawn, err := yamldoc.WithdrawKey([]byte(text), "sales", id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(withdrawn), "# kept for the audit"))
		section, err := yamldoc.Decode("sales", withdrawn)
		assert.NilError(t, err)
		for _, k := range section.Teams[0].Keys {
			assert.Equal(t, k.Withdrawn, k.ID == id)
		}
		again, err := yamldoc.WithdrawKey(withdrawn, "sales", id)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(withdrawn))
	}

	flow := "section: sales\nteams: [{name: sales, share: 1, limit: 2}]\n"
	_, err = yamldoc.AddKey([]byte(flow), "sales", document.Key{ID: "k3", Salt: "22", Hash: "cc"})
	assert.ErrorContains(t, err, "by hand")
}

func genKey(t *rapid.T) document.Key {
	return document.Key{
		ID:        genName(t),
		Salt:      rapid.StringMatching("[0-9a-f]{2,16}|[0-9]e[0-9]{4}|0x[0-9]{4}").Draw(t, "salt"),
		Hash:      rapid.StringMatching("[0-9a-f]{64}").Draw(t, "hash"),
		Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
	}
}

func genName(t *rapid.T) string {
	return rapid.StringMatching("[A-Za-z0-9][A-Za-z0-9_-]{0,12}|true|null|no|1e3|~").Draw(t, "name")
}

func genSection(t *rapid.T) document.Section {
	s := document.Section{Name: genName(t)}
	pattern := rapid.StringMatching(`[ -~]{1,8}|[*?]-[a-z]+|- x|#y|\[a-z\]|a: b|---`)
	for range rapid.IntRange(0, 2).Draw(t, "pools") {
		s.Pools = append(s.Pools, document.Pool{
			Name: genName(t), Kind: fleet.KindWorker, Spare: rapid.Bool().Draw(t, "spare"),
			Adopt: rapid.SliceOfN(pattern, 1, 3).Draw(t, "adopt"), MaxUnavailable: rapid.Int().Draw(t, "max"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "teams") {
		s.Teams = append(s.Teams, document.Team{
			Name: genName(t), Share: rapid.Float64Range(0.001, 1e6).Draw(t, "share"), Limit: rapid.IntRange(0, 1e6).Draw(t, "limit"),
			Keys: []document.Key{genKey(t), genKey(t)},
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "queues") {
		s.Queues = append(s.Queues, document.Queue{Name: genName(t), Team: genName(t), Pool: genName(t), Class: fleet.ClassBatch, Open: rapid.Bool().Draw(t, "open")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "operators") {
		s.Operators = append(s.Operators, document.Operator{Name: genName(t), Key: genKey(t), Sections: rapid.SliceOfN(pattern, 1, 3).Draw(t, "patterns")})
	}
	return s
}

// TestEncodeDecodeRoundTrip guards against values that YAML reads differently, such
// as a salt that is read as a number.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := genSection(t), genSection(t)
		textA, err := yamldoc.Encode(a)
		assert.NilError(t, err)
		textB, err := yamldoc.Encode(b)
		assert.NilError(t, err)
		sources, err := yamldoc.DecodeAll("x", strings.NewReader(string(yamldoc.Join([][]byte{textA, textB}))))
		assert.NilError(t, err)
		assert.Equal(t, len(sources), 2)
		assert.DeepEqual(t, sources[0].Section, a)
		assert.DeepEqual(t, sources[1].Section, b)
		assert.Equal(t, string(sources[0].YAML), string(textA))
	})
}

// TestStringsThatReadAsOtherThings guards against strings that the library writes
// without quotes and reads back as a mapping, a number or a boolean.
func TestStringsThatReadAsOtherThings(t *testing.T) {
	for _, s := range []string{"? !", "? x", "- x", "a: b", "a #b", "true", "No", "1e3", "0x10", "~", "", " ", "*a", "&a", "!x", "|", ">", "%", "@", "`", "{", "[", "\"", "'", "<<", "---", "a\nb", "\t", "é", "<&>"} {
		want := document.Section{Name: "a", Operators: []document.Operator{{Name: s, Key: document.Key{ID: s, Salt: s}, Sections: []string{s}}}}
		text, err := yamldoc.Encode(want)
		assert.NilError(t, err)
		got, err := yamldoc.Decode("a", text)
		assert.NilError(t, err, "%q: %s", s, text)
		assert.DeepEqual(t, got, want)
	}
}

// TestArbitraryTextIsRefusedNotFatal guards against input that crashes the process.
func TestArbitraryTextIsRefusedNotFatal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"section: a", "\n", "---", "- ", "{", "}", "[", "]", ": ", "&a", "*a", "!!int", "teams:", "|", ">", "\"", "'", "\t", "  ", "#", "\x00", "<<: "})
		in := strings.Join(rapid.SliceOfN(piece, 0, 30).Draw(t, "text"), "")
		sources, err := yamldoc.DecodeAll("x", strings.NewReader(in))
		if err == nil && len(sources) > 0 {
			yamldoc.Locate([]byte(in)).Line("teams[0].name")
		}
	})
}
