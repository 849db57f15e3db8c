// Package entryhost holds the settings of an entry host and assembles its
// services.
package entryhost

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/settings"
)

// Settings are the flags and environment variables of fuchsiafrontd.
type Settings struct {
	Name             string        `arg:"--name,env:FUCHSIAFRONT_NAME" help:"name of this entry host, unique in the deployment" placeholder:"NAME" unit:"name" range:"at least 1 character, without spaces and slashes"`
	Zone             string        `arg:"--zone,env:FUCHSIAFRONT_ZONE" help:"availability zone of this entry host" placeholder:"ZONE" unit:"name" range:"the name of an availability zone, at least 1 character"`
	CallerAddress    string        `arg:"--caller-address,env:FUCHSIAFRONT_CALLER_ADDRESS" default:"127.0.0.1:8080" help:"IP:port for callers" placeholder:"IP:PORT" unit:"IP:port" range:"an IP address and a port"`
	AdminAddress     string        `arg:"--admin-address,env:FUCHSIAFRONT_ADMIN_ADDRESS" default:"127.0.0.1:8081" help:"IP:port for operators, health and metrics" placeholder:"IP:PORT" unit:"IP:port" range:"an IP address and a port"`
	PeerAddress      string        `arg:"--peer-address,env:FUCHSIAFRONT_PEER_ADDRESS" default:"127.0.0.1:8082" help:"IP:port for other entry hosts" placeholder:"IP:PORT" unit:"IP:port" range:"an IP address and a port"`
	PeerAdvertise    string        `arg:"--peer-advertise,env:FUCHSIAFRONT_PEER_ADVERTISE" help:"IP:port at which other entry hosts reach --peer-address, when it differs" placeholder:"IP:PORT" unit:"IP:port" range:"an IP address and a port, or empty for --peer-address"`
	Peers            []string      `arg:"--peers,env:FUCHSIAFRONT_PEERS" help:"IP:port of other entry hosts to contact at start, also while the platform is down" placeholder:"IP:PORT" unit:"IP:port list" range:"IP addresses with ports, or empty for none"`
	SourceIP         string        `arg:"--source-ip,env:FUCHSIAFRONT_SOURCE_IP" help:"source IP of outgoing connections" placeholder:"IP" unit:"IP address" range:"an IP address, or empty to let the system choose"`
	Platform         string        `arg:"--platform,env:FUCHSIAFRONT_PLATFORM" help:"URL of the platform, http://IP:port" placeholder:"URL" unit:"URL" range:"http://IP:port"`
	BootstrapKey     string        `arg:"--bootstrap-key,env:FUCHSIAFRONT_BOOTSTRAP_KEY" help:"stored form ID:SALT:HASH of the operator key that is accepted while the document declares no operators" placeholder:"KEY" unit:"stored key" range:"ID:SALT:HASH as printed by fuchsiactl operator create-key, or empty for none"`
	MaxEntryHosts    int           `arg:"--max-entry-hosts,env:FUCHSIAFRONT_MAX_ENTRY_HOSTS" default:"8" help:"largest number of entry hosts, by which the connections of a backend server are divided" placeholder:"N" unit:"entry hosts" range:"1 to 64"`
	MaxBodyBytes     int64         `arg:"--max-body-bytes,env:FUCHSIAFRONT_MAX_BODY_BYTES" default:"4194304" help:"largest request body" placeholder:"BYTES" unit:"bytes" range:"1 to 1073741824"`
	DefaultTimeout   time.Duration `arg:"--default-timeout,env:FUCHSIAFRONT_DEFAULT_TIMEOUT" default:"30s" help:"timeout of requests that do not set one" placeholder:"DURATION" range:"1ms to the value of --max-timeout"`
	MaxTimeout       time.Duration `arg:"--max-timeout,env:FUCHSIAFRONT_MAX_TIMEOUT" default:"2m" help:"longest timeout that a request may set" placeholder:"DURATION" range:"1ms to 1h"`
	MaxKeyStaleness  time.Duration `arg:"--key-currency,env:FUCHSIAFRONT_KEY_CURRENCY" default:"3s" help:"maximum staleness of the replica of the keys at which keys are accepted" placeholder:"DURATION" range:"1s to 1m"`
	HoldTerm         time.Duration `arg:"--hold-term,env:FUCHSIAFRONT_HOLD_TERM" default:"75m" help:"how long rights may be used after the last confirmed renewal of the member row" placeholder:"DURATION" range:"1m to 24h"`
	ReadinessDelay   time.Duration `arg:"--readiness-delay,env:FUCHSIAFRONT_READINESS_DELAY" default:"3s" help:"time between reporting not-ready and refusing new connections at shutdown" placeholder:"DURATION" range:"0s to 1m"`
	DrainTimeout     time.Duration `arg:"--drain-timeout,env:FUCHSIAFRONT_DRAIN_TIMEOUT" default:"2m30s" help:"longest time that a shutdown waits for running work" placeholder:"DURATION" range:"1s to 24h"`
	HostRetirement   time.Duration `arg:"--host-retirement,env:FUCHSIAFRONT_HOST_RETIREMENT" default:"30m" help:"time after which a host that is missing from the host list loses its pool, unless many hosts of its zone are missing" placeholder:"DURATION" range:"1m to 24h"`
	ShareWeight      float64       `arg:"--share-weight,env:FUCHSIAFRONT_SHARE_WEIGHT" default:"1" help:"weight of work that waits because hosts are short, in the choice of moves between pools" placeholder:"WEIGHT" unit:"weight" range:"0.01 to 100"`
	MoveWeight       float64       `arg:"--move-weight,env:FUCHSIAFRONT_MOVE_WEIGHT" default:"1" help:"weight of one move of a host between pools" placeholder:"WEIGHT" unit:"weight" range:"0.01 to 100"`
	RollOutWeight    float64       `arg:"--roll-out-weight,env:FUCHSIAFRONT_ROLL_OUT_WEIGHT" default:"1" help:"weight of the time that a wave takes" placeholder:"WEIGHT" unit:"weight" range:"0.01 to 100"`
	BufferWeight     float64       `arg:"--buffer-weight,env:FUCHSIAFRONT_BUFFER_WEIGHT" default:"1" help:"weight of one host held spare for a wave" placeholder:"WEIGHT" unit:"weight" range:"0.01 to 100"`
	SpareHosts       int           `arg:"--spare-hosts,env:FUCHSIAFRONT_SPARE_HOSTS" default:"1" help:"hosts that a wave leaves in service beyond the demand of the pool" placeholder:"N" unit:"hosts" range:"0 to 1000"`
	ReferenceRollOut time.Duration `arg:"--reference-roll-out,env:FUCHSIAFRONT_REFERENCE_ROLL_OUT" default:"10s" help:"roll-out time of a wave that costs as much as one host held spare if both weights are equal" placeholder:"DURATION" range:"1s to 24h"`
	Preset           string        `arg:"--preset,env:FUCHSIAFRONT_PRESET" help:"removed; a value is refused" placeholder:"NAME" unit:"name" range:"no value, and in its place --share-weight, --move-weight, --roll-out-weight, --buffer-weight, --spare-hosts and --reference-roll-out"`
	LogLevel         string        `arg:"--log-level,env:FUCHSIAFRONT_LOG_LEVEL" default:"info" help:"trace, debug, info, warn or error" placeholder:"LEVEL" unit:"name" range:"trace, debug, info, warn or error; empty means info"`
	Boot             string        `arg:"--boot,env:FUCHSIAFRONT_BOOT" help:"settings file of the users' platform; if set, the host runs on that platform, and of the other settings only --log-level, --early-refusal, --divide-machines and --check apply" placeholder:"FILE" unit:"file name" range:"a readable file, or empty"`
	EarlyRefusal     bool          `arg:"--early-refusal,env:FUCHSIAFRONT_EARLY_REFUSAL" help:"with --boot: refuse jobs at once that could end only when they have no value any more, and tell callers when to return; turn it on only when every host runs a version that has this setting"`
	DivideMachines   bool          `arg:"--divide-machines,env:FUCHSIAFRONT_DIVIDE_MACHINES" help:"with --boot: when the pools want more machines than there are, divide them by the work that can be on time"`
	Check            bool          `arg:"--check" help:"check the settings and exit"`
}

