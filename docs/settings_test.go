package docs_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/ctl"
	"fuchsiafront.example/fuchsiafront/entryhost"
	"fuchsiafront.example/fuchsiafront/settings"
)

var rewritePage = flag.Bool("write", false, "write settings.md from the programs' settings")

const pagePath = "settings.md"

const introduction = `# Settings

Every setting is a flag, an environment variable or both; a flag goes before
its environment variable. Both programs check all settings before they start
anything and report all faults at once, each with the name of the setting, the
value found and what is allowed. With ` + "`--check`" + ` a program only checks. Wrong
settings end it with exit status 2.

This page is written from the programs' settings by
` + "`go test ./docs -write`" + `; a test fails when the two differ.

`

const ctlNotes = `
Exit statuses of fuchsiactl:

| status | meaning |
| --- | --- |
| 0 | done |
| 1 | failed: a read failed, a wait ran out of time, or a file is not valid |
| 2 | wrong usage or settings |
| 3 | conflict with another change; nothing was changed |
| 4 | refused and not run |
| 5 | outcome unknown; a repeat with the same ` + "`--change-id`" + ` is not applied twice |
`

func expectedPage() string {
	return introduction +
		"## fuchsiafrontd\n\n" + settings.Table(settings.List(&entryhost.Settings{})) +
		"\n## fuchsiactl\n\nA setting without a command belongs to all commands.\n\n" +
		settings.Table(settings.List(&ctl.Settings{})) + ctlNotes
}

// TestSettingsPageIsCurrent guards against a setting that is added, removed
// or changed without its row.
func TestSettingsPageIsCurrent(t *testing.T) {
	if *rewritePage {
		assert.NilError(t, os.WriteFile(pagePath, []byte(expectedPage()), 0o644))
	}
	text, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(text), expectedPage())
}

// TestEverySettingIsDescribed guards against a row without unit, range or
// meaning.
func TestEverySettingIsDescribed(t *testing.T) {
	rows := append(settings.List(&entryhost.Settings{}), settings.List(&ctl.Settings{})...)
	assert.Assert(t, len(rows) > 40)
	for _, r := range rows {
		assert.Check(t, r.Name() != "" && r.Unit != "" && r.Range != "" && r.Help != "" && r.Default != "", "%+v", r)
	}
}
