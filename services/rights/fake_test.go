package rights_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	decision "fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/rights"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
)

// platform is the fake platform with member rows.
type platform struct{ *entryfakes.Platform }

func newPlatform() *platform { return &platform{entryfakes.NewPlatform()} }

// renewMembers changes the member rows of hosts, as a renewal does.
func (p *platform) renewMembers(hosts ...string) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	p.Version++
	for _, host := range hosts {
		p.Rows["member/"+host] = services.Row{Key: "member/" + host, Version: p.Version}
	}
}

// deleteMember deletes the member row of a host.
func (p *platform) deleteMember(host string) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	delete(p.Rows, "member/"+host)
}

// cluster is the state that the hosts of a test share.
type cluster struct {
	platform *platform
	mu       sync.Mutex
	limit    int
	revision uint64
	members  []services.Identity
	loads    map[string][]services.TeamLoad
}

func newCluster(limit int) *cluster {
	return &cluster{platform: newPlatform(), limit: limit, revision: 1, loads: map[string][]services.TeamLoad{}}
}

func (c *cluster) setLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
	c.revision++
}

// node is the fake of the services that one entry host looks up: state, peers
// and membership.
type node struct {
	*cluster
	self          services.Identity
	rightsBlocked atomic.Bool
}

func (n *node) Provision(*kernel.Context) error { return nil }

func (n *node) View() *services.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	section := document.Section{Teams: []document.Team{{Name: "t", Limit: n.limit}}}
	return &services.View{
		Revision: n.revision,
		Document: &document.Document{Sections: map[string]document.Section{"s": section}},
	}
}

func (n *node) Watch(string) *ring.Ring[*services.View] { return nil }
func (n *node) FreshAsOf() time.Time                    { return time.Now() }
func (n *node) Change(context.Context, revision.Change) (services.ChangeResult, error) {
	return services.ChangeResult{}, nil
}

func (n *node) Self() services.Identity      { return n.self }
func (n *node) CheckMayAcceptChanges() error { return nil }
func (n *node) CheckMayUseRights(time.Time) error {
	if n.rightsBlocked.Load() {
		return fault.New(&fault.NotRun, fault.ReasonPaused, "membership", "", "not confirmed")
	}
	return nil
}

func (n *node) Members() []services.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.members)
}

func (n *node) Push(revision.Head, []revision.Part)              {}
func (n *node) SetLeavingHosts([]string)                         {}
func (n *node) Confirm(context.Context, services.Identity) error { return nil }

func (n *node) Status() []services.PeerStatus {
	var list []services.PeerStatus
	for _, m := range n.Members() {
		if m != n.self {
			list = append(list, services.PeerStatus{Identity: m, LastContactAt: time.Now()})
		}
	}
	return list
}

func (n *node) SetLoads(loads []services.TeamLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[n.self.Name] = loads
}

func (n *node) Loads() []services.TeamLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []services.TeamLoad
	for host, loads := range n.loads {
		if host != n.self.Name {
			all = append(all, loads...)
		}
	}
	return all
}

// host is the running service of one entry host.
type host struct {
	*rights.Service
	node   *node
	kernel *kernel.Kernel
	freed  services.FreedRing
}

// startHost runs the service on one host of c until the test ends.
func (c *cluster) startHost(t *testing.T, name string, incarnation uint64) *host {
	t.Helper()
	id := services.Identity{Name: name, Incarnation: incarnation}
	c.mu.Lock()
	c.members = append(slices.DeleteFunc(c.members, func(m services.Identity) bool { return m.Name == name }), id)
	c.mu.Unlock()
	c.platform.renewMembers(name)
	n := &node{cluster: c, self: id}
	h := &host{Service: rights.New(rights.Settings{HoldTerm: holdTerm, LongestRequest: longestRequest}), node: n}
	h.kernel = kernel.New(zerolog.Nop(), nil)
	h.kernel.Register(services.NamePlatform, c.platform)
	h.kernel.Register(services.NameState, n)
	h.kernel.Register(services.NamePeers, n)
	h.kernel.Register(services.NameMembership, n)
	h.kernel.Register(services.NameRights, h.Service)
	assert.NilError(t, h.kernel.Provision())
	h.freed = h.WatchFreedRights("freed")
	assert.NilError(t, h.kernel.Start(t.Context()))
	t.Cleanup(func() { h.stop(t) })
	return h
}

func (h *host) stop(t *testing.T) { assert.NilError(t, h.kernel.Stop(context.Background())) }

// acquireUpTo acquires up to n rights one by one until one is refused, and
// returns how many it got.
func (h *host) acquireUpTo(t *testing.T, n int) int {
	for got := range n {
		if err := h.Acquire(t.Context(), "t", 1); err != nil {
			return got
		}
	}
	return n
}

// row returns the row of the team.
func (c *cluster) row(t *testing.T) decision.Row {
	t.Helper()
	rows, err := c.platform.Get(t.Context(), "rights/t")
	assert.NilError(t, err)
	var r decision.Row
	if rows[0].Version > 0 {
		assert.NilError(t, json.Unmarshal(rows[0].Value, &r))
	}
	return r
}

func holder(name string, incarnation uint64) decision.Holder {
	return decision.Holder{Host: name, Incarnation: incarnation}
}
