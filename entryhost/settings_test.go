package entryhost_test

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/entryhost"
	"fuchsiafront.example/fuchsiafront/settings"
)

func parseSettings(t *testing.T, args ...string) *entryhost.Settings {
	t.Helper()
	var s entryhost.Settings
	parser, err := arg.NewParser(arg.Config{Out: io.Discard, IgnoreEnv: true}, &s)
	assert.NilError(t, err)
	base := []string{"--name", "entry-1", "--zone", "klang", "--platform", "http://127.0.0.1:1"}
	assert.NilError(t, parser.Parse(append(base, args...)))
	return &s
}

// TestAllFaultsAreReportedAtOnce guards against a validation that stops at the
// first wrong setting, and against an error message that contains a key.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	assert.NilError(t, parseSettings(t).Validate())
	s := parseSettings(t, "--name", "a/b", "--zone", "", "--caller-address", "here", "--admin-address", "localhost:1", "--peer-address", "", "--peer-advertise", "there", "--peers", "nowhere", "--hold-term", "1s", "--preset", "klang",
		"--source-ip", "x", "--platform", "http://name:1", "--bootstrap-key", "k:zz:5ec7e7", "--max-entry-hosts", "0",
		"--max-body-bytes", "0", "--default-timeout", "3m", "--key-currency", "0s", "--host-retirement", "0s", "--share-weight", "0", "--move-weight", "NaN", "--roll-out-weight", "-1", "--buffer-weight", "101", "--spare-hosts", "-1", "--reference-roll-out", "0s", "--log-level", "loud", "--boot", "no-such-file")
	err := s.Validate()
	for _, r := range settings.List(s) {
		switch r.Flag {
		case "--max-timeout", "--readiness-delay", "--drain-timeout", "--early-refusal", "--divide-machines", "--check":
			continue
		}
		assert.Check(t, is.ErrorContains(err, "("+r.Flag+")"))
		assert.Check(t, is.ErrorContains(err, "want "+r.Range))
	}
	assert.Assert(t, !strings.Contains(err.Error(), "5ec7e7"))
}

// TestRangesAreAsDescribed guards against a settings page and messages whose
// bounds differ from those that Validate applies.
func TestRangesAreAsDescribed(t *testing.T) {
	checkedBounds := 0
	for _, r := range settings.List(&entryhost.Settings{}) {
		low, high, found := strings.Cut(r.Range, " to ")
		if !found {
			continue
		}
		for _, bound := range []struct {
			text string
			out  int64
		}{{low, -1}, {high, 1}} {
			inside, outside, ok := boundaryValues(bound.text, bound.out)
			if !ok {
				continue
			}
			checkedBounds++
			assert.Check(t, parseSettings(t, "--max-timeout", "1h", "--default-timeout", "1ms", r.Flag+"="+inside).Validate(), "%s=%s is within the range", r.Flag, inside)
			assert.Check(t, is.ErrorContains(parseSettings(t, "--max-timeout", "1h", "--default-timeout", "1ms", r.Flag+"="+outside).Validate(), r.Flag), "%s=%s is outside the range", r.Flag, outside)
		}
	}
	assert.Assert(t, checkedBounds >= 12, "only %d bounds checked", checkedBounds)
}

// boundaryValues returns a bound and its neighbour outside the range.
func boundaryValues(bound string, step int64) (inside, outside string, ok bool) {
	if n, err := strconv.ParseInt(bound, 10, 64); err == nil {
		return bound, strconv.FormatInt(n+step, 10), true
	}
	if d, err := time.ParseDuration(bound); err == nil {
		return bound, (d + time.Duration(step)).String(), true
	}
	return "", "", false
}
