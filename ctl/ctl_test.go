package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/ctl"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/admin"
	"fuchsiafront.example/fuchsiafront/services/metrics"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
)

var operatorKey = keyring.PresentedKey{Holder: "bootstrap", ID: "k1", Secret: "b00757a9"}

const salesSection = `# asked for by Nur
section: sales
pools:
  - name: quotes
    kind: backend-server
    maxUnavailable: 1
teams:
  - name: sales
    share: 1
    limit: 20
queues:
  - {name: quotes, team: sales, pool: quotes, class: interactive}
`

// fixture is an entry host with fake services, which fuchsiactl calls.
type fixture struct {
	*entryfakes.Set
	t   *testing.T
	url string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{Set: entryfakes.NewSet("entry-1", time.Now), t: t}
	measured, scope := metrics.New(zerolog.Nop())
	service := admin.New(admin.Settings{
		Address:         "127.0.0.1:0",
		Bootstrap:       document.Operator{Name: "bootstrap", Key: operatorKey.StoredForm("00ff"), Sections: []string{"s*"}, Hosts: true},
		MaxKeyStaleness: 3 * time.Second,
	}, time.Now)
	k := kernel.New(zerolog.Nop(), scope)
	f.Register(k)
	k.Register(services.NameMetrics, measured)
	k.Register(services.NameAdmin, service)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { k.Stop(context.Background()) })
	f.url = "http://" + service.Address()
	t.Setenv("FUCHSIAFRONT_OPERATOR_KEY", operatorKey.Format())
	t.Setenv("FUCHSIAFRONT_SERVERS", f.url)
	return f
}

func run(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = ctl.Main(context.Background(), args, &out, &errs)
	return status, out.String(), errs.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "sections.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func (f *fixture) applySales(t *testing.T) {
	t.Helper()
	status, out, errs := run("document", "apply", writeFile(t, salesSection))
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(out, "accepted as revision 1"))
}

// TestEditOfShownTextIsConditional guards against an edit that overwrites a change
// that another operator made after the text was shown.
func TestEditOfShownTextIsConditional(t *testing.T) {
	f := newFixture(t)
	f.applySales(t)
	_, shown, _ := run("document", "show")
	assert.Assert(t, is.Contains(shown, "# asked for by Nur"))
	edited := writeFile(t, strings.Replace(shown, "limit: 20", "limit: 30", 1))
	status, out, errs := run("document", "diff", edited)
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(out, "limit"))
	status, _, errs = run("document", "apply", "--wait", edited)
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(errs, "revision 2: in force on all entry hosts"))

	stale := writeFile(t, strings.Replace(shown, "limit: 20", "limit: 40", 1))
	status, _, errs = run("document", "apply", stale)
	assert.Equal(t, status, 3)
	assert.Assert(t, is.Contains(errs, "revision 2"))
	status, _, _ = run("document", "apply", writeFile(t, strings.Replace(salesSection, "limit: 20", "limit: 40", 1)))
	assert.Equal(t, status, 3, "a text without a revision replaced a section")
	status, _, _ = run("document", "apply", "--overwrite", stale)
	assert.Equal(t, status, 0)
	_, shown, _ = run("document", "show", "--section", "sales")
	assert.Equal(t, shown, "# fuchsiactl: section sales at revision 3\n"+strings.Replace(salesSection, "limit: 20", "limit: 40", 1))
}

// TestLostReplyIsRepeatedWithTheSameIdentifier guards against a change that
// is applied twice, or reported as a conflict with itself.
func TestLostReplyIsRepeatedWithTheSameIdentifier(t *testing.T) {
	f := newFixture(t)
	f.State.LoseNextReply()
	status, out, errs := run("document", "apply", writeFile(t, salesSection))
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(out, "accepted earlier as revision 1"))
	assert.Equal(t, f.State.AcceptedChanges(), 1)
}

