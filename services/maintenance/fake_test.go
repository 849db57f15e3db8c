package maintenance

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// cluster is the platform and the shared state that all entry hosts use.
type cluster struct {
	mu      sync.Mutex
	t       testing.TB
	hosts   map[string]*fleet.Host
	reboots map[string]int
	// losesReplies makes every third call fail after it has taken effect.
	losesReplies bool
	// failNext is the number of coming calls that fail without effect.
	failNext int
	// running is the number of requests of team "t" on each entry host.
	running int
	// isolated is set when no entry host hears another, unlisted when the
	// platform does not list the others either.
	isolated, unlisted bool
	calls              int
	maxOut             int
	head               revision.Head
	parts              map[string]revision.Part
	nodes              []*node
}

// node is one entry host with a fake for each service that it looks up.
type node struct {
	*cluster
	services.State
	services.Membership
	services.Peers
	services.Dispatcher
	name    string
	kernel  *kernel.Kernel
	service *Service
	// gate, if set, blocks each change of the node until it is closed.
	gate    chan struct{}
	stopped bool
}

func newCluster(t testing.TB, hosts, maxUnavailable int) *cluster {
	c := &cluster{t: t, hosts: map[string]*fleet.Host{}, reboots: map[string]int{}, parts: map[string]revision.Part{}, head: revision.Head{Parts: map[string]uint64{}}}
	for i := range hosts {
		h := fleet.Host{Name: fmt.Sprint("w", i), Kind: fleet.KindWorker, Phase: fleet.PhaseLive, Slots: 8,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)), Rack: fmt.Sprint("r", i/4)}
		c.hosts[h.Name] = &h
	}
	c.setMaxUnavailable(maxUnavailable)
	return c
}

func (c *cluster) setMaxUnavailable(maxUnavailable int) {
	c.setPools(
		document.Pool{Name: "a", Kind: fleet.KindWorker, Adopt: []string{"w*"}, MaxUnavailable: maxUnavailable},
		document.Pool{Name: "office", Kind: fleet.KindWorker, Spare: true, MaxUnavailable: maxUnavailable})
}

func (c *cluster) setPools(pools ...document.Pool) {
	data, err := json.Marshal(document.Section{Name: "pools", Pools: pools, Queues: []document.Queue{{Name: "q", Team: "t", Pool: "a"}}})
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	part := services.PartSectionPrefix + "pools"
	p := revision.Propose(c.head, c.parts, revision.Change{ID: fmt.Sprint("bound", c.head.Revision),
		Updates: []revision.Update{{Part: part, IfRevision: c.head.Parts[part], Data: data}}})
	c.apply(p)
}

func (c *cluster) apply(p revision.Proposal) {
	c.head = p.Head
	for _, part := range p.Parts {
		c.parts[part.Name] = part
	}
}

func (c *cluster) addNode(name string) *node {
	n := &node{cluster: c, name: name}
	n.service = New(time.Now, DefaultSettings())
	n.kernel = kernel.New(zerolog.Nop(), nil)
	for _, fake := range []string{services.NameState, services.NameHosts, services.NamePlatform, services.NameMembership, services.NamePeers, services.NameDispatch} {
		n.kernel.Register(fake, n)
	}
	n.kernel.Register(services.NameMaintenance, n.service)
	c.nodes = append(c.nodes, n)
	assert.NilError(c.t, n.kernel.Start(c.t.Context()))
	return n
}

func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	assert.NilError(n.t, n.kernel.Stop(context.Background()))
}

func (n *node) Provision(*kernel.Context) error { return nil }

// Methods of services.State.

func (n *node) View() *services.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &services.View{Revision: n.head.Revision, State: &revision.State{Revision: n.head.Revision, Parts: maps.Clone(n.parts)},
		Document: &document.Document{Sections: map[string]document.Section{}}, Assignments: budget.Assignments{}, Ledger: &budget.Ledger{}}
	for name, p := range n.parts {
		switch name {
		case services.PartLedger:
			assert.NilError(n.t, json.Unmarshal(p.Data, v.Ledger))
		case services.PartSectionPrefix + "pools":
			var s document.Section
			assert.NilError(n.t, json.Unmarshal(p.Data, &s))
			v.Document.Sections["pools"] = s
		default:
			assert.NilError(n.t, json.Unmarshal(p.Data, &v.Assignments))
		}
	}
	return v
}

func (n *node) Change(ctx context.Context, c revision.Change) (services.ChangeResult, error) {
	if n.gate != nil {
		<-n.gate
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := revision.Propose(n.head, n.parts, c)
	if p.Verdict == revision.Conflict {
		return services.ChangeResult{}, fault.New(&fault.NotRun, fault.ReasonConflict, "commit", "platform", "part %s", p.ConflictPart)
	}
	if p.Verdict == revision.Accepted {
		n.apply(p)
	}
	return services.ChangeResult{Revision: p.Revision, Repeated: p.Verdict == revision.Repeated}, nil
}

// Methods of services.Hosts and services.HostOperations.

func (n *node) Hosts() *fleet.HostList {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := &fleet.HostList{AsOf: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(n.hosts)) {
		list.Hosts = append(list.Hosts, *n.hosts[name])
	}
	return list
}

func (n *node) ReportLeaving(string) {}

func (n *node) operate(f func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failNext > 0 {
		n.failNext--
		return fault.New(&fault.NotRun, fault.ReasonPlatformDown, "operate", "platform", "down")
	}
	f()
	out := 0
	for _, h := range n.hosts {
		if h.Phase != fleet.PhaseLive {
			out++
		}
	}
	n.maxOut = max(n.maxOut, out)
	n.calls++
	if n.losesReplies && n.calls%3 == 0 {
		return fault.New(&fault.Unknown, fault.ReasonConnectionLost, "operate", "platform", "reply lost")
	}
	return nil
}

func (n *node) DrainHost(_ context.Context, host string) error {
	return n.operate(func() { n.hosts[host].Phase = fleet.PhaseLeaving })
}

func (n *node) RebootHost(_ context.Context, host string) error {
	return n.operate(func() {
		assert.Check(n.t, n.hosts[host].Phase != fleet.PhaseLive, "%s is rebooted while live", host)
		n.reboots[host]++
	})
}

func (n *node) ReturnHost(_ context.Context, host string) error {
	return n.operate(func() { n.hosts[host].Phase = fleet.PhaseLive })
}

// Methods of services.Membership, services.Peers and services.Dispatcher.

func (n *node) Self() services.Identity { return services.Identity{Name: n.name} }

func (n *node) Status() []services.PeerStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []services.PeerStatus
	if n.isolated {
		return nil
	}
	for _, other := range n.nodes {
		if other != n && !other.stopped {
			list = append(list, services.PeerStatus{Identity: services.Identity{Name: other.name}, LastContactAt: time.Now()})
		}
	}
	return list
}

func (n *node) Members() []services.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []services.Identity
	for _, other := range n.nodes {
		if !n.unlisted && !other.stopped {
			members = append(members, services.Identity{Name: other.name})
		}
	}
	return members
}

func (n *node) Loads() []services.TeamLoad {
	var loads []services.TeamLoad
	for _, peer := range n.Status() {
		loads = append(loads, services.TeamLoad{Host: peer.Identity.Name, Team: "t", Running: n.load()})
	}
	return loads
}

func (n *node) load() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

func (n *node) Queues() []services.QueueStatus {
	return []services.QueueStatus{{Team: "t", Running: n.load()}}
}
