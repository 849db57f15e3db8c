// Package ctl is the operators' tool: it reads the command line, calls the
// operators' API of an entry host, and prints what it answers.
package ctl

import (
	"os"
	"strconv"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/settings"
)

// Settings are the flags, environment variables and subcommands of
// fuchsiactl.
type Settings struct {
	Servers         []string      `arg:"--server,separate,env:FUCHSIAFRONT_SERVERS" help:"operators' address of an entry host, tried in turn; the environment variable holds a list with commas" placeholder:"URL" unit:"URL" range:"http://IP:port, at least one for commands that call an entry host"`
	OperatorKey     string        `arg:"--,env:FUCHSIAFRONT_OPERATOR_KEY" help:"operator key; there is no flag for it, because other users of a machine see the command line" unit:"key" range:"ff.HOLDER.ID.SECRET, unless --operator-key-file names a file"`
	OperatorKeyFile string        `arg:"--operator-key-file,env:FUCHSIAFRONT_OPERATOR_KEY_FILE" help:"file that holds the operator key" placeholder:"FILE" unit:"file name" range:"a file with one key, ff.HOLDER.ID.SECRET, unless FUCHSIAFRONT_OPERATOR_KEY holds the key"`
	Timeout         time.Duration `arg:"--timeout,env:FUCHSIAFRONT_TIMEOUT" default:"30s" help:"longest time for one call with its repeats, and for one wait" placeholder:"DURATION" range:"100ms to 1h"`
	ChangeID        string        `arg:"--change-id" help:"identifier of the change; a repeat with the same identifier is not applied twice; made up when not given" placeholder:"ID" unit:"identifier" range:"1 to 63 letters, digits, '-' or '_', or empty"`
	JSON            bool          `arg:"--json,env:FUCHSIAFRONT_JSON" help:"print JSON"`
	Check           bool          `arg:"--check" help:"check the settings and exit"`

	Document *documentCommands `arg:"subcommand:document" help:"the operators' document"`
	Rollout  *rolloutCommand   `arg:"subcommand:rollout" help:"which entry hosts have a revision"`
	Key      *keyCommands      `arg:"subcommand:key" help:"keys of teams"`
	Operator *operatorCommands `arg:"subcommand:operator" help:"keys of operators"`
	Host     *hostCommands     `arg:"subcommand:host" help:"hosts and entry hosts"`
	Pool     *poolCommands     `arg:"subcommand:pool" help:"pools"`
	Wave     *waveCommands     `arg:"subcommand:wave" help:"maintenance waves"`
	Queue    *queueCommands    `arg:"subcommand:queue" help:"queues"`
	Job      *jobCommands      `arg:"subcommand:job" help:"jobs"`
	Team     *teamCommands     `arg:"subcommand:team" help:"teams"`
	Refusals *refusalsCommand  `arg:"subcommand:refusals" help:"refused work by reason"`
	Fleet    *fleetCommands    `arg:"subcommand:fleet" help:"the users' platform, read from its store without an entry host"`
}

// Description implements go-arg's interface.
func (Settings) Description() string {
	return "fuchsiactl is the operators' tool of fuchsiafront."
}

// Epilogue implements go-arg's interface.
func (Settings) Epilogue() string {
	return "Exit status: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict with another change, 4 refused and not run, 5 outcome unknown."
}

// Bounds of --timeout.
const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = time.Hour
)

// validate returns all faults of the settings, those of the command among
// them, joined.
func (s *Settings) validate(c command) error {
	checker := settings.NewChecker(s)
	if s.Timeout < minTimeout || s.Timeout > maxTimeout {
		checker.Reject("--timeout", s.Timeout.String())
	}
	if s.ChangeID != "" && !document.ValidName(s.ChangeID) {
		checker.Reject("--change-id", s.ChangeID)
	}
	for _, server := range s.Servers {
		if !settings.IsServerURL(server) {
			checker.Reject("--server", server)
		}
	}
	if _, offline := c.(offlineCommand); !offline {
		s.validateAccess(checker)
	}
	s.Fleet.check(checker)
	c.check(checker)
	return checker.Err()
}

// validateAccess checks what a command needs to call an entry host.
func (s *Settings) validateAccess(c *settings.Checker) {
	if len(s.Servers) == 0 {
		c.Reject("--server", "")
	}
	switch {
	case (s.OperatorKey == "") == (s.OperatorKeyFile == ""):
		c.Reject("--operator-key-file", s.OperatorKeyFile)
	case s.OperatorKey != "":
		if _, ok := keyring.Parse(s.OperatorKey); !ok {
			c.Reject("FUCHSIAFRONT_OPERATOR_KEY", "(hidden)")
		}
	default:
		if _, err := readOperatorKeyFile(s.OperatorKeyFile); err != nil {
			c.Reject("--operator-key-file", s.OperatorKeyFile)
			c.Add(err)
		}
	}
}

// resolveOperatorKey returns the operator key. The settings are valid.
func (s *Settings) resolveOperatorKey() string {
	if s.OperatorKey != "" {
		return s.OperatorKey
	}
	key, _ := readOperatorKeyFile(s.OperatorKeyFile)
	return key
}

func readOperatorKeyFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", newExitError(exitUsage, "read operator key", "%w", err)
	}
	key := strings.TrimSpace(string(data))
	if _, ok := keyring.Parse(key); !ok {
		return "", newExitError(exitUsage, "read operator key", "file %s holds no key of the form ff.HOLDER.ID.SECRET", file)
	}
	return key, nil
}

// requireArgument rejects an argument that is missing.
func requireArgument(c *settings.Checker, name, value string) {
	if value == "" {
		c.Reject(name, value)
	}
}

// requireFiles rejects a missing list of files.
func requireFiles(c *settings.Checker, files []string) {
	if len(files) == 0 {
		c.Reject("FILE", "")
	}
}

// parseRevisions reads SECTION=REVISION pairs.
func parseRevisions(pairs []string) (map[string]uint64, bool) {
	out := make(map[string]uint64, len(pairs))
	for _, pair := range pairs {
		name, number, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil || name == "" {
			return nil, false
		}
		out[name] = n
	}
	return out, true
}
