package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
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
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	"fuchsiafront.example/fuchsiafront/standin/worker"
)

// fakeServices stands in for the remaining services of one host.
type fakeServices struct {
	services.State
	services.Membership
	services.Maintenance
	name    string
	members func() []services.Identity
	mu      *sync.Mutex
	view    *atomic.Pointer[services.View]
	list    *fleet.HostList
	// drainedWorkers are the workers for which maintenance was asked to drain.
	drainedWorkers *[]string
}

func (s *fakeServices) Provision(*kernel.Context) error { return nil }
func (s *fakeServices) View() *services.View            { return s.view.Load() }
func (s *fakeServices) Hosts() *fleet.HostList          { return s.list }
func (s *fakeServices) ReportLeaving(string)            {}
func (s *fakeServices) Self() services.Identity {
	return services.Identity{Name: s.name, Incarnation: 1}
}
func (s *fakeServices) Members() []services.Identity      { return s.members() }
func (s *fakeServices) CheckMayUseRights(time.Time) error { return nil }
func (s *fakeServices) Drain(_ context.Context, _, host string, _ budget.Cause) (budget.LedgerEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.drainedWorkers = append(*s.drainedWorkers, host)
	return budget.LedgerEntry{}, nil
}

// network carries calls to stand-in workers without sockets, so that virtual
// time can advance.
type network struct {
	workers     map[string]*worker.Worker
	partitioned *atomic.Bool
}

func (n network) Do(req *http.Request) (resp *http.Response, err error) {
	w := n.workers[req.URL.Host]
	if w == nil || n.partitioned.Load() {
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

type partitions struct{ platform, workers atomic.Bool }

// testCluster is a platform, workers and a team's rights shared by entry hosts.
type testCluster struct {
	t       *testing.T
	store   *fakeStore
	workers map[string]*worker.Worker
	// partitions are the entry hosts' partitions from the platform and workers.
	partitions     map[string]*partitions
	list           *fleet.HostList
	view           atomic.Pointer[services.View]
	rights         *fakeRights
	drainedWorkers []string
	members        []services.Identity
	mu             sync.Mutex
	// rightsService, if set, returns the rights service of each host, in place
	// of the fake one.
	rightsService func() kernel.Service
}

func newTestCluster(t *testing.T, workers, limit int) *testCluster {
	cluster := &testCluster{
		t:          t,
		store:      &fakeStore{rows: map[string]services.Row{}, objects: map[string][]byte{}},
		workers:    map[string]*worker.Worker{},
		partitions: map[string]*partitions{},
		list:       &fleet.HostList{AsOf: time.Now()},
	}
	cluster.rights = &fakeRights{store: cluster.store, limit: limit, acquired: map[string]int{}, waiting: map[string]int{}}
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
		Ledger:      &budget.Ledger{Entries: map[string]budget.LedgerEntry{}},
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		capacity := fleet.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30}
		cluster.workers[name] = worker.New(worker.Config{Name: name, Capacity: capacity})
		cluster.list.Hosts = append(cluster.list.Hosts, fleet.Host{
			Name: name, Kind: fleet.KindWorker, Zone: "z", Rack: name, Address: name,
			Phase: fleet.PhaseLive, Slots: 8, Capacity: capacity,
		})
		view.Assignments[name] = "pool"
	}
	cluster.view.Store(view)
	go cluster.checkRights(t.Context())
	return cluster
}

// checkRights checks that the running tasks never exceed the rights in use.
func (tc *testCluster) checkRights(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
		// Both counts are taken while all duties are blocked.
		synctest.Wait()
		running, held := tc.countRunning(), tc.rights.inUse()
		tc.rights.recordPeak(held)
		if running > held {
			tc.t.Errorf("%d tasks run, but only %d rights are in use", running, held)
		}
	}
}

func (tc *testCluster) countRunning() (n int) {
	for _, e := range tc.executions() {
		if e.End.IsZero() {
			n++
		}
	}
	return n
}

// markDraining puts a worker into the ledger.
func (tc *testCluster) markDraining(name string) {
	next := *tc.view.Load()
	next.Ledger = &budget.Ledger{Entries: map[string]budget.LedgerEntry{name: {Host: name, Step: budget.StepDraining}}}
	tc.view.Store(&next)
}

// startHost starts an entry host with the service jobs; the test stops it
// through the returned kernel.
func (tc *testCluster) startHost(name string, afterCommit func(services.Transaction)) (*jobs.Service, *kernel.Kernel) {
	return tc.start(name, afterCommit, jobs.Config{})
}

func (tc *testCluster) startHostWith(name string, config jobs.Config) (*jobs.Service, *kernel.Kernel) {
	return tc.start(name, nil, config)
}

func (tc *testCluster) start(name string, afterCommit func(services.Transaction), config jobs.Config) (*jobs.Service, *kernel.Kernel) {
	hostPartitions := &partitions{}
	tc.partitions[name] = hostPartitions
	tc.mu.Lock()
	tc.members = append(tc.members, services.Identity{Name: name, Incarnation: 1})
	tc.mu.Unlock()
	config.HTTPClient = network{tc.workers, &hostPartitions.workers}
	service := jobs.New(config)
	fakes := &fakeServices{name: name, members: tc.listMembers, mu: &tc.mu, view: &tc.view, list: tc.list, drainedWorkers: &tc.drainedWorkers}
	k := kernel.New(zerolog.Nop(), nil)
	table := &fakePlatform{fakeStore: tc.store, afterCommit: afterCommit, partitioned: &hostPartitions.platform}
	k.Register(services.NamePlatform, table)
	if tc.rightsService != nil {
		k.Register(services.NameRights, tc.rightsService())
		k.Register(services.NamePeers, noPeers{})
	} else {
		k.Register(services.NameRights, &hostRights{tc.rights, table, decision.Holder{Host: name, Incarnation: 1}})
	}
	for _, n := range []string{services.NameState, services.NameHosts, services.NameMembership, services.NameMaintenance} {
		k.Register(n, fakes)
	}
	k.Register(services.NameJobs, service)
	assert.NilError(tc.t, k.Start(context.Background()))
	return service, k
}

// removeMember deletes the member row of an ended host and frees the rights of
// its requests.
func (tc *testCluster) removeMember(name string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.members = slices.DeleteFunc(tc.members, func(m services.Identity) bool { return m.Name == name })
	tc.rights.freeAcquired(name)
}

// listMembers returns the members that have a row.
func (tc *testCluster) listMembers() []services.Identity {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return slices.Clone(tc.members)
}

func (tc *testCluster) executions() (out []worker.Execution) {
	for _, name := range slices.Sorted(maps.Keys(tc.workers)) {
		out = append(out, tc.workers[name].Executions()...)
	}
	return out
}

// startedAt returns when a job first started, or zero if it has not.
func (tc *testCluster) startedAt(id string) time.Time {
	for _, e := range tc.executions() {
		if e.Job == "team/"+id {
			return e.Start
		}
	}
	return time.Time{}
}
