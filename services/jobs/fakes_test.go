package jobs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	decision "fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	"fuchsiafront.example/fuchsiafront/standin/worker"
)

// store is a table and an object store in memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]services.Row
	objects map[string][]byte
	version uint64
	writes  int
	down    bool
	// readDelay is how long the reply to a read takes.
	readDelay time.Duration
	// commitDelay is how long a commit takes.
	commitDelay time.Duration
	// loseReplies lets commits take effect and reports them as unknown.
	loseReplies bool
}

// platform is one host's access to the store. Hold, when set, is called after
// each commit took effect and before the host learns of it.
type platform struct {
	*store
	hold func(services.Transaction)
	cut  *atomic.Bool
}

var errDown = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "table", "platform", "down")

func (p *platform) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	defer time.Sleep(p.readDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.cut.Load() {
		return nil, errDown
	}
	var out []services.Row
	for _, k := range keys {
		r := p.rows[k]
		r.Key = k
		out = append(out, r)
	}
	return out, nil
}

func (p *platform) Scan(_ context.Context, prefix, after string, limit int) ([]services.Row, bool, error) {
	defer time.Sleep(p.readDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.cut.Load() {
		return nil, false, errDown
	}
	var out []services.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b services.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], len(out) > limit, nil
}

func (p *platform) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	time.Sleep(p.commitDelay)
	result, err := p.commit(tx)
	if p.hold != nil && result.Committed {
		p.hold(tx)
	}
	return result, err
}

func (p *platform) commit(tx services.Transaction) (services.CommitResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.cut.Load() {
		return services.CommitResult{}, errDown
	}
	var result services.CommitResult
	for _, c := range tx.Conditions {
		if r := p.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			result.Current = append(result.Current, r)
		}
	}
	if len(result.Current) == 0 {
		p.version++
		for _, w := range tx.Writes {
			p.writes++
			p.rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: p.version}
			if w.Delete {
				delete(p.rows, w.Key)
			}
		}
		result.Committed, result.Version = true, p.version
	}
	if p.loseReplies {
		return services.CommitResult{}, fault.New(&fault.Unknown, fault.ReasonPlatformDown, "commit", "platform", "reply lost")
	}
	return result, nil
}

func (p *platform) PutObject(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.cut.Load() {
		return errDown
	}
	p.objects[name] = data
	return nil
}

func (p *platform) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	return data, ok, nil
}

func (p *platform) ListHosts(context.Context) ([]fleet.Host, error) { return nil, nil }
func (p *platform) Provision(*kernel.Context) error                 { return nil }

func (s *store) set(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// rights counts the rights of one team over all hosts. The rights of jobs are
// in a row of the store, so that they change with the jobs' rows.
type rights struct {
	mu    sync.Mutex
	store *store
	limit int
	// acquired are the rights of each host that no job is bound to.
	acquired map[string]int
	peak     int
	rings    []*ring.Ring[string]
	waiting  map[string]int
}

// hostRights is one host's access to the rights.
type hostRights struct {
	*rights
	platform *platform
	self     decision.Holder
}

const rightsKey = "rights/team"

func decodeRights(r services.Row) (out decision.Row) {
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &out); err != nil {
			panic(err)
		}
	}
	return out
}

func (r *rights) Provision(*kernel.Context) error { return nil }
func (r *hostRights) Acquire(_ context.Context, team string, n int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count()+n > r.limit {
		return fault.New(&fault.NotRun, fault.ReasonLimit, "acquire", "", "limit of team %s", team)
	}
	r.acquired[r.self.Host] += n
	return nil
}

func (r *hostRights) Release(string, int) { r.change(-1) }

func (r *hostRights) change(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acquired[r.self.Host] += n
	if r.acquired[r.self.Host] < 0 {
		panic("right released twice")
	}
	r.announce()
}

func (r *rights) announce() {
	for _, freed := range r.rings {
		freed.OfferLatest("team")
	}
}

// reclaim frees the rights of a host that ended, but for those of its jobs.
func (r *rights) reclaim(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acquired[host] = 0
	r.announce()
}

func (r *hostRights) Waiting(string, int) {}

func (r *hostRights) WaitingJobs(_ string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[r.self.Host] = n
}

func (r *rights) Freed(name string) services.FreedRing {
	freed := ring.New[string](name, 8, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rings = append(r.rings, freed)
	return freed
}
func (r *rights) Use() []services.RightsUse { return nil }

// count returns the rights of jobs and of all hosts.
func (r *rights) count() int {
	n := r.store.rights().Sum()
	for _, acquired := range r.acquired {
		n += acquired
	}
	return n
}

func (s *store) rights() decision.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decodeRights(s.rows[rightsKey])
}

