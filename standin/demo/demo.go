// Package demo runs the stand-in and two entry hosts in one process, and a
// session of operators and callers through them.
package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/entryhost"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/standin/assembly"
)

// Settings are the flags of the demonstration.
type Settings struct {
	Verbose bool `arg:"--verbose" help:"show the logs of all services"`
	Serve   bool `arg:"--serve" help:"after the session, go on serving until interrupted, for a session with fuchsiactl"`
}

// demoHost is one entry host of the demonstration.
type demoHost struct {
	name, zone, callerAddress, adminAddress, peerAddress string
}

var hosts = []demoHost{
	{"entry-klang", "klang", "127.0.0.1:18080", "127.0.0.1:18081", "127.0.0.1:18082"},
	{"entry-penang", "penang", "127.0.0.1:18090", "127.0.0.1:18091", "127.0.0.1:18092"},
}

// salt is fixed, because the keys of the demonstration end with it.
const salt = "de30"

// Run runs the demonstration.
func Run(ctx context.Context, s Settings) error {
	log := zerolog.Nop()
	if s.Verbose {
		log = zerolog.New(os.Stderr)
	}
	operator := newKey("bootstrap")
	stop, err := start(ctx, operator, log)
	if err != nil {
		return err
	}
	defer stop()
	if err := newSession(operator).run(ctx); err != nil || !s.Serve {
		return err
	}
	fmt.Printf("\nThe demonstration goes on until it is interrupted. In another shell:\n\n"+
		"  export FUCHSIAFRONT_SERVERS=http://%s,http://%s\n  export FUCHSIAFRONT_OPERATOR_KEY=%s\n  go run ./cmd/fuchsiactl --help\n",
		hosts[0].adminAddress, hosts[1].adminAddress, operator.Format())
	<-ctx.Done()
	return nil
}

// start starts the stand-in and the entry hosts, and returns a function that
// stops them in reverse order.
func start(ctx context.Context, operator keyring.PresentedKey, log zerolog.Logger) (stop func(), err error) {
	var started []*kernel.Kernel
	stop = func() {
		for i := len(started) - 1; i >= 0; i-- {
			started[i].Stop(context.WithoutCancel(ctx))
		}
	}
	standin, platform, err := assembly.Assemble(assembly.Settings{
		Address:         "127.0.0.1:0",
		Zones:           []string{"klang=127.0.1.0/24", "penang=127.0.2.0/24"},
		BackendServices: []string{"quotes=4"},
		WorkersPerZone:  2,
		WorkerCores:     32,
		Slots:           8,
		DefaultWork:     20 * time.Millisecond,
	}, log)
	if err != nil {
		return nil, err
	}
	if err := standin.Start(ctx); err != nil {
		return nil, err
	}
	started = append(started, standin)
	fmt.Println("platform stand-in with 8 backend servers and 4 workers:", platform.URL())
	for _, h := range hosts {
		k := entryhost.Assemble(h.settings(platform.URL(), operator), log, time.Now)
		if err := k.Start(ctx); err != nil {
			stop()
			return nil, err
		}
		started = append(started, k)
		fmt.Printf("entry host %s: callers %s, operators %s\n", h.name, h.callerAddress, h.adminAddress)
	}
	return stop, nil
}

func (h demoHost) settings(platform string, operator keyring.PresentedKey) entryhost.Settings {
	stored := operator.StoredForm(salt)
	s := entryhost.Defaults()
	s.Name, s.Zone, s.Platform = h.name, h.zone, platform
	s.CallerAddress, s.AdminAddress, s.PeerAddress = h.callerAddress, h.adminAddress, h.peerAddress
	s.BootstrapKey = stored.ID + ":" + stored.Salt + ":" + stored.Hash
	return s
}

func newKey(holder string) keyring.PresentedKey {
	var secret [32]byte
	rand.Read(secret[:])
	return keyring.PresentedKey{Holder: holder, ID: "k1", Secret: hex.EncodeToString(secret[:])}
}
