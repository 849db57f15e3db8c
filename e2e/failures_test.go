package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// loadSeed is the seed of the requests that the callers send.
const loadSeed = 20261204

// startConfiguredCluster starts a cluster with the test section in force and waits
// until its hosts serve requests.
func startConfiguredCluster(t *testing.T) (*cluster, *callRecorder, *observations) {
	t.Helper()
	c := startCluster(t)
	c.waitAdmitted(t)
	c.waitInForce(t, c.apply(t, c.hosts[0], testSection()), c.hosts)
	calls := newCallRecorder()
	for _, h := range c.hosts {
		c.waitServing(t, calls, h)
	}
	return c, calls, newObservations()
}

// waitServing waits until a request with a key, sent to a host, is done.
func (c *cluster) waitServing(t *testing.T, calls *callRecorder, h *entryHost) {
	t.Helper()
	eventually(t, startTimeout, "a request served by "+h.name, func() bool {
		got := calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), workMs: 5, echo: "probe"})
		return got.outcome == "done"
	})
}

// withdrawSalesKey withdraws the key of team sales through a host and records when
// the host accepted this.
func withdrawSalesKey(t *testing.T, c *cluster, h *entryHost, observed *observations) uint64 {
	t.Helper()
	section := testSection()
	section.Teams[0].Keys[0].Withdrawn = true
	revision := c.apply(t, h, section)
	observed.keysWithdrawnAt["sales"] = time.Now()
	// The same team's open queue continues to run work, which needs no key.
	return revision
}

// Guards against a zone that, while cut off from the platform and from the other
// zones, still accepts a key that was withdrawn meanwhile or refuses work that
// needs no key.
func TestWithdrawnKeyInPartitionedZone(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	c.setPartitioned(t, "klang", true)
	withdrawSalesKey(t, c, c.selectHosts("klang", false)[0], observed)
	time.Sleep(maxWithdrawalDelay)
	for _, h := range c.hosts {
		got := calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), echo: "late"})
		assert.Equal(t, got.outcome, "not-run", "%s accepted a withdrawn key", h.name)
	}
	for _, h := range c.selectHosts("klang", true) {
		got := calls.send(h, "sales", callerRequest{queue: "prices", workMs: 5, echo: "open"})
		assert.Equal(t, got.outcome, "done", "%s in the partitioned zone did not run a request of an open queue: %s", h.name, got.reason)
	}
	c.setPartitioned(t, "klang", false)
	doc, err := c.document(t.Context(), c.selectHosts("klang", false)[0])
	assert.NilError(t, err)
	c.waitInForce(t, doc.Revision, c.hosts)
	// The open queue of team sales ran work too, which the checker would report.
	// Work with the withdrawn key is checked by the outcomes above.
	delete(observed.keysWithdrawnAt, "sales")
	checkGuarantees(t, c, calls, observed)
}

// Guards against refusing requests with a key when only the platform is down, for
// longer than the limit on the staleness of the key replica.
func TestPlatformOutage(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	time.Sleep(time.Second)
	c.setFaults(t, &wirev1.Faults{Down: true})
	time.Sleep(8 * time.Second)
	for _, h := range c.hosts {
		c.waitServing(t, calls, h)
	}
	c.setFaults(t, &wirev1.Faults{})
	time.Sleep(time.Second)
	stop()
	checkGuarantees(t, c, calls, observed)
}

// Guards against requests that run twice, or are wrongly reported as not-run, when
// entry hosts are killed under load and callers retry at other hosts.
func TestEntryHostsKilled(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	for _, h := range []*entryHost{c.hosts[0], c.hosts[3]} {
		time.Sleep(time.Second)
		h.process.signal(t, syscall.SIGKILL)
		h.process.wait(t, startTimeout)
		time.Sleep(500 * time.Millisecond)
		h.restart(t)
	}
	time.Sleep(time.Second)
	stop()
	checkGuarantees(t, c, calls, observed)
}

// Guards against a paused entry host that, once resumed, still uses keys, rights or
// a configuration that changed during the pause.
func TestPausedEntryHost(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	paused := c.hosts[1]
	stop := runLoad(t, c, calls, observed, loadSeed)
	time.Sleep(time.Second)
	paused.process.signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	section := testSection()
	section.Teams[1].Keys[0].Withdrawn = true
	c.apply(t, c.hosts[0], section)
	observed.keysWithdrawnAt["ledger"] = time.Now()
	time.Sleep(maxWithdrawalDelay)
	paused.process.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	stop()
	checkGuarantees(t, c, calls, observed)
}

// Guards against requests that run twice, and changes that are lost or reverted,
// when the platform's replies are lost after its calls have taken effect.
func TestLostReplies(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	for round := range 3 {
		c.setFaults(t, &wirev1.Faults{Target: "table", LoseReply: true})
		time.Sleep(time.Second)
		c.setFaults(t, &wirev1.Faults{Target: "table"})
		c.waitInForce(t, c.apply(t, c.hosts[round], sectionWithLedgerShare(2+round)), c.hosts)
	}
	stop()
	checkGuarantees(t, c, calls, observed)
}

