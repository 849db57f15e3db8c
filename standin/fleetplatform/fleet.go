package fleetplatform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// reportInterval separates the liveness reports of executors.
const reportInterval = 500 * time.Millisecond

// Fleet is a store with executors of one service, on loopback addresses.
type Fleet struct {
	Store    *Store
	Recorder *RunRecorder
	Service  string

	platformServer *httptest.Server
	mu             sync.Mutex
	executors      map[string]*servedExecutor
	stop           chan struct{}
	reporting      sync.WaitGroup
}

// servedExecutor is an executor with its server.
type servedExecutor struct {
	executor *Executor
	server   *httptest.Server
	// registryAddress is the address in the registry.
	registryAddress string
}

// Start returns a fleet with n executors whose tasks take work each.
func Start(n int, work time.Duration) *Fleet {
	f := &Fleet{Store: NewStore(), Recorder: new(RunRecorder), Service: "svc", executors: make(map[string]*servedExecutor), stop: make(chan struct{})}
	mux := http.NewServeMux()
	f.Store.Register(mux)
	mux.HandleFunc("GET /fuchsiafront/machines", f.serveMachines)
	f.platformServer = httptest.NewServer(mux)
	for i := range n {
		f.AddExecutor(fmt.Sprintf("i-%d", i), work)
	}
	f.reporting.Go(f.reportExecutors)
	return f
}

// Close ends the fleet.
func (f *Fleet) Close() {
	close(f.stop)
	f.reporting.Wait()
	f.platformServer.CloseClientConnections()
	f.platformServer.Close()
	for id := range f.executors {
		f.KillExecutor(id)
	}
}

// Address returns the address of the store and of the machine list.
func (f *Fleet) Address() string { return address(f.platformServer) }

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// AddExecutor starts an executor.
func (f *Fleet) AddExecutor(id string, work time.Duration) *Executor {
	e := NewExecutor(id, work, f.Recorder)
	mux := http.NewServeMux()
	e.Register(mux)
	f.mu.Lock()
	defer f.mu.Unlock()
	server := httptest.NewServer(mux)
	f.executors[id] = &servedExecutor{e, server, address(server)}
	return e
}

// ExecutorAddress returns where an executor listens.
func (f *Fleet) ExecutorAddress(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return address(f.executors[id].server)
}

// SetRegistryAddress makes the registry show another address of an executor, as that of a
// proxy before it.
func (f *Fleet) SetRegistryAddress(id, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[id].registryAddress = address
}

// Executor returns an executor by its identifier.
func (f *Fleet) Executor(id string) *Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id].executor
}

// KillExecutor ends an executor without a word.
func (f *Fleet) KillExecutor(id string) {
	f.mu.Lock()
	s := f.executors[id]
	delete(f.executors, id)
	f.mu.Unlock()
	s.server.CloseClientConnections()
	s.server.Close()
	s.executor.mu.Lock()
	defer s.executor.mu.Unlock()
	for _, run := range s.executor.runs {
		s.executor.recordEnd(run, "gone")
	}
}

// reportExecutors writes the entries of all executors until the fleet is closed.
func (f *Fleet) reportExecutors() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		f.mu.Lock()
		for id, s := range f.executors {
			f.Store.Put("servers", "", id, s.executor.RegistryEntry(f.Service, s.registryAddress, sequence))
		}
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

// Configure writes a configuration with one queue.
func (f *Fleet) Configure(version int, host, prefix string, keys ...string) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "path-prefix": prefix, "service": f.Service, "max-attempts": 3,
			"slack-factor": 1.6, "target-latency-ms": 600, "timeout-ms": 3000,
		}},
		"services": []map[string]any{{"name": f.Service, "health-path": "/healthz", "max-conns": 64}},
		"tenants":  []map[string]any{{"name": "tenant", "api-keys": keys, "weight": 1, "maximum": map[string]any{"cpu": 100000, "mem-mb": 100000}}},
	})
}

func (f *Fleet) serveMachines(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := []map[string]any{}
	for id := range f.executors {
		machines = append(machines, map[string]any{
			"machine": "m-" + id, "pool": f.Service, "state": "up", "zone": "z1", "id": id,
			"capacity": map[string]any{"cpu": 4000, "mem-mb": 8192, "gpu": 0},
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next-token": nil})
}
