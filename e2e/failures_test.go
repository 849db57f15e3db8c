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

// loadSeed fixes the work that the callers send.
const loadSeed = 20261204

// startConfiguredCluster starts a cluster with the test's section in force and its
// hosts serving.
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

// waitServing waits until a host answers a keyed request.
func (c *cluster) waitServing(t *testing.T, calls *callRecorder, h *entryHost) {
	t.Helper()
	eventually(t, startTimeout, "a request served by "+h.name, func() bool {
		got := calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), workMs: 5, echo: "probe"})
		return got.outcome == "done"
	})
}

// withdrawSalesKey withdraws the key of team sales through a host and records
// when that was reported.
func withdrawSalesKey(t *testing.T, c *cluster, h *entryHost, e *observations) uint64 {
	t.Helper()
	section := testSection()
	section.Teams[0].Keys[0].Withdrawn = true
	revision := c.apply(t, h, section)
	e.keysWithdrawnAt["sales"] = time.Now()
	// The open queue of the same team goes on; its work is not keyed.
	return revision
}

// Guards against a zone that is cut off from the platform and from the other
// zones and goes on accepting a key that was withdrawn meanwhile, or that
// stops work which needs no key.
func TestWithdrawnKeyInPartitionedZone(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	c.setPartitioned(t, "klang", true)
	withdrawSalesKey(t, c, c.selectHosts("klang", false)[0], e)
	time.Sleep(maxWithdrawalDelay)
	for _, h := range c.hosts {
		got := calls.send(h, "sales", callerRequest{queue: "quotes", key: salesKey.Format(), echo: "late"})
		assert.Equal(t, got.outcome, "not-run", "%s accepted a withdrawn key", h.name)
	}
	for _, h := range c.selectHosts("klang", true) {
		got := calls.send(h, "sales", callerRequest{queue: "prices", workMs: 5, echo: "open"})
		assert.Equal(t, got.outcome, "done", "%s in the partitioned zone: %s", h.name, got.reason)
	}
	c.setPartitioned(t, "klang", false)
	doc, err := c.document(t.Context(), c.selectHosts("klang", false)[0])
	assert.NilError(t, err)
	c.waitInForce(t, doc.Revision, c.hosts)
	// The open queue runs for team sales too, so that only keyed work is
	// judged by the answers above.
	delete(e.keysWithdrawnAt, "sales")
	checkGuarantees(t, c, calls, e)
}

// Guards against keyed work that stops because the platform alone is down,
// for longer than the bound on the keys' currency.
func TestPlatformOutage(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
	time.Sleep(time.Second)
	c.setFaults(t, &wirev1.Faults{Down: true})
	time.Sleep(8 * time.Second)
	for _, h := range c.hosts {
		c.waitServing(t, calls, h)
	}
	c.setFaults(t, &wirev1.Faults{})
	time.Sleep(time.Second)
	stop()
	checkGuarantees(t, c, calls, e)
}

// Guards against requests that run twice, or are wrongly said not to have run,
// when entry hosts die under load and callers ask again elsewhere.
func TestEntryHostsKilled(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
	for _, h := range []*entryHost{c.hosts[0], c.hosts[3]} {
		time.Sleep(time.Second)
		h.process.signal(t, syscall.SIGKILL)
		h.process.wait(t, startTimeout)
		time.Sleep(500 * time.Millisecond)
		h.restart(t)
	}
	time.Sleep(time.Second)
	stop()
	checkGuarantees(t, c, calls, e)
}

// Guards against a paused entry host that goes on with keys, rights or a
// configuration that changed while it was paused.
func TestEntryHostFrozen(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	frozen := c.hosts[1]
	stop := runLoad(t, c, calls, e, loadSeed)
	time.Sleep(time.Second)
	frozen.process.signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	section := testSection()
	section.Teams[1].Keys[0].Withdrawn = true
	c.apply(t, c.hosts[0], section)
	e.keysWithdrawnAt["ledger"] = time.Now()
	time.Sleep(maxWithdrawalDelay)
	frozen.process.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	stop()
	checkGuarantees(t, c, calls, e)
}

// Guards against requests that run twice, and a change that is lost or goes
// back, because the platform's reply was lost after the effect.
func TestLostReplies(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
	for round := range 3 {
		c.setFaults(t, &wirev1.Faults{Target: "table", LoseReply: true})
		time.Sleep(time.Second)
		c.setFaults(t, &wirev1.Faults{Target: "table"})
		c.waitInForce(t, c.apply(t, c.hosts[round], sectionWithLedgerShare(2+round)), c.hosts)
	}
	stop()
	checkGuarantees(t, c, calls, e)
}

// Guards against answers that reach the wrong caller or are taken as whole,
// and against connections that went silent and are used for ever.
func TestBackendServerFaults(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
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
	checkGuarantees(t, c, calls, e)
}

// Guards against more running work of a team than its limit, when all entry
// hosts get many times what the team may run.
func TestLimitUnderBurst(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
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
	checkGuarantees(t, c, calls, e)
}

// Guards against a lost update when operators change the same section at the
// same time through different hosts.
func TestOperatorsRace(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	const rounds = 5
	for round := range rounds {
		base := uint64(0)
		for _, h := range c.hosts {
			base = max(base, c.sectionRevision(t, h, "main"))
		}
		c.waitInForce(t, base, c.hosts)
		accepted := c.raceApply(t, base, round)
		assert.Equal(t, accepted, 1, "operators who were told that their change was accepted")
	}
	checkGuarantees(t, c, calls, e)
}

// sectionWithLedgerShare returns the test's section with another share of one team.
func sectionWithLedgerShare(share int) document.Section {
	section := testSection()
	section.Teams[1].Share = float64(share)
	return section
}

// raceApply lets every host apply a different change made from the same revision,
// and returns how many were accepted.
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

// applyWhenAccepting submits a change, and again while the host refuses it as
// not run because other members have not confirmed the host yet.
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

// Guards against new work for a backend server after it began to leave.
func TestLeavingBackendServer(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
	time.Sleep(time.Second)
	c.setFaults(t, &wirev1.Faults{Target: "klang-quotes-01", Leaving: true})
	e.leavingSince["klang-quotes-01"] = time.Now()
	time.Sleep(maxLeavingDelay + 2*time.Second)
	stop()
	checkGuarantees(t, c, calls, e)
}

// Guards against a pair of failures that each part survives alone: the
// platform is down while an entry host is killed and another one is paused.
func TestOutageWithKillAndFreeze(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
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
	checkGuarantees(t, c, calls, e)
}
