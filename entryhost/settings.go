// Package entryhost holds the settings of an entry host and assembles its
// services.
package entryhost

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Settings are the flags and environment variables of fuchsiafrontd.
type Settings struct {
	Name           string        `arg:"--name,env:FUCHSIAFRONT_NAME" help:"name of this entry host, unique in the deployment" placeholder:"NAME"`
	Zone           string        `arg:"--zone,env:FUCHSIAFRONT_ZONE" help:"availability zone of this entry host" placeholder:"ZONE"`
	CallerAddress  string        `arg:"--caller-address,env:FUCHSIAFRONT_CALLER_ADDRESS" default:"127.0.0.1:8080" help:"IP:port for callers" placeholder:"IP:PORT"`
	AdminAddress   string        `arg:"--admin-address,env:FUCHSIAFRONT_ADMIN_ADDRESS" default:"127.0.0.1:8081" help:"IP:port for operators, health and metrics" placeholder:"IP:PORT"`
	PeerAddress    string        `arg:"--peer-address,env:FUCHSIAFRONT_PEER_ADDRESS" default:"127.0.0.1:8082" help:"IP:port for other entry hosts" placeholder:"IP:PORT"`
	Peers          []string      `arg:"--peers,env:FUCHSIAFRONT_PEERS" help:"IP:port of other entry hosts to ask at a start, also while the platform is down" placeholder:"IP:PORT"`
	SourceIP       string        `arg:"--source-ip,env:FUCHSIAFRONT_SOURCE_IP" help:"IP that outgoing connections start from" placeholder:"IP"`
	Platform       string        `arg:"--platform,env:FUCHSIAFRONT_PLATFORM" help:"URL of the platform, http://IP:port" placeholder:"URL"`
	BootstrapKey   string        `arg:"--bootstrap-key,env:FUCHSIAFRONT_BOOTSTRAP_KEY" help:"stored form ID:SALT:HASH of the operator key that is accepted while the document declares no operators" placeholder:"KEY"`
	MaxEntryHosts  int           `arg:"--max-entry-hosts,env:FUCHSIAFRONT_MAX_ENTRY_HOSTS" default:"8" help:"largest number of entry hosts; divides the connections of a backend server" placeholder:"N"`
	MaxBodyBytes   int64         `arg:"--max-body-bytes,env:FUCHSIAFRONT_MAX_BODY_BYTES" default:"4194304" help:"largest body of a request" placeholder:"BYTES"`
	DefaultTimeout time.Duration `arg:"--default-timeout,env:FUCHSIAFRONT_DEFAULT_TIMEOUT" default:"30s" help:"timeout of requests that name none" placeholder:"DURATION"`
	MaxTimeout     time.Duration `arg:"--max-timeout,env:FUCHSIAFRONT_MAX_TIMEOUT" default:"2m" help:"longest timeout that a request may name" placeholder:"DURATION"`
	KeyCurrency    time.Duration `arg:"--key-currency,env:FUCHSIAFRONT_KEY_CURRENCY" default:"3s" help:"longest time without proof that keys are current" placeholder:"DURATION"`
	HoldTerm       time.Duration `arg:"--hold-term,env:FUCHSIAFRONT_HOLD_TERM" default:"75m" help:"time since the last confirmed renewal of the member row for which rights may be used" placeholder:"DURATION"`
	ReadinessDelay time.Duration `arg:"--readiness-delay,env:FUCHSIAFRONT_READINESS_DELAY" default:"3s" help:"time between reporting not-ready and refusing new connections at a stop" placeholder:"DURATION"`
	DrainTimeout   time.Duration `arg:"--drain-timeout,env:FUCHSIAFRONT_DRAIN_TIMEOUT" default:"2m30s" help:"longest time that a stop waits for work under way" placeholder:"DURATION"`
	LogLevel       string        `arg:"--log-level,env:FUCHSIAFRONT_LOG_LEVEL" default:"info" help:"trace, debug, info, warn or error" placeholder:"LEVEL"`
	Check          bool          `arg:"--check" help:"check the settings and exit"`
}

// Description implements go-arg's interface.
func (Settings) Description() string {
	return "fuchsiafrontd is the daemon of an entry host: it admits, queues and routes callers' work."
}

// Validate returns all faults of the settings joined.
func (s *Settings) Validate() error {
	var faults []error
	reject := func(flag, value, allowed string) {
		faults = append(faults, fault.New(&fault.Invalid, fault.ReasonMalformed, "check settings", flag, "%q is not allowed; want %s", value, allowed))
	}
	if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
		reject("--name", s.Name, "a name without spaces and slashes")
	}
	if s.Zone == "" {
		reject("--zone", s.Zone, "the name of an availability zone")
	}
	s.validateAddresses(reject)
	s.validateDurations(reject)
	if s.MaxEntryHosts < 1 || s.MaxEntryHosts > 64 {
		reject("--max-entry-hosts", itoa(s.MaxEntryHosts), "1 to 64")
	}
	if s.MaxBodyBytes < 1 {
		reject("--max-body-bytes", itoa(int(s.MaxBodyBytes)), "at least 1")
	}
	if _, err := s.bootstrap(); s.BootstrapKey != "" && err != nil {
		reject("--bootstrap-key", "(hidden)", "ID:SALT:HASH as printed by fuchsiactl")
	}
	return errors.Join(faults...)
}

func (s *Settings) validateAddresses(reject func(flag, value, allowed string)) {
	addresses := []struct{ flag, value string }{
		{"--caller-address", s.CallerAddress},
		{"--admin-address", s.AdminAddress},
		{"--peer-address", s.PeerAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			reject(a.flag, a.value, "IP:port")
		}
	}
	for _, peer := range s.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			reject("--peers", peer, "IP:port")
		}
	}
	if s.SourceIP != "" {
		if _, err := netip.ParseAddr(s.SourceIP); err != nil {
			reject("--source-ip", s.SourceIP, "an IP address")
		}
	}
	u, err := url.Parse(s.Platform)
	if err != nil || u.Scheme != "http" {
		reject("--platform", s.Platform, "http://IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		reject("--platform", s.Platform, "http://IP:port")
	}
}

func (s *Settings) validateDurations(reject func(flag, value, allowed string)) {
	durations := []struct {
		flag     string
		value    time.Duration
		min, max time.Duration
	}{
		{"--default-timeout", s.DefaultTimeout, time.Millisecond, s.MaxTimeout},
		{"--max-timeout", s.MaxTimeout, time.Millisecond, time.Hour},
		{"--key-currency", s.KeyCurrency, time.Second, time.Minute},
		{"--hold-term", s.HoldTerm, time.Minute, 24 * time.Hour},
		{"--readiness-delay", s.ReadinessDelay, 0, time.Minute},
		{"--drain-timeout", s.DrainTimeout, time.Second, 24 * time.Hour},
	}
	for _, d := range durations {
		if d.value < d.min || d.value > d.max {
			reject(d.flag, d.value.String(), d.min.String()+" to "+d.max.String())
		}
	}
}

// bootstrapOperator is the name of the operator that the setting
// --bootstrap-key admits.
const bootstrapOperator = "bootstrap"

func (s *Settings) bootstrap() (document.Operator, error) {
	fields := strings.Split(s.BootstrapKey, ":")
	if len(fields) != 3 {
		return document.Operator{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "read setting", "--bootstrap-key", "found %d fields, want 3", len(fields))
	}
	return document.Operator{
		Name:     bootstrapOperator,
		Key:      document.Key{ID: fields[0], Salt: fields[1], Hash: fields[2]},
		Sections: []string{"*"},
		Hosts:    true,
	}, nil
}
