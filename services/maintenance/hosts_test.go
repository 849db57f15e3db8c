package maintenance

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// TestReplacedHostIsRetired guards against a replaced host that keeps counting
// against the budget of its pool until an operator returns it.
func TestReplacedHostIsRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 1)
		n := c.addNode("e1")
		defer n.stop()
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		replaced := c.hosts["w0"]
		delete(c.hosts, "w0")
		c.mu.Unlock()
		time.Sleep(29 * time.Minute)
		_, err := n.service.Drain(t.Context(), "early", "w1", budget.CauseDrain)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonAvailabilityBudget)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, n.View().Assignments["w0"], "")
		_, err = n.service.Drain(t.Context(), "late", "w1", budget.CauseDrain)
		assert.NilError(t, err)
		c.mu.Lock()
		c.hosts["w0"] = replaced
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, n.View().Assignments["w0"], "a", "a host that reappears after its retirement is assigned anew")
	})
}

// runMoveScenario runs two entry hosts for an hour over six hosts of pool "a"
// and six spare hosts of eight slots each. work returns the running requests of
// each entry host at a second. It returns the number of moves, and the largest
// number in progress at once.
func runMoveScenario(t *testing.T, elastic bool, change func(*cluster), work func(second int) int) (moves, maxInProgress int) {
	c := newCluster(t, 6, 6)
	for i := range 6 {
		h := fleet.Host{Name: fmt.Sprint("s", i), Kind: fleet.KindWorker, Phase: fleet.PhaseLive, Slots: 8, Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3))}
		c.hosts[h.Name] = &h
	}
	c.setPools(
		document.Pool{Name: "a", Kind: fleet.KindWorker, Adopt: []string{"w*"}, MaxUnavailable: 6, Elastic: elastic},
		document.Pool{Name: "office", Kind: fleet.KindWorker, Spare: true, MaxUnavailable: 6, Elastic: true})
	change(c)
	nodes := []*node{c.addNode("e1"), c.addNode("e2")}
	for _, n := range nodes {
		defer n.stop()
	}
	moved := make(map[string]bool)
	for second := range 3600 {
		c.mu.Lock()
		c.running = work(second)
		c.mu.Unlock()
		time.Sleep(time.Second)
		inProgress := 0
		for host, o := range nodes[0].View().Ledger.Entries {
			if o.Cause == budget.CauseMove {
				moved[fmt.Sprint(host, o.GrantedAt)] = true
				inProgress++
			}
		}
		maxInProgress = max(maxInProgress, inProgress)
	}
	return len(moved), maxInProgress
}

// TestMovesFollowLastingDemand guards against moves that follow bursts, missing
// moves when demand lasts, and duplicate moves when two entry hosts decide. Work
// for eight hosts in a pool of six requires three more, headroom included.
func TestMovesFollowLastingDemand(t *testing.T) {
	bursts := func(second int) int {
		if second%60 < 5 {
			return 60
		}
		return 11
	}
	steady := func(n int) func(int) int { return func(int) int { return n } }
	unchanged := func(*cluster) {}
	cases := []struct {
		name    string
		elastic bool
		change  func(*cluster)
		work    func(int) int
		want    int
	}{
		{"bursts of 5 s at five times the mean", true, unchanged, bursts, 0},
		{"lasting", true, unchanged, steady(32), 3},
		{"both entry hosts decide", true, func(c *cluster) { c.isolated, c.unlisted = true, true }, steady(64), 3},
		{"a listed entry host does not report", true, func(c *cluster) { c.isolated = true }, steady(64), 0},
		{"not permitted", false, unchanged, steady(32), 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				moves, maxInProgress := runMoveScenario(t, test.elastic, test.change, test.work)
				assert.Equal(t, moves, test.want)
				assert.Assert(t, maxInProgress <= DefaultSettings().Moves.MaxUnderWay, "%d moves in progress at once", maxInProgress)
			})
		})
	}
}

// TestPausedCallIsDecidedAgain guards against a host that is drained after its
// grant has ended, by a process that was paused between the view and the call.
func TestPausedCallIsDecidedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		n := &node{cluster: c, name: "e1"}
		s := New(time.Now, DefaultSettings())
		s.platform, s.membership, s.scope, s.log = n, n, tally.NoopScope, zerolog.Nop()
		s.calls = ring.New[call](stepCall, callRingCapacity, nil)
		s.messages = ring.New[message](stepPlan, planRingCapacity, nil)
		p := newPlanner(s)
		view := &services.View{Ledger: &budget.Ledger{Entries: map[string]budget.LedgerEntry{
			"w0": {Host: "w0", Step: budget.StepDraining, Cause: budget.CauseDrain, Since: time.Now()},
		}}}
		decide := func() {
			p.viewedAt = time.Now()
			p.postCalls(view, []string{"e1"})
		}
		decide()
		time.Sleep(maxCallDelay + time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.runCalls(ctx)
		synctest.Wait()
		assert.Equal(t, c.hosts["w0"].Phase, fleet.PhaseLive, "drained although the view was too old")
		p.receive(ctx, <-s.messages.C())
		assert.Equal(t, len(p.recentDrains), 0)
		decide()
		synctest.Wait()
		assert.Equal(t, c.hosts["w0"].Phase, fleet.PhaseLeaving, "not drained on the new view")
	})
}
