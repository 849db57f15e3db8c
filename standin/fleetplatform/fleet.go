package fleetplatform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// reportInterval is the time between liveness reports of an executor.
const reportInterval = 500 * time.Millisecond

// defaultMaximumCPU is more than all executors of a fleet have.
const defaultMaximumCPU = 100_000

// Fleet is a store and the executors of two services on loopback addresses.
type Fleet struct {
	Store    *Store
	Recorder *RunRecorder
	// Service has the executors that Start adds.
	Service string
	// OtherService has those that AddOtherExecutor adds.
	OtherService string
	// MaximumCPU is the tenant's upper limit in thousandths of a processor.
	MaximumCPU int

	platformServer *httptest.Server
	mu             sync.Mutex
	executors      map[string]*servedExecutor
	relays         []*Relay
	late           lateOrders
	maxLease       time.Duration
	stop           chan struct{}
	reporting      sync.WaitGroup
}

// servedExecutor is an executor with its HTTP server.
type servedExecutor struct {
	fleet    *Fleet
	executor *Executor
	service  string
	server   *httptest.Server
	// registryAddress is the address that the registry shows.
	registryAddress string
	// reportsFrom is when the executor first reports to the registry.
	reportsFrom time.Time
}

// Start starts a fleet with n executors whose tasks each take taskDuration.
func Start(n int, taskDuration time.Duration) *Fleet {
	return StartWithMaxLease(n, taskDuration, DefaultMaxLease)
}

// StartWithMaxLease starts a fleet like Start. Its executors shorten longer leases to
// maxLease.
func StartWithMaxLease(n int, taskDuration, maxLease time.Duration) *Fleet {
	f := &Fleet{Store: NewStore(), Recorder: new(RunRecorder), Service: "svc", OtherService: "svc-2", MaximumCPU: defaultMaximumCPU, maxLease: maxLease, executors: make(map[string]*servedExecutor), stop: make(chan struct{})}
	mux := http.NewServeMux()
	f.Store.Register(mux)
	mux.HandleFunc("GET /fuchsiafront/machines", f.serveMachines)
	mux.HandleFunc("POST /fuchsiafront/machine-move", refuseOrder)
	mux.HandleFunc("POST /fuchsiafront/machine-upkeep", refuseOrder)
	f.platformServer = httptest.NewServer(mux)
	for i := range n {
		f.AddExecutor(fmt.Sprintf("i-%d", i), taskDuration)
	}
	f.reporting.Go(f.reportExecutors)
	return f
}

// Close stops the store and all executors.
func (f *Fleet) Close() {
	close(f.stop)
	f.reporting.Wait()
	f.EndLateOrders()
	f.platformServer.CloseClientConnections()
	f.platformServer.Close()
	for id := range f.executors {
		f.KillExecutor(id)
	}
	for _, r := range f.relays {
		r.close()
	}
}

// Address returns the address of the store and the machine list.
func (f *Fleet) Address() string { return address(f.platformServer) }

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// AddExecutor starts an executor of Service.
func (f *Fleet) AddExecutor(id string, taskDuration time.Duration) *Executor {
	return f.addExecutor(f.Service, id, taskDuration)
}

// AddOtherExecutor starts an executor of OtherService.
func (f *Fleet) AddOtherExecutor(id string, taskDuration time.Duration) *Executor {
	return f.addExecutor(f.OtherService, id, taskDuration)
}

func (f *Fleet) addExecutor(service, id string, taskDuration time.Duration) *Executor {
	e := newExecutor(id, taskDuration, initialUptime, f.maxLease, f.Recorder)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &servedExecutor{fleet: f, executor: e, service: service}
	s.server = httptest.NewUnstartedServer(s)
	// On the address of other servers, an outgoing connection could take the port while
	// the executor restarts.
	if l, err := listenOnOwnIP(); err == nil {
		s.server.Listener.Close()
		s.server.Listener = l
	}
	s.server.Start()
	s.registryAddress = address(s.server)
	f.executors[id] = s
	return e
}

// Restart is how an executor starts again.
type Restart struct {
	// Down is how long no incarnation is there.
	Down time.Duration
	// ReportDelay is the time from the start to the first report to the registry.
	ReportDelay time.Duration
	// TimeOfDayStep is added to the start that the new incarnation reports. If it is
	// negative enough, that start is earlier than the one of the former incarnation.
	TimeOfDayStep time.Duration
}