// Guards against replies that reach the wrong caller, truncated replies that are
// taken as complete, and silent connections that stay in use.
func TestBackendServerFaults(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	faults := []*wirev1.Faults{
		{Target: "klang-quotes-01", CrossReplies: true},
		{Target: "klang-quotes-02", Truncate: true},
		{Target: "penang-quotes-01", SilenceOpenConnections: true},
		{Target: "penang-ledger-01", LoseReply: true},
		{Target: "shahalam-quotes-01", Down: true},
	}
	for _, f := range faults {
		c.setFaults(t, f)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for _, f := range faults {
		c.setFaults(t, &wirev1.Faults{Target: f.Target})
	}
	time.Sleep(time.Second)
	stop()
	for _, h := range c.hosts {
		c.waitServing(t, calls, h)
	}
	checkGuarantees(t, c, calls, observed)
}

// Guards against a team that exceeds its limit of running requests when all entry
// hosts together get many times as many.
func TestLimitUnderBurst(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	const perHost = 20
	for round := range 3 {
		var sending sync.WaitGroup
		for _, h := range c.hosts {
			for i := range perHost {
				sending.Go(func() {
					calls.send(h, "sales", callerRequest{
						queue: "quotes", key: salesKey.Format(), workMs: 100,
						echo: fmt.Sprintf("burst %d %s %d", round, h.name, i), timeoutMs: loadTimeoutMs,
					})
				})
			}
		}
		sending.Wait()
	}
	checkGuarantees(t, c, calls, observed)
}

// Guards against lost updates when operators change the same section concurrently
// through different hosts.
func TestOperatorsRace(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	const rounds = 5
	for round := range rounds {
		base := uint64(0)
		for _, h := range c.hosts {
			base = max(base, c.sectionRevision(t, h, "main"))
		}
		c.waitInForce(t, base, c.hosts)
		accepted := c.raceApply(t, base, round)
		assert.Equal(t, accepted, 1, "number of accepted changes among %d concurrent ones", len(c.hosts))
	}
	checkGuarantees(t, c, calls, observed)
}

// sectionWithLedgerShare returns the test section with another share for team ledger.
func sectionWithLedgerShare(share int) document.Section {
	section := testSection()
	section.Teams[1].Share = float64(share)
	return section
}

// raceApply applies a different change through every host concurrently, all based
// on the same revision, and returns how many were accepted.
func (c *cluster) raceApply(t *testing.T, base uint64, round int) int {
	t.Helper()
	var applying sync.WaitGroup
	results := make([]error, len(c.hosts))
	for i, h := range c.hosts {
		text, err := yamldoc.Encode(sectionWithLedgerShare(100 + round*len(c.hosts) + i))
		assert.NilError(t, err)
		req := connect.NewRequest(&wirev1.ApplyRequest{
			ChangeId: fmt.Sprintf("race-%d-%d", round, i),
			Changes:  []*wirev1.SectionChange{{Name: "main", IfRevision: base, Yaml: string(text)}},
		})
		c.authorize(req)
		applying.Go(func() { results[i] = applyWhenAccepting(t, h, req) })
	}
	applying.Wait()
	accepted := 0
	for _, err := range results {
		if err == nil {
			accepted++
			continue
		}
		assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "%v", err)
	}
	return accepted
}

// applyWhenAccepting submits a change, and retries while the host refuses it as not
// run because other members have not confirmed the host yet.
func applyWhenAccepting(t *testing.T, h *entryHost, req *connect.Request[wirev1.ApplyRequest]) error {
	deadline := time.Now().Add(startTimeout)
	for {
		_, err := h.admin.Apply(t.Context(), req)
		if connect.CodeOf(err) != connect.CodeUnavailable || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against new requests to a backend server that is leaving.
func TestLeavingBackendServer(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	time.Sleep(time.Second)
	c.setFaults(t, &wirev1.Faults{Target: "klang-quotes-01", Leaving: true})
	observed.leavingSince["klang-quotes-01"] = time.Now()
	time.Sleep(maxLeavingDelay + 2*time.Second)
	stop()
	checkGuarantees(t, c, calls, observed)
}

// Guards against a combination of failures that are each survived alone: the
// platform is down while one entry host is killed and another one is paused.
func TestOutageWithKilledAndPausedEntryHosts(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	time.Sleep(time.Second)
	c.setFaults(t, &wirev1.Faults{Down: true})
	c.hosts[2].process.signal(t, syscall.SIGKILL)
	c.hosts[4].process.signal(t, syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	c.hosts[4].process.signal(t, syscall.SIGCONT)
	c.setFaults(t, &wirev1.Faults{})
	c.hosts[2].process.wait(t, startTimeout)
	c.hosts[2].restart(t)
	for _, h := range c.hosts {
		c.waitServing(t, calls, h)
	}
	stop()
	checkGuarantees(t, c, calls, observed)
}