// Defaults returns the settings that apply where no flag or environment
// variable sets another value.
func Defaults() Settings {
	var s Settings
	parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &s)
	if err != nil {
		panic(err)
	}
	if err := parser.Parse(nil); err != nil {
		panic(err)
	}
	return s
}

// Description implements the Described interface of go-arg.
func (Settings) Description() string {
	return "fuchsiafrontd is the daemon of an entry host: it admits, queues and routes callers' work."
}

// Validate returns all errors in the settings, joined.
func (s *Settings) Validate() error {
	c := settings.NewChecker(s)
	if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
		c.Reject("--name", s.Name)
	}
	if s.Zone == "" {
		c.Reject("--zone", s.Zone)
	}
	s.validateAddresses(c)
	s.validateDurations(c)
	if s.MaxEntryHosts < 1 || s.MaxEntryHosts > 64 {
		c.Reject("--max-entry-hosts", strconv.Itoa(s.MaxEntryHosts))
	}
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyBytesBound {
		c.Reject("--max-body-bytes", strconv.FormatInt(s.MaxBodyBytes, 10))
	}
	if s.BootstrapKey != "" && !s.bootstrapKeyIsValid() {
		c.Reject("--bootstrap-key", "(hidden)")
	}
	s.validateWaves(c)
	s.validateCommon(c)
	return c.Err()
}

