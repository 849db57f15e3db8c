// Package yamldoc reads and writes sections of the operators' document as
// YAML. It keeps the operators' text with its comments and order.
package yamldoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// MaxSectionBytes bounds the text of one section. The shared state of the
// design size is about 1 MB in all.
const MaxSectionBytes = 256 << 10

// Source is one section together with its text as it was written.
type Source struct {
	Section document.Section
	YAML    []byte
	// Line is the line of the input at which the text begins, from one.
	Line int
}

// Decode reads one section. Unknown fields are errors. The error is a fault
// of class fault.Invalid whose peer is name and whose chain holds a
// *LineError when the line is known.
func Decode(name string, data []byte) (document.Section, error) {
	sources, err := DecodeAll(name, bytes.NewReader(data))
	if err != nil {
		return document.Section{}, err
	}
	if len(sources) != 1 {
		return document.Section{}, invalidSection(name, 0, "found %d sections, want one", len(sources))
	}
	return sources[0].Section, nil
}

// DecodeAll reads sections that lines of "---" separate. All sections are
// read, and the errors of all are returned joined.
func DecodeAll(name string, r io.Reader) ([]Source, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "read section", name, "%w", err)
	}
	var sources []Source
	var faults []error
	for _, chunk := range splitSections(data) {
		section, err := decodeSection(name, chunk)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		sources = append(sources, Source{Section: section, YAML: chunk.text, Line: chunk.line})
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return sources, nil
}

func decodeSection(name string, c chunk) (document.Section, error) {
	var section document.Section
	if len(c.text) > MaxSectionBytes {
		return section, invalidSection(name, c.line, "the section has %d bytes, want at most %d", len(c.text), MaxSectionBytes)
	}
	err := yaml.NewDecoder(bytes.NewReader(c.text), yaml.Strict()).Decode(&section)
	if errors.Is(err, io.EOF) {
		return section, invalidSection(name, c.line, "the section has no fields")
	}
	if err != nil {
		return section, decodeFault(name, c, err)
	}
	return section, nil
}

// chunk is the text of one section within a stream.
type chunk struct {
	text []byte
	line int
}

// splitSections cuts data at document separators. YAML allows "---" at the start of a
// line only there. Text without content, which is blank or all comments,
// belongs to the section that follows it, or at the end to the last one.
func splitSections(data []byte) []chunk {
	var chunks []chunk
	current := chunk{line: 1}
	hasContent := false
	for i, line := range bytes.SplitAfter(data, []byte("\n")) {
		if isSeparator(line) {
			if hasContent {
				chunks = append(chunks, current)
				current, hasContent = chunk{line: i + 2}, false
			}
			if len(current.text) == 0 {
				current.line = i + 2
			} else {
				// A blank line keeps the numbers of the lines that follow.
				current.text = append(current.text, '\n')
			}
			continue
		}
		current.text = append(current.text, line...)
		hasContent = hasContent || isContent(line)
	}
	switch {
	case hasContent:
		chunks = append(chunks, current)
	case len(chunks) > 0 && len(bytes.TrimSpace(current.text)) > 0:
		last := &chunks[len(chunks)-1]
		last.text = append(last.text, current.text...)
	}
	return chunks
}

func isSeparator(line []byte) bool {
	return string(bytes.TrimRight(line, " \t\r\n")) == "---"
}

func isContent(line []byte) bool {
	trimmed := bytes.TrimSpace(line)
	return len(trimmed) > 0 && trimmed[0] != '#'
}

// Join writes the texts of several sections as one stream.
func Join(texts [][]byte) []byte {
	var out bytes.Buffer
	for i, text := range texts {
		if i > 0 {
			out.WriteString("---\n")
		}
		out.Write(text)
		if !strings.HasSuffix(string(text), "\n") {
			out.WriteByte('\n')
		}
	}
	return out.Bytes()
}

// Encode writes one section.
func Encode(section document.Section) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(section, yaml.CustomMarshaler(marshalString))
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "write section", section.Name, "%w", err)
	}
	return data, nil
}

// plainString matches the strings that are written without quotes. The encoder
// by itself leaves some strings plain that read as something else, such as
// "? !", which begins a mapping.
var plainString = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]*$`)

// reservedWords are the plain words that YAML 1.1 or 1.2 reads as other types.
var reservedWords = []string{"true", "false", "null", "yes", "no", "on", "off", "y", "n"}

// marshalString writes a string; JSON strings are YAML strings (YAML 1.2.2, section
// 1.3).
func marshalString(s string) ([]byte, error) {
	if plainString.MatchString(s) && !slices.Contains(reservedWords, strings.ToLower(s)) {
		return []byte(s), nil
	}
	return json.Marshal(s)
}
