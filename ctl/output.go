package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// output prints results on stdout, as a table or as JSON, and progress on
// stderr.
type output struct {
	asJSON         bool
	stdout, stderr io.Writer
	lastProgress   string
}

// printRow prints one line of a table.
type printRow func(cells ...any)

// print prints v as JSON, or the table that fill writes.
func (o *output) print(v any, fill func(printRow)) error {
	if !o.asJSON {
		return o.printTable(fill)
	}
	data, err := marshal(v)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.stdout, indented.String())
	return err
}

func marshal(v any) ([]byte, error) {
	if m, ok := v.(proto.Message); ok {
		return protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	}
	return json.Marshal(v)
}

func (o *output) printTable(fill func(printRow)) error {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fill(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(w, strings.TrimRight(strings.Join(texts, "\t"), "\t"))
	})
	return w.Flush()
}

// printLine prints one line, or it as the field "result" in JSON.
func (o *output) printLine(format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return o.print(map[string]string{"result": text}, func(r printRow) { r(text) })
}

// printProgress prints a line on stderr unless it equals the one before.
func (o *output) printProgress(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if text == o.lastProgress {
		return
	}
	o.lastProgress = text
	fmt.Fprintln(o.stderr, text)
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string                    `json:"error"`
	Exit     int                       `json:"exit"`
	Outcome  string                    `json:"outcome,omitempty"`
	Reason   string                    `json:"reason,omitempty"`
	Problems []*wirev1.DocumentProblem `json:"problems,omitempty"`
}

func printError(w io.Writer, asJSON bool, status int, err error) {
	r := errorReport{Error: err.Error(), Exit: status}
	var refused *callError
	if errors.As(err, &refused) && refused.refusal != nil {
		r.Outcome, r.Reason, r.Problems = refused.refusal.Outcome, refused.refusal.Reason, refused.refusal.Problems
	}
	if asJSON {
		data, _ := json.Marshal(r)
		fmt.Fprintln(w, string(data))
		return
	}
	fmt.Fprintln(w, "fuchsiactl:", r.Error)
	for _, p := range r.Problems {
		fmt.Fprintln(w, "  "+problemLine(p))
	}
}

// problemLine returns "section sales: line 5: teams[0].share: "0" is not
// allowed; want ...".
func problemLine(p *wirev1.DocumentProblem) string {
	where := "section " + p.Section
	if p.Line > 0 {
		where += fmt.Sprintf(": line %d", p.Line)
	}
	if p.Field != "" {
		where += ": " + p.Field
	}
	return fmt.Sprintf("%s: %q is not allowed; want %s", where, p.Value, p.Allowed)
}