// TestServersAreTriedInTurn guards against a call that gives up at an entry host
// that is down, and against a lost reply that is reported as a refusal.
func TestServersAreTriedInTurn(t *testing.T) {
	f := newFixture(t)
	var calls atomic.Int64
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer silent.Close()
	down := "http://127.0.0.1:1"
	t.Setenv("FUCHSIAFRONT_SERVERS", strings.Join([]string{down, silent.URL, f.url}, ","))
	status, out, errs := run("document", "apply", writeFile(t, salesSection))
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(out, "accepted as revision 1"))
	assert.Assert(t, calls.Load() > 0)

	t.Setenv("FUCHSIAFRONT_SERVERS", silent.URL)
	status, _, errs = run("document", "apply", "--timeout", "1s", "--change-id", "mine", writeFile(t, salesSection))
	assert.Equal(t, status, 5)
	assert.Assert(t, is.Contains(errs, "--change-id mine"))
	t.Setenv("FUCHSIAFRONT_SERVERS", down)
	status, _, _ = run("document", "apply", "--timeout", "1s", writeFile(t, salesSection))
	assert.Equal(t, status, 4, "nothing was sent, so the change was not run")
	status, _, _ = run("queue", "list", "--timeout", "1s")
	assert.Equal(t, status, 1)
}

// TestUnknownOutcomeIsNotCalledNotRun guards against a reset connection, or an
// answer that the outcome is unknown, that is reported as a refusal.
func TestUnknownOutcomeIsNotCalledNotRun(t *testing.T) {
	f := newFixture(t)
	f.Maintenance.SetError(fault.New(&fault.Unknown, fault.ReasonPlatformDown, "grant", "platform", "the reply was lost"))
	status, _, _ := run("host", "drain", "h", "--timeout", "1s")
	assert.Equal(t, status, 5)
	f.Maintenance.SetError(fault.New(&fault.NotRun, fault.ReasonPlatformDown, "grant", "platform", "no connection"))
	status, _, _ = run("host", "drain", "h", "--timeout", "1s")
	assert.Equal(t, status, 4)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go resetConnections(listener)
	t.Setenv("FUCHSIAFRONT_SERVERS", "http://"+listener.Addr().String())
	status, _, errs := run("host", "drain", "h", "--timeout", "1s")
	assert.Equal(t, status, 5, errs)
}

// resetConnections reads a byte from each connection and then resets it.
func resetConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.Read(make([]byte, 1))
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// TestKeyIsPrintedOnce guards against a key that is lost, printed twice, or
// does not work.
func TestKeyIsPrintedOnce(t *testing.T) {
	f := newFixture(t)
	f.applySales(t)
	for _, lose := range []bool{false, true} {
		if lose {
			f.State.LoseNextReply()
		}
		status, out, errs := run("key", "create", "sales", "--json")
		assert.Equal(t, status, 0, errs)
		var created struct{ Key string }
		assert.NilError(t, json.Unmarshal([]byte(out), &created))
		presented, ok := keyring.Parse(created.Key)
		assert.Assert(t, ok)
		assert.Equal(t, strings.Count(out+errs, presented.Secret), 1)
		team, _ := f.State.View().Document.Team("sales")
		admission := keyring.Admit(team, document.Queue{Team: "sales"}, created.Key)
		assert.Equal(t, string(admission.RefusalReason), "")

		status, _, errs = run("key", "withdraw", "sales", presented.ID, "--wait")
		assert.Equal(t, status, 0, errs)
		team, _ = f.State.View().Document.Team("sales")
		assert.Equal(t, string(keyring.Admit(team, document.Queue{Team: "sales"}, created.Key).RefusalReason), "withdrawn-key")
	}
	status, _, _ := run("key", "create", "sales", "--change-id", "again")
	assert.Equal(t, status, 2)

	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer silent.Close()
	t.Setenv("FUCHSIAFRONT_SERVERS", silent.URL)
	status, out, _ := run("key", "create", "sales", "--timeout", "1s")
	assert.Equal(t, status, 5)
	assert.Assert(t, is.Contains(out, "ff.sales.k"), "the key is not printed although it may have been accepted")
}