// RestartExecutor kills an executor and starts it again down later under its identifier,
// at its address. Its first report to the registry comes reportDelay after that.
func (f *Fleet) RestartExecutor(id string, down, reportDelay time.Duration) error {
	return f.Restart(id, Restart{Down: down, ReportDelay: reportDelay})
}

// Restart kills an executor and starts it again under its identifier, at its address.
func (f *Fleet) Restart(id string, how Restart) error {
	old := f.served(id)
	f.KillExecutor(id)
	time.Sleep(how.Down)
	listener, err := net.Listen("tcp", address(old.server))
	if err != nil {
		return fmt.Errorf("restart executor %s: %w", id, err)
	}
	e := newExecutor(id, old.executor.TaskDuration, 0, f.maxLease, f.Recorder)
	e.StartedMs += how.TimeOfDayStep.Milliseconds()
	s := &servedExecutor{fleet: f, executor: e, service: old.service, registryAddress: old.registryAddress, reportsFrom: time.Now().Add(how.ReportDelay)}
	s.server = httptest.NewUnstartedServer(s)
	s.server.Listener.Close()
	s.server.Listener = listener
	f.mu.Lock()
	defer f.mu.Unlock()
	s.server.Start()
	f.executors[id] = s
	return nil
}

// ServeHTTP lets the executor carry out an order and responds. The order gets no response
// if it is carried out late, or if the executor loses replies or ends meanwhile.
func (s *servedExecutor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.delayOrder(s.executor.ID, o) {
		leaveUnanswered(r)
		return
	}
	status, body := s.executor.carryOut(o)
	if !s.executor.replies() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

// leaveUnanswered waits until the caller of a request gives up, and closes its connection
// without a response.
func leaveUnanswered(r *http.Request) {
	// The server notices that a caller has given up once the request is read to its end.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// served returns the present incarnation of an executor, or nil if none is there.
func (f *Fleet) served(id string) *servedExecutor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id]
}

// ExecutorAddress returns the address on which an executor listens.
func (f *Fleet) ExecutorAddress(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return address(f.executors[id].server)
}

// SetRegistryAddress sets the address that the registry shows for an executor,
// for example that of a proxy in front of it.
func (f *Fleet) SetRegistryAddress(id, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[id].registryAddress = address
}

// Executor returns the present incarnation of an executor, or nil if none is there.
func (f *Fleet) Executor(id string) *Executor {
	if s := f.served(id); s != nil {
		return s.executor
	}
	return nil
}

// KillExecutor closes an executor's server and ends its runs, without a report.
func (f *Fleet) KillExecutor(id string) {
	f.mu.Lock()
	s := f.executors[id]
	delete(f.executors, id)
	f.mu.Unlock()
	s.executor.crash()
	s.server.CloseClientConnections()
	s.server.Close()
}

// reportExecutors writes the registry entries of all executors periodically
// until the fleet is closed.
func (f *Fleet) reportExecutors() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		f.mu.Lock()
		for id, s := range f.executors {
			if time.Now().Before(s.reportsFrom) {
				continue
			}
			f.Store.Put("servers", "", id, s.executor.RegistryEntry(s.service, s.registryAddress, sequence))
		}
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

// Configure writes a configuration with one queue, which is served by Service.
func (f *Fleet) Configure(version int, host, prefix string, keys ...string) {
	f.ConfigureQueue(version, "queue", f.Service, host, prefix, keys...)
}

// ConfigureQueue writes a configuration with one queue of a name and a service. The
// configuration has both services.
func (f *Fleet) ConfigureQueue(version int, name, service, host, prefix string, keys ...string) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": name, "host": host, "path-prefix": prefix, "service": service, "max-attempts": 3,
			"slack-factor": 1.6, "target-latency-ms": 600, "timeout-ms": 3000,
		}},
		"services": []map[string]any{
			{"name": f.Service, "health-path": "/healthz", "max-conns": 64},
			{"name": f.OtherService, "health-path": "/healthz", "max-conns": 64},
		},
		"tenants": []map[string]any{{"name": "tenant", "api-keys": keys, "weight": 1, "maximum": map[string]any{"cpu": f.MaximumCPU, "mem-mb": 100000}}},
	})
}

// refuseOrder responds to orders for machines, which all stay where they are.
func refuseOrder(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
}

func (f *Fleet) serveMachines(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := []map[string]any{}
	for id, s := range f.executors {
		machines = append(machines, map[string]any{
			"machine": "m-" + id, "pool": s.service, "state": "up", "zone": ZoneOf(id), "id": id,
			"capacity": map[string]any{"cpu": 4000, "mem-mb": 8192, "gpu": 0},
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next-token": nil})
}
