package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fleet"
)

var (
	salesKey  = keyring.PresentedKey{Holder: "sales", ID: "k1", Secret: "sales-secret"}
	ledgerKey = keyring.PresentedKey{Holder: "ledger", ID: "k1", Secret: "ledger-secret"}
)

const (
	salesLimit  = 24
	ledgerLimit = 12
)

func testSection() document.Section {
	return document.Section{
		Name: "main",
		Pools: []document.Pool{
			{Name: "quotes", Kind: fleet.KindBackendServer, Adopt: []string{"*-quotes-*"}, MaxUnavailable: 1},
			{Name: "ledger", Kind: fleet.KindBackendServer, Adopt: []string{"*-ledger-*"}, MaxUnavailable: 1},
			{Name: "sorting", Kind: fleet.KindWorker, Adopt: []string{"*-worker-*"}, MaxUnavailable: 1},
		},
		Teams: []document.Team{
			{Name: "sales", Share: 3, Limit: salesLimit, Keys: []document.Key{salesKey.StoredForm("00a2")}},
			{Name: "ledger", Share: 1, Limit: ledgerLimit, Keys: []document.Key{ledgerKey.StoredForm("00a3")}},
		},
		Queues: []document.Queue{
			{Name: "quotes", Team: "sales", Pool: "quotes", Class: fleet.ClassInteractive},
			{Name: "stock", Team: "ledger", Pool: "ledger", Class: fleet.ClassBatch},
			{Name: "sorting", Team: "ledger", Pool: "sorting", Class: fleet.ClassBatch},
			{Name: "prices", Team: "sales", Pool: "quotes", Class: fleet.ClassInteractive, Open: true},
		},
	}
}

func newObservations() *observations {
	return &observations{
		runAtMostOnce:   map[string]bool{},
		limits:          map[string]int32{"sales": salesLimit, "ledger": ledgerLimit},
		queueTeam:       map[string]string{"quotes": "sales", "stock": "ledger", "prices": "sales"},
		keysWithdrawnAt: map[string]time.Time{},
		leavingSince:    map[string]time.Time{},
		revisions:       map[string][]uint64{},
	}
}

// checkGuarantees fails the test for every guarantee that the records show as broken.
func checkGuarantees(t *testing.T, c *cluster, calls *callRecorder, e *observations) {
	t.Helper()
	e.executions = c.executions(t)
	e.callResults = calls.all()
	t.Logf("callers were told: %v", countOutcomes(e.callResults))
	for _, v := range e.violations() {
		t.Error(v)
	}
}

// countOutcomes counts what callers were told, by outcome and reason.
func countOutcomes(all []callResult) map[string]int {
	counts := map[string]int{}
	for _, t := range all {
		counts[strings.TrimSpace(t.outcome+" "+t.reason)]++
	}
	return counts
}

// Guards against a path that is broken anywhere between an operator's
// document, a caller's request and the answer, and against a stop that cuts
// requests.
func TestPath(t *testing.T) {
	c := startCluster(t)
	calls := newCallRecorder()
	revision := c.apply(t, c.hosts[0], testSection())
	c.waitInForce(t, revision, c.hosts)

	for i, h := range c.hosts {
		eventually(t, startTimeout, "a request served by "+h.name, func() bool {
			got := calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), workMs: 10, echo: fmt.Sprintf("quote %d", i)})
			return got.outcome == "done"
		})
		open := calls.send(h, "sales", callerRequest{queue: "prices", workMs: 5, echo: "list"})
		assert.Equal(t, open.outcome, "done", "open queue: %s", open.reason)
		wrong := calls.send(h, "ledger", callerRequest{queue: "quotes", key: ledgerKey.Format(), echo: "foreign"})
		assert.Equal(t, wrong.reason, "wrong-team")
		forged := calls.send(h, "sales", callerRequest{queue: "quotes", key: "ff.sales.k1.guess", echo: "forged"})
		assert.Equal(t, forged.reason, "wrong-key")
		missing := calls.send(h, "sales", callerRequest{queue: "nowhere", key: salesKey.Format()})
		assert.Equal(t, missing.reason, "unknown-queue")
	}
	stopUnderLoad(t, c, calls)
	checkGuarantees(t, c, calls, newObservations())
}

// stopUnderLoad stops one entry host while callers use it, and requires that
// every request that it accepted is answered.
func stopUnderLoad(t *testing.T, c *cluster, calls *callRecorder) {
	t.Helper()
	h := c.hosts[len(c.hosts)-1]
	const parallel = 6
	var sending sync.WaitGroup
	results := make([]callResult, parallel)
	for i := range parallel {
		sending.Go(func() {
			results[i] = calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), workMs: 1500, echo: fmt.Sprintf("slow %d", i)})
		})
	}
	eventually(t, startTimeout, "slow requests running", func() bool {
		running := 0
		for _, x := range c.executions(t).Executions {
			if x.EndUnixUs < x.StartUnixUs {
				running++
			}
		}
		return running >= parallel
	})
	h.process.signal(t, syscall.SIGTERM)
	eventually(t, 2*time.Second, "not ready before the stop", func() bool { return !h.ready() })
	sending.Wait()
	for _, r := range results {
		assert.Equal(t, r.outcome, "done", "request was cut by the stop: %s", r.reason)
	}
	assert.NilError(t, h.process.wait(t, startTimeout))
}