// TestRefusalsHaveTheirStatus guards against exit statuses that do not distinguish
// a refusal from a failure, and against errors without the line, the value or what
// is allowed.
func TestRefusalsHaveTheirStatus(t *testing.T) {
	newFixture(t).applySales(t)
	invalid := writeFile(t, salesSection+"---\nsection: more\nteams:\n  - name: sales\n    share: -1\n    limit: 1\n")
	status, _, errs := run("document", "validate", invalid)
	assert.Equal(t, status, 1)
	assert.Assert(t, is.Contains(errs, `section more: line 17: teams[0].share: "-1" is not allowed; want a number above 0`))
	assert.Assert(t, is.Contains(errs, `section sales: line 8: teams[0].name: "sales" is not allowed; want a name that no other team has; section more declares it`))
	status, _, errs = run("document", "apply", invalid)
	assert.Equal(t, status, 4, "the operator key does not cover section more")
	assert.Assert(t, is.Contains(errs, "may not change"))
	status, _, errs = run("document", "apply", "--section", "sales", "--overwrite", writeFile(t, strings.Replace(salesSection, "share: 1", "share: 0", 1)))
	assert.Equal(t, status, 4)
	assert.Assert(t, is.Contains(errs, "section sales: line 9: teams[0].share"))
	status, _, _ = run("document", "validate", writeFile(t, salesSection))
	assert.Equal(t, status, 0)
}

// TestSettingsFaultsAreReportedAtOnce guards against a validation that stops at the
// first wrong setting, and against an error that contains the operator key.
func TestSettingsFaultsAreReportedAtOnce(t *testing.T) {
	t.Setenv("FUCHSIAFRONT_OPERATOR_KEY", "not-a-key-but-secret")
	status, _, errs := run("wave", "start", "--server", "http://example", "--timeout", "1ns", "--max-parallel", "0", "--change-id", "a b")
	assert.Equal(t, status, 2)
	for _, want := range []string{"--server", "--timeout", "--max-parallel", "--change-id", "POOL", "FUCHSIAFRONT_OPERATOR_KEY", `"http://example"`, "1 to 10000"} {
		assert.Check(t, is.Contains(errs, want))
	}
	assert.Assert(t, !strings.Contains(errs, "not-a-key"))
	status, _, _ = run("wave")
	assert.Equal(t, status, 2)
	status, _, _ = run("wave", "start", "--no-such-flag")
	assert.Equal(t, status, 2)

	t.Setenv("FUCHSIAFRONT_OPERATOR_KEY", "")
	key := writeFile(t, operatorKey.Format()+"\n")
	status, out, errs := run("team", "list", "--check", "--server", "http://127.0.0.1:1", "--operator-key-file", key)
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, is.Contains(out, "valid"))
}

// TestEveryCommandPrintsJSON guards against a command whose --json output is not
// valid JSON.
func TestEveryCommandPrintsJSON(t *testing.T) {
	newFixture(t).applySales(t)
	text := writeFile(t, salesSection)
	for _, args := range [][]string{
		{"document", "validate", text}, {"document", "show"}, {"document", "diff", text}, {"document", "apply", text},
		{"rollout"}, {"rollout", "--watch"}, {"key", "create", "sales"}, {"key", "list"}, {"operator", "create-key", "siti"},
		{"host", "list"}, {"host", "drain", "h"}, {"host", "return", "h"}, {"host", "move", "h", "quotes"}, {"host", "forget", "e"},
		{"pool", "list"}, {"wave", "start", "quotes"}, {"wave", "stop", "w"}, {"wave", "watch"}, {"queue", "list"},
		{"job", "list"}, {"team", "list"}, {"refusals"},
	} {
		status, out, errs := run(append(args, "--json")...)
		assert.Check(t, is.Equal(status, 0), "%v: %s", args, errs)
		assert.Check(t, json.Valid([]byte(out)), "%v: %s", args, out)
		status, out, _ = run(args...)
		assert.Check(t, status == 0 && out != "" && !json.Valid([]byte(out)), "%v: %s", args, out)
	}
	status, _, errs := run("document", "apply", writeFile(t, strings.Replace(salesSection, "share: 1", "share: 2", 1)), "--json")
	assert.Equal(t, status, 3)
	assert.Assert(t, json.Valid([]byte(errs)))
}