// ValidateBoot returns all errors in the settings that hold beside the platform's
// settings file, joined.
func (s *Settings) ValidateBoot() error {
	c := settings.NewChecker(s)
	s.validateCommon(c)
	return c.Err()
}

// validateCommon checks the settings that hold on both platforms.
func (s *Settings) validateCommon(c *settings.Checker) {
	if s.Preset != "" {
		c.Reject("--preset", s.Preset)
	}
	if s.LogLevel != "" && !slices.Contains(logLevels, s.LogLevel) {
		c.Reject("--log-level", s.LogLevel)
	}
	if s.Boot != "" && !isReadable(s.Boot) {
		c.Reject("--boot", s.Boot)
	}
}

// isReadable reports whether the file at path can be opened.
func isReadable(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	return f.Close() == nil
}

// maxBodyBytesBound is the largest value of --max-body-bytes: 1 GiB.
const maxBodyBytesBound = 1 << 30

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

func (s *Settings) validateAddresses(c *settings.Checker) {
	addresses := []struct{ flag, value string }{
		{"--caller-address", s.CallerAddress},
		{"--admin-address", s.AdminAddress},
		{"--peer-address", s.PeerAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			c.Reject(a.flag, a.value)
		}
	}
	if s.PeerAdvertise != "" {
		if _, err := netip.ParseAddrPort(s.PeerAdvertise); err != nil {
			c.Reject("--peer-advertise", s.PeerAdvertise)
		}
	}
	for _, peer := range s.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			c.Reject("--peers", peer)
		}
	}
	if s.SourceIP != "" {
		if _, err := netip.ParseAddr(s.SourceIP); err != nil {
			c.Reject("--source-ip", s.SourceIP)
		}
	}
	if !settings.IsServerURL(s.Platform) {
		c.Reject("--platform", s.Platform)
	}
}

func (s *Settings) validateDurations(c *settings.Checker) {
	durations := []struct {
		flag     string
		value    time.Duration
		min, max time.Duration
	}{
		{"--default-timeout", s.DefaultTimeout, time.Millisecond, s.MaxTimeout},
		{"--max-timeout", s.MaxTimeout, time.Millisecond, time.Hour},
		{"--key-currency", s.MaxKeyStaleness, time.Second, time.Minute},
		{"--hold-term", s.HoldTerm, time.Minute, 24 * time.Hour},
		{"--readiness-delay", s.ReadinessDelay, 0, time.Minute},
		{"--drain-timeout", s.DrainTimeout, time.Second, 24 * time.Hour},
		{"--host-retirement", s.HostRetirement, time.Minute, 24 * time.Hour},
		{"--reference-roll-out", s.ReferenceRollOut, time.Second, 24 * time.Hour},
	}
	for _, d := range durations {
		if d.value < d.min || d.value > d.max {
			c.Reject(d.flag, d.value.String())
		}
	}
}

// Bounds of the weights. Only their ratios have an effect; a weight of zero would
// remove the bound that it stands for.
const (
	minWeight = 0.01
	maxWeight = 100
)

// maxSpareHosts is the largest value of --spare-hosts.
const maxSpareHosts = 1000

// validateWaves checks the settings of waves and moves.
func (s *Settings) validateWaves(c *settings.Checker) {
	weights := []struct {
		flag  string
		value float64
	}{
		{"--share-weight", s.ShareWeight},
		{"--move-weight", s.MoveWeight},
		{"--roll-out-weight", s.RollOutWeight},
		{"--buffer-weight", s.BufferWeight},
	}
	for _, w := range weights {
		isWithin := w.value >= minWeight && w.value <= maxWeight
		if !isWithin {
			c.Reject(w.flag, strconv.FormatFloat(w.value, 'g', -1, 64))
		}
	}
	if s.SpareHosts < 0 || s.SpareHosts > maxSpareHosts {
		c.Reject("--spare-hosts", strconv.Itoa(s.SpareHosts))
	}
}

// bootstrapOperatorName is the operator to which --bootstrap-key belongs.
const bootstrapOperatorName = "bootstrap"

func (s *Settings) bootstrapOperator() (document.Operator, error) {
	fields := strings.Split(s.BootstrapKey, ":")
	if len(fields) != 3 {
		return document.Operator{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "read setting", "--bootstrap-key", "got %d fields separated by colons; want ID:SALT:HASH", len(fields))
	}
	return document.Operator{
		Name:     bootstrapOperatorName,
		Key:      document.Key{ID: fields[0], Salt: fields[1], Hash: fields[2]},
		Sections: []string{"*"},
		Hosts:    true,
	}, nil
}

// bootstrapKeyIsValid reports whether the bootstrap key has the form of a stored
// key that the document accepts.
func (s *Settings) bootstrapKeyIsValid() bool {
	o, err := s.bootstrapOperator()
	return err == nil && document.ValidKey(o.Key)
}
