package ctl

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

type documentCommands struct {
	Validate *documentValidateCommand `arg:"subcommand:validate" help:"check files without an entry host"`
	Show     *documentShowCommand     `arg:"subcommand:show" help:"print sections as they are in force"`
	Diff     *documentDiffCommand     `arg:"subcommand:diff" help:"print what files would change"`
	Apply    *documentApplyCommand    `arg:"subcommand:apply" help:"put sections in force, all of them or none"`
}

type documentValidateCommand struct {
	Files []string `arg:"positional" help:"files that together hold the whole document" placeholder:"FILE" unit:"file name" range:"at least one readable file"`
}

type documentShowCommand struct {
	Sections []string `arg:"--section,separate" help:"section to print; all when not given" placeholder:"NAME" unit:"name" range:"names of sections"`
}

type documentDiffCommand struct {
	Files    []string `arg:"positional" help:"files with sections" placeholder:"FILE" unit:"file name" range:"at least one readable file"`
	Sections []string `arg:"--section,separate" help:"section to compare; all in the files when not given" placeholder:"NAME" unit:"name" range:"names of sections in the files"`
}

type documentApplyCommand struct {
	Files      []string `arg:"positional" help:"files with sections" placeholder:"FILE" unit:"file name" range:"at least one readable file, unless sections are deleted"`
	Sections   []string `arg:"--section,separate" help:"section to apply; all in the files when not given" placeholder:"NAME" unit:"name" range:"names of sections in the files"`
	Delete     []string `arg:"--delete,separate" help:"section to delete" placeholder:"NAME" unit:"name" range:"names of sections in force"`
	IfRevision []string `arg:"--if-revision,separate" help:"revision that a section was changed from, where the file does not say it" placeholder:"NAME=N" unit:"section and revision" range:"NAME=N with N at least 0"`
	Overwrite  bool     `arg:"--overwrite" help:"change sections from the revision in force, whatever it is"`
	Wait       bool     `arg:"--wait" help:"wait until the change is in force on all entry hosts"`
}

func (*documentValidateCommand) offline()                    {}
func (c *documentValidateCommand) check(k *settings.Checker) { requireFiles(k, c.Files) }
func (c *documentShowCommand) check(*settings.Checker)       {}
func (c *documentDiffCommand) check(k *settings.Checker)     { requireFiles(k, c.Files) }

func (c *documentApplyCommand) check(k *settings.Checker) {
	if len(c.Delete) == 0 {
		requireFiles(k, c.Files)
	}
	if _, ok := parseRevisions(c.IfRevision); !ok {
		k.Reject("--if-revision", strings.Join(c.IfRevision, " "))
	}
}

// revisionMarkerFormat is the line by which show tells apply the revision that a
// section was changed from. It is not part of the stored text.
const revisionMarkerFormat = "# fuchsiactl: section %s at revision %d\n"

// fileSection is a section of a file on disk.
type fileSection struct {
	yamldoc.Source
	file string
	// revision is the one that the marker names; zero without a marker.
	revision uint64
}

// readSections reads all sections of files, and only those named if any are.
func readSections(files, only []string) ([]fileSection, error) {
	var sections []fileSection
	first := make(map[string]string)
	for _, file := range files {
		found, err := readFile(file)
		if err != nil {
			return nil, err
		}
		for _, s := range found {
			if len(only) > 0 && !slices.Contains(only, s.Section.Name) {
				continue
			}
			if earlier, taken := first[s.Section.Name]; taken {
				return nil, newExitError(exitFailed, "read document", "section %q is in %s and again in %s at line %d; want each section once", s.Section.Name, earlier, file, s.Line)
			}
			first[s.Section.Name] = file
			sections = append(sections, s)
		}
	}
	for _, name := range only {
		if _, found := first[name]; !found {
			return nil, newExitError(exitUsage, "read document", "--section %q is in none of the files", name)
		}
	}
	return sections, nil
}

