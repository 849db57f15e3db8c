// Package yamldoc reads and writes sections of the operators' document as
// YAML.
package yamldoc

import (
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-yaml"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Decode reads one section. Unknown fields are errors. The error is a fault
// of class fault.Invalid whose text names the line, and whose peer is name.
func Decode(name string, data []byte) (document.Section, error) {
	sections, err := DecodeAll(name, bytes.NewReader(data))
	if err != nil {
		return document.Section{}, err
	}
	if len(sections) != 1 {
		return document.Section{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "read section", name,
			"found %d sections, want one", len(sections))
	}
	return sections[0].Section, nil
}

// Source is one section together with its text.
type Source struct {
	Section document.Section
	YAML    []byte
}

// DecodeAll reads sections that are separate YAML documents in one stream.
func DecodeAll(name string, r io.Reader) ([]Source, error) {
	decoder := yaml.NewDecoder(r, yaml.Strict())
	var sources []Source
	for {
		var section document.Section
		err := decoder.Decode(&section)
		if errors.Is(err, io.EOF) {
			return sources, nil
		}
		if err != nil {
			return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "read section", name, "%s", yaml.FormatError(err, false, false))
		}
		text, err := Encode(section)
		if err != nil {
			return nil, err
		}
		sources = append(sources, Source{Section: section, YAML: text})
	}
}

// Encode writes one section.
func Encode(section document.Section) ([]byte, error) {
	data, err := yaml.Marshal(section)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "write section", section.Name, "%w", err)
	}
	return data, nil
}