func (r *rights) inUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count()
}

func (r *rights) waitingOf(host string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[host]
}

func (r *rights) note(held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peak = max(r.peak, held)
}

func (r *rights) highest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

func (r *hostRights) PlaceJob(ctx context.Context, _ string) (services.RightsChange, error) {
	return r.rightsChange(ctx, true, func(row decision.Row) (decision.Row, bool) {
		row.Limit.Rights = row.Sum() + 1
		row, _ = row.Take(r.self, 1)
		return row.PlaceJob(r.self)
	})
}

func (r *hostRights) AdoptJob(ctx context.Context, _ string, from services.Identity) (services.RightsChange, error) {
	return r.rightsChange(ctx, false, func(row decision.Row) (decision.Row, bool) {
		return row.AdoptJob(decision.Holder{Host: from.Name, Incarnation: from.Incarnation}, r.self)
	})
}

func (r *hostRights) EndJob(ctx context.Context, _ string, from services.Identity) (services.RightsChange, error) {
	h := decision.Holder{Host: from.Name, Incarnation: from.Incarnation}
	return r.rightsChange(ctx, false, func(row decision.Row) (decision.Row, bool) {
		row, ok := row.EndJob(h)
		row, _ = row.GiveBack(h, 1)
		return row, ok
	})
}

func (r *hostRights) rightsChange(ctx context.Context, placed bool, change func(decision.Row) (decision.Row, bool)) (services.RightsChange, error) {
	rows, err := r.platform.Get(ctx, rightsKey)
	if err != nil {
		return services.RightsChange{}, err
	}
	next, ok := change(decodeRights(rows[0]))
	if !ok {
		return services.RightsChange{}, fault.New(&fault.NotRun, fault.ReasonNoJobRight, "account for job", "", "no right")
	}
	value, err := json.Marshal(next)
	return services.RightsChange{
		Condition: services.Condition{Key: rightsKey, Version: rows[0].Version},
		Write:     services.Write{Key: rightsKey, Value: value},
		Settle: func(result services.CommitResult, err error) {
			bound := result.Committed || (err != nil && !fault.IsNotRun(err))
			switch {
			case placed && bound:
				r.change(-1)
			case bound:
				r.change(0)
			}
		},
	}, err
}

// surroundings stands for the remaining services of one host.
type surroundings struct {
	services.State
	services.Membership
	services.Maintenance
	name    string
	members func() []services.Identity
	mu      *sync.Mutex
	view    *atomic.Pointer[services.View]
	list    *fleet.HostList
	// drained are the workers reported for maintenance.
	drained *[]string
}

func (s *surroundings) Provision(*kernel.Context) error { return nil }
func (s *surroundings) View() *services.View            { return s.view.Load() }
func (s *surroundings) Hosts() *fleet.HostList          { return s.list }
func (s *surroundings) ReportLeaving(string)            {}
func (s *surroundings) Self() services.Identity {
	return services.Identity{Name: s.name, Incarnation: 1}
}
func (s *surroundings) Members() []services.Identity { return s.members() }
func (s *surroundings) MayUseRights(time.Time) error { return nil }
func (s *surroundings) Drain(_ context.Context, _, host string, _ budget.Cause) (budget.Out, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.drained = append(*s.drained, host)
	return budget.Out{}, nil
}

// network carries calls to stand-in workers without sockets, so that virtual
// time can pass.
type network struct {
	workers map[string]*worker.Worker
	cut     *atomic.Bool
}

func (n network) Do(req *http.Request) (resp *http.Response, err error) {
	w := n.workers[req.URL.Host]
	if w == nil || n.cut.Load() {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("connection closed")
		}
	}()
	recorder := httptest.NewRecorder()
	w.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}

type cuts struct{ platform, workers atomic.Bool }

// world is a platform, workers and a team's rights for several entry hosts.
type world struct {
	t       *testing.T
	store   *store
	workers map[string]*worker.Worker
	// cuts are the hosts' partitions from the platform and from workers.
	cuts    map[string]*cuts
	list    *fleet.HostList
	view    atomic.Pointer[services.View]
	rights  *rights
	drained []string
	members []services.Identity
	mu      sync.Mutex
}

