package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/entryhost"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/standin/assembly"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

type demoSettings struct {
	Verbose bool `arg:"--verbose" help:"show the logs of all services"`
}

// demoHost is one entry host of the demonstration.
type demoHost struct {
	name, zone, callers, admin, peers string
}

var demoHosts = []demoHost{
	{"entry-klang", "klang", "127.0.0.1:18080", "127.0.0.1:18081", "127.0.0.1:18082"},
	{"entry-penang", "penang", "127.0.0.1:18090", "127.0.0.1:18091", "127.0.0.1:18092"},
}

// demo runs the platform stand-in and two entry hosts in this process, applies
// a document, and sends requests through both.
func demo(ctx context.Context, s demoSettings) error {
	log := zerolog.Nop()
	if s.Verbose {
		log = zerolog.New(os.Stderr)
	}
	standin, platform, err := assembly.Assemble(assembly.Settings{
		Address:         "127.0.0.1:0",
		Zones:           []string{"klang=127.0.1.0/24", "penang=127.0.2.0/24"},
		BackendServices: []string{"quotes=4"},
		Slots:           8,
		DefaultWork:     20 * time.Millisecond,
	}, log)
	if err != nil {
		return err
	}
	if err := standin.Start(ctx); err != nil {
		return err
	}
	defer standin.Stop(context.WithoutCancel(ctx))
	fmt.Println("platform stand-in:", platform.URL())

	operator := newKey("bootstrap")
	for _, h := range demoHosts {
		k, err := startEntryHost(ctx, h, platform.URL(), operator, log)
		if err != nil {
			return err
		}
		defer k.Stop(context.WithoutCancel(ctx))
		fmt.Printf("entry host %s: callers %s, operators %s\n", h.name, h.callers, h.admin)
	}
	return demoSession(ctx, operator)
}

func startEntryHost(ctx context.Context, h demoHost, platform string, operator keyring.Presented, log zerolog.Logger) (*kernel.Kernel, error) {
	stored := operator.Store("de")
	settings := entryhost.Settings{
		Name: h.name, Zone: h.zone, Platform: platform,
		CallerAddress: h.callers, AdminAddress: h.admin, PeerAddress: h.peers,
		BootstrapKey:  stored.ID + ":" + stored.Salt + ":" + stored.Hash,
		MaxEntryHosts: 8, MaxBodyBytes: 1 << 20,
		DefaultTimeout: 10 * time.Second, MaxTimeout: time.Minute,
		KeyCurrency: 3 * time.Second, DrainTimeout: 10 * time.Second, HostRetirement: 30 * time.Minute,
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	k := entryhost.Assemble(settings, log, time.Now)
	return k, k.Start(ctx)
}

func newKey(holder string) keyring.Presented {
	var secret [32]byte
	rand.Read(secret[:])
	return keyring.Presented{Holder: holder, ID: "k1", Secret: hex.EncodeToString(secret[:])}
}

func demoSession(ctx context.Context, operator keyring.Presented) error {
	key := newKey("sales")
	section := document.Section{
		Name:   "sales",
		Pools:  []document.Pool{{Name: "quotes", Kind: "backend-server", Adopt: []string{"*-quotes-*"}, MaxUnavailable: 1}},
		Teams:  []document.Team{{Name: "sales", Share: 1, Limit: 20, Keys: []document.Key{key.Store("de")}}},
		Queues: []document.Queue{{Name: "quotes", Team: "sales", Pool: "quotes", Class: "interactive"}},
	}
	text, err := yamldoc.Encode(section)
	if err != nil {
		return err
	}
	fmt.Printf("\noperator applies:\n%s\n", text)
	admin := fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+demoHosts[0].admin)
	apply := connect.NewRequest(&wirev1.ApplyRequest{ChangeId: "demo-1", Changes: []*wirev1.SectionChange{{Name: "sales", Yaml: string(text)}}})
	apply.Header().Set("Authorization", "Bearer "+operator.Format())
	resp, err := admin.Apply(ctx, apply)
	if err != nil {
		return err
	}
	fmt.Println("accepted as revision", resp.Msg.Revision)
	time.Sleep(2 * time.Second)
	for i := range 6 {
		host := demoHosts[i%len(demoHosts)]
		if err := demoRequest(ctx, host, key.Format(), fmt.Sprintf(`{"workMs":30,"echo":"quote %d"}`, i+1)); err != nil {
			return err
		}
	}
	return demoRequest(ctx, demoHosts[0], "ff.sales.k1.wrong", `{"echo":"not for sale"}`)
}

func demoRequest(ctx context.Context, h demoHost, key, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/v1/queues/quotes/requests", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	started := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	fmt.Printf("%s answers %d after %v: %s\n", h.name, resp.StatusCode, time.Since(started).Round(time.Millisecond), bytes.TrimSpace(answer))
	return nil
}