func readFile(file string) ([]fileSection, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, newExitError(exitFailed, "read document", "%w", err)
	}
	defer f.Close()
	sources, err := yamldoc.DecodeAll(file, f)
	if err != nil {
		return nil, &exitError{exitFailed, err}
	}
	sections := make([]fileSection, len(sources))
	for i, source := range sources {
		sections[i] = fileSection{Source: source, file: file}
		sections[i].extractRevisionMarker()
	}
	return sections, nil
}

// extractRevisionMarker removes the marker from the text and keeps its revision.
func (s *fileSection) extractRevisionMarker() {
	for line := range strings.SplitAfterSeq(string(s.YAML), "\n") {
		var name string
		var revision uint64
		if _, err := fmt.Sscanf(line, revisionMarkerFormat, &name, &revision); err != nil || name != s.Section.Name {
			continue
		}
		s.revision = revision
		s.YAML = []byte(strings.Replace(string(s.YAML), line, "", 1))
		return
	}
}

func (c *documentValidateCommand) run(_ context.Context, s *session) error {
	sections, err := readSections(c.Files, nil)
	if err != nil {
		return err
	}
	d := overlay(nil, sections, nil)
	problems := document.Validate(d)
	problems = append(problems, document.CheckOwnership(d, d)...)
	if len(problems) == 0 {
		return s.out.printLine("%d sections are valid", len(sections))
	}
	return documentProblemsError(problems, sections)
}

// overlay returns a document with sections replaced by those of files.
func overlay(base *document.Document, sections []fileSection, deleted []string) *document.Document {
	d := &document.Document{Sections: make(map[string]document.Section)}
	if base != nil {
		maps.Copy(d.Sections, base.Sections)
	}
	for _, s := range sections {
		d.Sections[s.Section.Name] = s.Section
	}
	for _, name := range deleted {
		delete(d.Sections, name)
	}
	return d
}

// documentProblemsError returns the error that lists all problems with their lines.
func documentProblemsError(problems []document.Problem, sections []fileSection) error {
	refusal := &wirev1.AdminRefusal{Outcome: "not-run", Reason: string(fault.ReasonMalformed)}
	byName := make(map[string]fileSection, len(sections))
	locators := make(map[string]yamldoc.Locator, len(sections))
	var files []string
	for _, s := range sections {
		byName[s.Section.Name] = s
		locators[s.Section.Name] = yamldoc.Locate(s.YAML)
		if !slices.Contains(files, s.file) {
			files = append(files, s.file)
		}
	}
	for _, p := range problems {
		wire := &wirev1.DocumentProblem{Section: p.Section, Field: p.Field, Value: p.Value, Allowed: p.Allowed}
		if line := locators[p.Section].Line(p.Field); line > 0 {
			s := byName[p.Section]
			wire.Line = int32(s.Line - 1 + line + s.markerLineCount())
		}
		refusal.Problems = append(refusal.Problems, wire)
	}
	return &exitError{exitFailed, &callError{source: strings.Join(files, ", "), refusal: refusal}}
}

// markerLineCount returns the number of lines that extractRevisionMarker removed.
func (s *fileSection) markerLineCount() int {
	if s.revision > 0 {
		return 1
	}
	return 0
}

func (c *documentShowCommand) run(ctx context.Context, s *session) error {
	resp, err := getDocument(ctx, s, c.Sections...)
	if err != nil {
		return err
	}
	for _, name := range c.Sections {
		if !slices.ContainsFunc(resp.Sections, func(r *wirev1.SectionRevision) bool { return r.Name == name }) {
			return newExitError(exitFailed, "show document", "--section %q is not in force; want one of the sections that \"document show\" lists", name)
		}
	}
	if s.out.asJSON {
		return s.out.print(resp, nil)
	}
	texts := make([][]byte, len(resp.Sections))
	for i, r := range resp.Sections {
		texts[i] = []byte(fmt.Sprintf(revisionMarkerFormat, r.Name, r.Revision) + r.Yaml)
	}
	_, err = s.out.stdout.Write(yamldoc.Join(texts))
	return err
}