func newWorld(t *testing.T, workers, limit int) *world {
	w := &world{
		t:       t,
		store:   &store{rows: map[string]services.Row{}, objects: map[string][]byte{}},
		workers: map[string]*worker.Worker{},
		cuts:    map[string]*cuts{},
		list:    &fleet.HostList{AsOf: time.Now()},
	}
	w.rights = &rights{store: w.store, limit: limit, acquired: map[string]int{}, waiting: map[string]int{}}
	view := &services.View{
		Revision: 1,
		Document: &document.Document{Sections: map[string]document.Section{"s": {
			Pools: []document.Pool{{Name: "pool", Kind: fleet.KindWorker}},
			Teams: []document.Team{{Name: "team", Share: 1, Limit: limit}},
			Queues: []document.Queue{
				{Name: "queue", Team: "team", Pool: "pool", Class: fleet.ClassBatch},
				{Name: "urgent", Team: "team", Pool: "pool", Class: fleet.ClassUrgent},
			},
		}}},
		Assignments: budget.Assignments{},
		Ledger:      &budget.Ledger{Out: map[string]budget.Out{}},
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		capacity := fleet.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30}
		w.workers[name] = worker.New(worker.Config{Name: name, Capacity: capacity})
		w.list.Hosts = append(w.list.Hosts, fleet.Host{
			Name: name, Kind: fleet.KindWorker, Zone: "z", Rack: name, Address: name,
			Phase: fleet.PhaseLive, Slots: 8, Capacity: capacity,
		})
		view.Assignments[name] = "pool"
	}
	w.view.Store(view)
	go w.watch(t.Context())
	return w
}

// watch checks that at no time more tasks run than rights are held.
func (w *world) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
		// Both are counted while all duties are idle.
		synctest.Wait()
		running, held := w.running(), w.rights.inUse()
		w.rights.note(held)
		if running > held {
			w.t.Errorf("%d tasks run under %d rights", running, held)
		}
	}
}

func (w *world) running() (n int) {
	for _, e := range w.executions() {
		if e.End.IsZero() {
			n++
		}
	}
	return n
}

// takeOut puts a worker into the ledger.
func (w *world) takeOut(name string) {
	next := *w.view.Load()
	next.Ledger = &budget.Ledger{Out: map[string]budget.Out{name: {Host: name, Step: budget.StepDraining}}}
	w.view.Store(&next)
}

// host starts an entry host with the service jobs; it is stopped when the
// test ends, or earlier through the returned kernel.
func (w *world) host(name string, hold func(services.Transaction)) (*jobs.Service, *kernel.Kernel) {
	return w.start(name, hold, jobs.Config{})
}

func (w *world) hostWith(name string, config jobs.Config) (*jobs.Service, *kernel.Kernel) {
	return w.start(name, nil, config)
}

func (w *world) start(name string, hold func(services.Transaction), config jobs.Config) (*jobs.Service, *kernel.Kernel) {
	c := &cuts{}
	w.cuts[name] = c
	w.mu.Lock()
	w.members = append(w.members, services.Identity{Name: name, Incarnation: 1})
	w.mu.Unlock()
	config.HTTPClient = network{w.workers, &c.workers}
	service := jobs.New(config)
	around := &surroundings{name: name, members: w.listed, mu: &w.mu, view: &w.view, list: w.list, drained: &w.drained}
	k := kernel.New(zerolog.Nop(), nil)
	table := &platform{store: w.store, hold: hold, cut: &c.platform}
	k.Register(services.NamePlatform, table)
	k.Register(services.NameRights, &hostRights{w.rights, table, decision.Holder{Host: name, Incarnation: 1}})
	for _, n := range []string{services.NameState, services.NameHosts, services.NameMembership, services.NameMaintenance} {
		k.Register(n, around)
	}
	k.Register(services.NameJobs, service)
	assert.NilError(w.t, k.Start(context.Background()))
	return service, k
}

// end deletes the member row of a host that has ended and frees what its
// requests had.
func (w *world) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = slices.DeleteFunc(w.members, func(m services.Identity) bool { return m.Name == name })
	w.rights.reclaim(name)
}

// listed returns the members with a row.
func (w *world) listed() []services.Identity {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.members)
}

func (w *world) executions() (out []worker.Execution) {
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		out = append(out, w.workers[name].Executions()...)
	}
	return out
}

// started returns when a job first started, zero if it did not.
func (w *world) started(id string) time.Time {
	for _, e := range w.executions() {
		if e.Job == "team/"+id {
			return e.Start
		}
	}
	return time.Time{}
}

func (s *store) row(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}

// count returns the number of rows under a prefix.
func (s *store) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
