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

// LineError is a fault at a line of the operators' text.
type LineError struct {
	// Line counts from one; zero when it is not known.
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

// Locator finds the lines of fields in the text of one section.
type Locator struct {
	file *ast.File
}

// Locate returns a locator for a text; it finds nothing in a text that cannot
// be read.
func Locate(text []byte) Locator {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Locator{}
	}
	return Locator{file}
}

// Line returns the line of a field, such as "pools[0].adopt[1]", or of the
// nearest field around it that is there, and zero when there is none.
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

// maxSuggestionDistance is the number of edits up to which a known name is
// taken for what the operator meant.
const maxSuggestionDistance = 3

// suggestField names the known field that is nearest to an unknown one.
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

// fieldNames returns the names of the fields of t and of all types in it.
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

// editDistance returns the Levenshtein distance of two strings (Wagner and
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