func getDocument(ctx context.Context, s *session, sections ...string) (*wirev1.GetDocumentResponse, error) {
	return call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.GetDocument, &wirev1.GetDocumentRequest{Sections: sections})
}

func decodeDocument(resp *wirev1.GetDocumentResponse) (*document.Document, error) {
	d := &document.Document{Sections: make(map[string]document.Section, len(resp.Sections))}
	for _, r := range resp.Sections {
		section, err := yamldoc.Decode(r.Name, []byte(r.Yaml))
		if err != nil {
			return nil, &exitError{exitFailed, err}
		}
		d.Sections[r.Name] = section
	}
	return d, nil
}

func (c *documentDiffCommand) run(ctx context.Context, s *session) error {
	sections, err := readSections(c.Files, c.Sections)
	if err != nil {
		return err
	}
	resp, err := getDocument(ctx, s)
	if err != nil {
		return err
	}
	before, err := decodeDocument(resp)
	if err != nil {
		return err
	}
	after := overlay(before, sections, nil)
	differences := document.Diff(before, after)
	if err := s.out.print(map[string]any{"revision": resp.Revision, "differences": differences}, func(r printRow) { printDifferences(r, differences) }); err != nil {
		return err
	}
	problems := append(document.Validate(after), document.CheckOwnership(before, after)...)
	if len(problems) > 0 {
		return documentProblemsError(problems, sections)
	}
	return nil
}

func printDifferences(r printRow, differences []document.Difference) {
	if len(differences) == 0 {
		r("nothing changes")
		return
	}
	r("CHANGE", "KIND", "NAME", "FIELD", "OLD", "NEW")
	for _, d := range differences {
		if len(d.Fields) == 0 {
			r(d.Change, d.Kind, d.Name)
		}
		for _, f := range d.Fields {
			r(d.Change, d.Kind, d.Name, f.Field, dashIfEmpty(f.Old), dashIfEmpty(f.New))
		}
	}
}

// dashIfEmpty stands for an empty cell.
func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (c *documentApplyCommand) run(ctx context.Context, s *session) error {
	sections, err := readSections(c.Files, c.Sections)
	if err != nil {
		return err
	}
	changes, err := c.sectionChanges(ctx, s, sections)
	if err != nil {
		return err
	}
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.Apply, &wirev1.ApplyRequest{ChangeId: s.changeID, Changes: changes})
	if err != nil {
		return err
	}
	if err := s.out.print(resp, func(r printRow) { printApplyResult(r, resp) }); err != nil || !c.Wait {
		return err
	}
	return waitInForce(ctx, s, resp.Revision)
}

// sectionChanges returns the changes with the revisions that they were made from:
// from the command line, the file, or for --overwrite the entry host.
func (c *documentApplyCommand) sectionChanges(ctx context.Context, s *session, sections []fileSection) ([]*wirev1.SectionChange, error) {
	named, _ := parseRevisions(c.IfRevision)
	if c.Overwrite {
		present, err := getDocument(ctx, s)
		if err != nil {
			return nil, err
		}
		for _, r := range present.Sections {
			named[r.Name] = r.Revision
		}
	}
	var changes []*wirev1.SectionChange
	for _, section := range sections {
		from, ok := named[section.Section.Name]
		if !ok {
			from = section.revision
		}
		changes = append(changes, &wirev1.SectionChange{Name: section.Section.Name, IfRevision: from, Yaml: string(section.YAML)})
	}
	for _, name := range c.Delete {
		changes = append(changes, &wirev1.SectionChange{Name: name, IfRevision: named[name], Delete: true})
	}
	return changes, nil
}

func printApplyResult(r printRow, resp *wirev1.ApplyResponse) {
	switch {
	case resp.Unchanged:
		r(fmt.Sprintf("nothing to change; revision %d is in force here", resp.Revision))
	case resp.RepeatedSubmission:
		r(fmt.Sprintf("accepted earlier as revision %d", resp.Revision))
	default:
		r(fmt.Sprintf("accepted as revision %d", resp.Revision))
	}
}
