package yamldoc

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// LineError is an error at a line of the operators' text.
type LineError struct {
	// Line is counted from one; zero if it is not known.
	Line int
	Text string
}

// Error returns "line N: text".
func (e *LineError) Error() string {
	if e.Line == 0 {
		return e.Text
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Text)
}

func invalidSection(name string, line int, format string, args ...any) error {
	e := &LineError{Line: line, Text: fmt.Sprintf(format, args...)}
	return fault.New(&fault.Invalid, fault.ReasonMalformed, "read section", name, "%w", e)
}

func decodeFault(name string, c chunk, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return invalidSection(name, c.line, "%s", firstLine(err.Error()))
	}
	line := 0
	if t := located.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line + c.line - 1
	}
	text := located.GetMessage()
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) && unknown.Token != nil {
		text += suggestField(unknown.Token.Value)
	}
	return invalidSection(name, line, "%s", firstLine(text))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// Locator finds the line numbers of fields in the text of one section.
type Locator struct {
	file *ast.File
}

// Locate returns a locator for text. In a text that cannot be parsed it finds no
// field.
func Locate(text []byte) Locator {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Locator{}
	}
	return Locator{file}
}

// Line returns the line number of a field, such as "pools[0].adopt[1]". If the text
// lacks the field, it returns the line of the innermost enclosing field that exists,
// or zero if there is none.
func (l Locator) Line(field string) int {
	if field == "" || l.file == nil {
		return 0
	}
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(l.file)
	if err == nil && node != nil && node.GetToken() != nil {
		return node.GetToken().Position.Line
	}
	cut := strings.LastIndexAny(field, ".[")
	if cut <= 0 {
		return 0
	}
	return l.Line(field[:cut])
}

// maxSuggestionDistance is the largest edit distance at which a known field name is
// suggested for an unknown one.
const maxSuggestionDistance = 3

// suggestField returns a hint with the known field name closest to an unknown one,
// or an empty string if none is close enough.
func suggestField(unknown string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, known := range fieldNames(reflect.TypeFor[document.Section]()) {
		if d := editDistance(strings.ToLower(unknown), strings.ToLower(known)); d < distance {
			best, distance = known, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + strconv.Quote(best) + "?"
}

// fieldNames returns the YAML names of the fields of t and of the types nested in
// it.
func fieldNames(t reflect.Type) []string {
	switch t.Kind() {
	case reflect.Slice:
		return fieldNames(t.Elem())
	case reflect.Struct:
	default:
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		names = append(names, name)
		names = append(names, fieldNames(f.Type)...)
	}
	return names
}

// editDistance returns the Levenshtein distance between two strings (Wagner and
// Fischer, J. ACM 21(1), 1974).
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(row[j+1]+1, row[j]+1, substitute)
		}
	}
	return row[len(b)]
}
