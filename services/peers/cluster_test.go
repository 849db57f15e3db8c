package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/membership"
	"fuchsiafront.example/fuchsiafront/services/statesync"
)

// table is an in-memory table service.
type table struct {
	mu      sync.Mutex
	rows    map[string]services.Row
	version uint64
	down    bool
	reads   int
}

func (t *table) Provision(*kernel.Context) error { return nil }

var errDown = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "platform", "fake", "down")

func (t *table) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errDown
	}
	t.reads++
	rows := make([]services.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (t *table) Scan(_ context.Context, prefix, after string, _ int) ([]services.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, false, errDown
	}
	t.reads++
	var rows []services.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b services.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, false, nil
}

func (t *table) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return services.CommitResult{}, errDown
	}
	var refused []services.Row
	for _, c := range tx.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			refused = append(refused, row)
		}
	}
	if len(refused) > 0 {
		return services.CommitResult{Current: refused}, nil
	}
	t.version++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return services.CommitResult{Committed: true, Version: t.version}, nil
}

func (t *table) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *table) readCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// pipeNetwork connects hosts through net.Pipe. A silent host accepts
// connections and never answers; the connections that it opens get no answer
// either.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	silent    map[string]bool
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

func (w *pipeNetwork) listen(_ context.Context, address string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l, nil
}

func (w *pipeNetwork) dialFrom(self string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		w.mu.Lock()
		l, silent := w.listeners[address], w.silent[address] || w.silent[self]
		w.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		client, server := net.Pipe()
		if silent {
			return client, nil
		}
		select {
		case l.conns <- server:
			return client, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setSilent makes a host silent or undoes it, and closes all idle connections.
func (c *cluster) setSilent(h *host, silent bool) {
	c.network.mu.Lock()
	c.network.silent[h.address] = silent
	c.network.mu.Unlock()
	for _, other := range c.hosts {
		other.peers.client.CloseIdleConnections()
	}
}

type noHosts struct{}

func (noHosts) Provision(*kernel.Context) error { return nil }
func (noHosts) Hosts() *fleet.HostList          { return &fleet.HostList{} }
func (noHosts) ReportLeaving(string)            {}

type noMetrics struct{}

func (noMetrics) Provision(*kernel.Context) error   { return nil }
func (noMetrics) CountRefusal(string, fault.Reason) {}
func (noMetrics) CountRetry(string, fault.Reason)   {}
func (noMetrics) Refusals() []services.RefusalCount { return nil }
func (noMetrics) Handler() http.Handler             { return http.NotFoundHandler() }

// flakyTable is one host's access to the table service.
type flakyTable struct {
	*table
	mu            sync.Mutex
	disconnected  bool
	loseNextReply bool
}

func (f *flakyTable) isDisconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disconnected
}

func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]services.Row, error) {
	if f.isDisconnected() {
		return nil, errDown
	}
	return f.table.Get(ctx, keys...)
}

func (f *flakyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]services.Row, bool, error) {
	if f.isDisconnected() {
		return nil, false, errDown
	}
	return f.table.Scan(ctx, prefix, after, limit)
}

func (f *flakyTable) Commit(ctx context.Context, tx services.Transaction) (services.CommitResult, error) {
	if f.isDisconnected() {
		return services.CommitResult{}, errDown
	}
	result, err := f.table.Commit(ctx, tx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNextReply && len(tx.Conditions) > 0 && tx.Conditions[0].Key == "state/head" {
		f.loseNextReply = false
		f.disconnected = true
		return services.CommitResult{}, fault.New(&fault.Unknown, fault.ReasonPlatformDown, "platform", "fake", "reply lost")
	}
	return result, err
}

func (f *flakyTable) update(change func(*flakyTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

type host struct {
	address    string
	kernel     *kernel.Kernel
	table      *flakyTable
	state      *statesync.Service
	membership *membership.Service
	peers      *Service
}

type cluster struct {
	t       *testing.T
	table   *table
	network *pipeNetwork
	hosts   []*host
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t:       t,
		table:   &table{rows: map[string]services.Row{}},
		network: &pipeNetwork{listeners: map[string]*pipeListener{}, silent: map[string]bool{}},
	}
}

// start starts a new process of the named host. Its incarnation is the current
// time, so that it is higher than that of an earlier process.
func (c *cluster) start(name, zone string, seeds ...string) *host {
	h := &host{address: name + ":1", kernel: kernel.New(zerolog.Nop(), nil), table: &flakyTable{table: c.table}}
	identity := services.Identity{Name: name, Zone: fleet.AvailabilityZone(zone), Incarnation: uint64(time.Now().UnixNano()), PeerAddress: h.address}
	h.state = statesync.New(time.Now)
	h.membership = membership.New(identity, membership.Settings{HoldTerm: 75 * time.Minute}, time.Now)
	seed := uint64(len(c.hosts))
	h.peers = New(Settings{Address: h.address, Seeds: seeds, Random: rand.New(rand.NewPCG(seed, seed))}, time.Now)
	h.peers.network = network{listen: c.network.listen, dial: c.network.dialFrom(h.address)}
	h.kernel.Register(services.NamePlatform, h.table)
	h.kernel.Register(services.NameState, h.state)
	h.kernel.Register(services.NameMembership, h.membership)
	h.kernel.Register(services.NamePeers, h.peers)
	h.kernel.Register(services.NameHosts, noHosts{})
	h.kernel.Register(services.NameMetrics, noMetrics{})
	assert.NilError(c.t, h.kernel.Start(context.Background()))
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) stop(h *host) {
	assert.NilError(c.t, h.kernel.Stop(context.Background()))
	c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
}

func (c *cluster) stopAll() {
	for _, h := range slices.Clone(c.hosts) {
		c.stop(h)
	}
}

func (h *host) staleness() time.Duration { return time.Since(h.state.FreshAsOf()) }

func (h *host) revision() uint64 {
	if v := h.state.View(); v != nil {
		return v.Revision
	}
	return 0
}

func (h *host) change(id, part string, ifRevision uint64) (services.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	data := []byte("section: " + strings.TrimPrefix(part, services.PartSectionPrefix) + "\n")
	return h.state.Change(ctx, revision.Change{ID: id, Updates: []revision.Update{{Part: part, IfRevision: ifRevision, Data: data}}})
}

// inBubble runs a test in the virtual time of a synctest bubble.
func inBubble(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		test(c)
	})
}
