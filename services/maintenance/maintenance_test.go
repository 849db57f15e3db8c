package maintenance

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// TestPausedPlannerCannotSpendTheBudgetTwice guards against a grant that is
// committed from a view that is outdated because another entry host made a grant
// or the bound was lowered.
func TestPausedPlannerCannotSpendTheBudgetTwice(t *testing.T) {
	cases := []struct {
		name    string
		between func(c *cluster, other *node)
	}{
		{"other grant", func(c *cluster, other *node) {
			_, err := other.service.Drain(c.t.Context(), "b", "w1", budget.CauseDrain)
			assert.NilError(c.t, err)
		}},
		{"lower bound", func(c *cluster, _ *node) { c.setMaxUnavailable(0) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4, 1)
				paused, other := c.addNode("e1"), c.addNode("e2")
				defer paused.stop()
				defer other.stop()
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(other.View().Assignments), 4)
				paused.gate = make(chan struct{})
				answers := make(chan error, 1)
				go func() {
					_, err := paused.service.Drain(t.Context(), "a", "w0", budget.CauseDrain)
					answers <- err
				}()
				synctest.Wait()
				test.between(c, other)
				close(paused.gate)
				err := <-answers
				assert.Equal(t, fault.ReasonOf(err), fault.ReasonAvailabilityBudget, "%v", err)
				assert.Assert(t, fault.IsNotRun(err))
				_, out := other.View().Ledger.Entries["w0"]
				assert.Assert(t, !out, "w0 granted beyond the budget: %v", other.View().Ledger.Entries)
			})
		})
	}
}

// TestWaveSurvivesLossOfItsEntryHost guards against a wave that stops with the
// entry host that started it, a step that is not idempotent when replies are
// lost, and more hosts out than the budget allows.
func TestWaveSurvivesLossOfItsEntryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 3)
		c.losesReplies = true
		a, b := c.addNode("e1"), c.addNode("e2")
		defer b.stop()
		time.Sleep(3 * time.Second)
		_, err := a.service.StartWave(t.Context(), budget.Wave{ID: "v", Pool: "a", MaxFailed: 3})
		assert.NilError(t, err)
		time.Sleep(30 * time.Second)
		started := len(b.View().Ledger.Waves["v"].Done) + len(b.View().Ledger.Entries)
		assert.Assert(t, started > 0 && started < 10, "%d hosts started", started)
		a.stop()
		time.Sleep(10 * time.Minute)
		w := b.View().Ledger.Waves["v"]
		assert.Equal(t, len(w.Done), 10, "%+v, out %v", w, b.View().Ledger.Entries)
		assert.Equal(t, len(c.reboots), 10)
		assert.Assert(t, c.maxOut <= 3, "%d hosts out", c.maxOut)
		_, err = b.service.StartWave(t.Context(), budget.Wave{ID: "v", Pool: "a", MaxFailed: 3})
		assert.NilError(t, err)
		assert.Assert(t, b.View().Ledger.Waves["v"].Ended(), "a repeated request started the wave again")
	})
}

// TestDemandLimitsWave guards against a wave that takes out hosts needed by
// running work: 40 of 80 slots are in use, and one host is kept spare.
func TestDemandLimitsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 10)
		c.running = 40
		n := c.addNode("e1")
		defer n.stop()
		time.Sleep(10 * time.Second)
		_, err := n.service.StartWave(t.Context(), budget.Wave{ID: "v", Pool: "a", MaxFailed: 10})
		assert.NilError(t, err)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(n.View().Ledger.Waves["v"].Done), 10)
		assert.Equal(t, c.maxOut, 4)
	})
}

// TestMoveAndLateDrain guards against a move that does not change the
// assignment, and against a host left draining by a call that was made after its
// grant had ended.
func TestMoveAndLateDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		n := c.addNode("e1")
		defer n.stop()
		time.Sleep(3 * time.Second)
		_, err := n.service.Move(t.Context(), "m", "w0", "office")
		assert.NilError(t, err)
		assert.Equal(t, n.View().Assignments["w0"], "a")
		time.Sleep(time.Minute)
		assert.Equal(t, n.View().Assignments["w0"], "office")
		assert.Equal(t, len(n.View().Ledger.Entries), 0)
		_, err = n.service.Move(t.Context(), "m", "w0", "office")
		assert.NilError(t, err, "a repeated request was refused")
		n.service.calls.Offer(call{host: "w1", step: budget.StepDraining, viewedAt: time.Now()})
		synctest.Wait()
		assert.Equal(t, n.Hosts().Hosts[1].Phase, fleet.PhaseLeaving)
		c.mu.Lock()
		c.failNext = 1
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		phase := n.Hosts().Hosts[1].Phase
		assert.Equal(t, phase, fleet.PhaseLive)
	})
}

// TestBucketKeepsItsOtherHosts guards against a move that drops the
// assignments of hosts in the same bucket.
func TestBucketKeepsItsOtherHosts(t *testing.T) {
	view := &services.View{State: &revision.State{}, Assignments: budget.Assignments{}}
	neighbour := ""
	for i := 1; neighbour == ""; i++ {
		name := fmt.Sprint("w", i)
		view.Assignments[name] = "a"
		if budget.Bucket(name) == budget.Bucket("w0") {
			neighbour = name
		}
	}
	c, err := encode(view, "id", budget.Outcome{Assigned: budget.Assignments{"w0": "b"}})
	assert.NilError(t, err)
	var got budget.Assignments
	assert.NilError(t, json.Unmarshal(c.Updates[0].Data, &got))
	assert.DeepEqual(t, got, budget.Assignments{"w0": "b", neighbour: "a"})
}

// fixedNode is an entry host with a fixed view and host list.
type fixedNode struct {
	*node
	view *services.View
	list *fleet.HostList
}

func (f *fixedNode) View() *services.View   { return f.view }
func (f *fixedNode) Hosts() *fleet.HostList { return f.list }

// BenchmarkRound measures a round without work by number of hosts.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			n := &node{cluster: newCluster(b, hosts, hosts), name: "e1"}
			f := &fixedNode{node: n, list: n.Hosts(), view: n.View()}
			for _, h := range f.list.Hosts {
				f.view.Assignments[h.Name] = "a"
			}
			s := New(func() time.Time { return f.list.AsOf }, DefaultSettings())
			s.state, s.hosts, s.membership, s.peers, s.dispatch, s.scope = f, f, f, f, f, tally.NoopScope
			p := newPlanner(s)
			b.ReportAllocs()
			for b.Loop() {
				p.hostList = nil
				p.round(b.Context())
			}
		})
	}
}
