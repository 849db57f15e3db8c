package yamldoc

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// AddKey returns the text of a section with a key added to a team. All other
// text stays as it is. The error is of class fault.Invalid when the section
// lacks the team, or is laid out such that the key has to be added by hand.
func AddKey(text []byte, team string, k document.Key) ([]byte, error) {
	section, index, err := findTeam(text, team)
	if err != nil {
		return nil, err
	}
	want := section
	want.Teams = slices.Clone(section.Teams)
	want.Teams[index].Keys = append([]document.Key{k}, section.Teams[index].Keys...)
	edited, err := insertKey(text, index, k)
	if err != nil {
		return nil, err
	}
	return edited, verifyEdit(edited, want)
}

// WithdrawKey returns the text of a section with a key of a team marked as
// withdrawn. All other text stays as it is.
func WithdrawKey(text []byte, team, keyID string) ([]byte, error) {
	section, index, err := findTeam(text, team)
	if err != nil {
		return nil, err
	}
	want := section
	want.Teams = slices.Clone(section.Teams)
	keys := slices.Clone(section.Teams[index].Keys)
	at := slices.IndexFunc(keys, func(k document.Key) bool { return k.ID == keyID })
	if at < 0 {
		return nil, editFault(section.Name, "team %q has no key %q", team, keyID)
	}
	if keys[at].Withdrawn {
		return text, nil
	}
	keys[at].Withdrawn = true
	want.Teams[index].Keys = keys
	edited, err := markWithdrawn(text, index, at)
	if err != nil {
		return nil, err
	}
	return edited, verifyEdit(edited, want)
}

func editFault(section, format string, args ...any) error {
	return fault.New(&fault.Invalid, fault.ReasonMalformed, "edit section", section, format, args...)
}

func findTeam(text []byte, team string) (document.Section, int, error) {
	section, err := Decode("section", text)
	if err != nil {
		return section, 0, err
	}
	index := slices.IndexFunc(section.Teams, func(t document.Team) bool { return t.Name == team })
	if index < 0 {
		return section, 0, editFault(section.Name, "the section declares no team %q", team)
	}
	return section, index, nil
}

// verifyEdit checks that an edit changed exactly what it was meant to.
func verifyEdit(edited []byte, want document.Section) error {
	got, err := Decode("section", edited)
	if err != nil || !reflect.DeepEqual(got, want) {
		return editFault(want.Name, "the layout of the section does not allow to change the key in place; change it by hand")
	}
	return nil
}

// mappingAt returns the mapping node at a path of the text.
func mappingAt(text []byte, path string) (*ast.MappingNode, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, editFault("section", "%s", firstLine(err.Error()))
	}
	p, err := yaml.PathString(path)
	if err != nil {
		return nil, err
	}
	node, err := p.FilterFile(file)
	if err != nil {
		return nil, editFault("section", "%s is not there", path)
	}
	m, ok := node.(*ast.MappingNode)
	if !ok || len(m.Values) == 0 {
		return nil, editFault("section", "%s is not a mapping; change it by hand", path)
	}
	return m, nil
}

func insertKey(text []byte, team int, k document.Key) ([]byte, error) {
	m, err := mappingAt(text, fmt.Sprintf("$.teams[%d]", team))
	if err != nil {
		return nil, err
	}
	if m.IsFlowStyle {
		return nil, editFault("section", "the team is written in flow style, {...}; add the key by hand")
	}
	for _, v := range m.Values {
		if v.Key.GetToken().Value != "keys" {
			continue
		}
		keys, ok := v.Value.(*ast.SequenceNode)
		if !ok || keys.IsFlowStyle || len(keys.Values) == 0 {
			return nil, editFault("section", "the field keys is not a list of lines; add the key by hand")
		}
		start := keys.Start.Position
		return insertLine(text, start.Line, keyLine(start.Column, k)), nil
	}
	first := m.Values[0].Key.GetToken().Position
	indent := strings.Repeat(" ", first.Column-1)
	return insertLine(text, first.Line+1, indent+"keys:\n"+keyLine(first.Column+2, k)), nil
}

// keyLine returns the line of a key in a list whose dashes are at a column.
func keyLine(column int, k document.Key) string {
	return fmt.Sprintf("%s- {id: %q, salt: %q, hash: %q}\n", strings.Repeat(" ", column-1), k.ID, k.Salt, k.Hash)
}

func markWithdrawn(text []byte, team, key int) ([]byte, error) {
	m, err := mappingAt(text, fmt.Sprintf("$.teams[%d].keys[%d]", team, key))
	if err != nil {
		return nil, err
	}
	for _, v := range m.Values {
		if v.Key.GetToken().Value == "withdrawn" {
			return replaceWord(text, v.Value.GetToken().Position.Line, "false", "true"), nil
		}
	}
	first := m.Values[0].Key.GetToken().Position
	if m.IsFlowStyle {
		return insertAt(text, first.Line, first.Column, "withdrawn: true, "), nil
	}
	indent := strings.Repeat(" ", first.Column-1)
	return insertLine(text, first.Line+1, indent+"withdrawn: true\n"), nil
}

// insertLine puts a line before the line of a number, counted from one.
func insertLine(text []byte, number int, line string) []byte {
	lines := bytes.SplitAfter(text, []byte("\n"))
	at := min(number-1, len(lines))
	var out bytes.Buffer
	for _, l := range lines[:at] {
		out.Write(l)
	}
	if out.Len() > 0 && !bytes.HasSuffix(out.Bytes(), []byte("\n")) {
		out.WriteByte('\n')
	}
	out.WriteString(line)
	for _, l := range lines[at:] {
		out.Write(l)
	}
	return out.Bytes()
}

// insertAt puts a word into a line before a column; both count from one, the
// column in characters.
func insertAt(text []byte, number, column int, word string) []byte {
	return editLine(text, number, func(line string) string {
		runes := []rune(line)
		at := min(column-1, len(runes))
		return string(runes[:at]) + word + string(runes[at:])
	})
}

func replaceWord(text []byte, number int, old, word string) []byte {
	return editLine(text, number, func(line string) string {
		at := strings.LastIndex(line, old)
		if at < 0 {
			return line
		}
		return line[:at] + word + line[at+len(old):]
	})
}

func editLine(text []byte, number int, change func(string) string) []byte {
	lines := bytes.SplitAfter(text, []byte("\n"))
	if number < 1 || number > len(lines) {
		return text
	}
	lines[number-1] = []byte(change(string(lines[number-1])))
	return bytes.Join(lines, nil)
}
