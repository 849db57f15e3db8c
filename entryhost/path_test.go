package entryhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/backend"
	"fuchsiafront.example/fuchsiafront/services/dispatch"
	"fuchsiafront.example/fuchsiafront/services/front"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/backendserver"
	"fuchsiafront.example/fuchsiafront/standin/faults"
)

// requestPath runs the front, dispatch and backend services against stand-in
// backend servers, with fakes for the other services. Rights are unlimited;
// claims are kept in the struct.
type requestPath struct {
	services.State
	services.Membership
	services.Peers
	services.Metrics
	services.Objects
	kernel   *kernel.Kernel
	servers  []*backendserver.Server
	hostList fleet.HostList
	address  string

	mu              sync.Mutex
	startsByRequest map[string]int
	startsByServer  map[string]int
	rightsInUse     int
	claims          map[string]services.ClaimState
}

type fakeRights struct{ *requestPath }
type fakeClaims struct{ *requestPath }
type fakeJobs struct{ services.Jobs }

func (fakeJobs) Provision(*kernel.Context) error { return nil }

func (p *requestPath) Provision(*kernel.Context) error   { return nil }
func (p *requestPath) Self() services.Identity           { return services.Identity{Name: "self", Zone: "klang"} }
func (p *requestPath) FreshAsOf() time.Time              { return time.Now() }
func (p *requestPath) Loads() []services.TeamLoad        { return nil }
func (p *requestPath) SetLoads([]services.TeamLoad)      {}
func (p *requestPath) CountRefusal(string, fault.Reason) {}
func (p *requestPath) CountRetry(string, fault.Reason)   {}
func (p *requestPath) SetReady(bool)                     {}
func (p *requestPath) Hosts() *fleet.HostList            { return &p.hostList }
func (p *requestPath) ReportLeaving(string)              {}

var testView = &services.View{Document: &document.Document{Sections: map[string]document.Section{"s": {
	Pools:  []document.Pool{{Name: "p", Adopt: []string{"*"}}},
	Teams:  []document.Team{{Name: "t", Share: 1, Limit: 100}},
	Queues: []document.Queue{{Name: "q", Team: "t", Pool: "p", Open: true, MaxWaiting: 1000}},
}}}}

func (p *requestPath) View() *services.View { return testView }

// RecordStart implements backendserver.Recorder.
func (p *requestPath) RecordStart(e standin.Execution) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startsByRequest[e.RequestID]++
	p.startsByServer[e.Server]++
	return 0
}

func (p *requestPath) RecordEnd(int) {}

func (p *requestPath) startedRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.startsByRequest)
}

func (p fakeRights) Acquire(context.Context, string, int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rightsInUse++
	return nil
}

func (p fakeRights) Release(string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rightsInUse--
}

func (p fakeRights) SetWaiting(string, int) {}
func (p fakeRights) WatchFreedRights(string) services.FreedRing {
	return ring.New[string]("freed", 1, nil)
}
func (p fakeRights) Usage() []services.RightsUsage { return nil }

func (p fakeClaims) Claim(_ context.Context, r *services.Request) (services.ClaimRecord, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.claims[r.ID]; state != services.ClaimNone && state != services.ClaimReleased {
		return services.ClaimRecord{State: services.ClaimUnknown}, nil
	}
	p.claims[r.ID] = services.ClaimHeld
	return services.ClaimRecord{State: services.ClaimHeld}, nil
}

func (p fakeClaims) RecordOutcome(r *services.Request, _ *services.Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.claims[r.ID] = services.ClaimDone
	case fault.IsNotRun(err):
		p.claims[r.ID] = services.ClaimReleased
	default:
		p.claims[r.ID] = services.ClaimUnknown
	}
}

func (p fakeClaims) Lookup(_ context.Context, _, id string) (services.ClaimRecord, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return services.ClaimRecord{State: p.claims[id]}, nil
}

func startRequestPath(t *testing.T, servers int) *requestPath {
	p := &requestPath{startsByRequest: map[string]int{}, startsByServer: map[string]int{}, claims: map[string]services.ClaimState{}}
	p.hostList.AsOf = time.Now()
	for i := range servers {
		host := fleet.Host{Name: fmt.Sprintf("s%d", i), Address: "127.0.0.1:0", Kind: fleet.KindBackendServer, Zone: "klang", Phase: fleet.PhaseLive, Slots: 8}
		server, err := backendserver.Open(host, 5*time.Millisecond, p, nil)
		assert.NilError(t, err)
		t.Cleanup(func() { server.Close() })
		p.servers = append(p.servers, server)
		p.hostList.Hosts = append(p.hostList.Hosts, server.Host())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.address = l.Addr().String()
	l.Close()
	k := kernel.New(zerolog.Nop(), nil)
	p.kernel = k
	for _, name := range []string{services.NameState, services.NameMembership, services.NamePeers, services.NameMetrics,
		services.NamePlatform, services.NameHosts, services.NameAdmin} {
		k.Register(name, p)
	}
	k.Register(services.NameJobs, fakeJobs{})
	k.Register(services.NameRights, fakeRights{p})
	k.Register(services.NameClaims, fakeClaims{p})
	k.Register(services.NameBackend, backend.New(backend.Settings{MaxEntryHosts: 8}, time.Now))
	k.Register(services.NameDispatch, dispatch.New(time.Now))
	k.Register(services.NameFront, front.New(front.Settings{Address: p.address, MaxBodyBytes: 1 << 20, DefaultTimeout: 20 * time.Second,
		MaxTimeout: time.Minute, MaxKeyStaleness: time.Minute, ReadinessDelay: 50 * time.Millisecond}, time.Now))
	assert.NilError(t, k.Start(context.Background()))
	t.Cleanup(func() { k.Stop(context.Background()) })
	return p
}

type answer struct {
	status  int
	outcome string
	body    string
}

// post sends one request with the identifier id, which its answer must name.
func (p *requestPath) post(id, work string, idempotent bool) answer {
	body := strings.NewReader(fmt.Sprintf(`{"workMs":%s,"echo":"%s"}`, work, id))
	r, _ := http.NewRequest(http.MethodPost, "http://"+p.address+"/v1/queues/q/requests", body)
	r.Header.Set("Idempotency-Key", id)
	if idempotent {
		r.Header.Set("Idempotent", "true")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{resp.StatusCode, resp.Header.Get("Outcome"), string(text)}
}

// isFor reports whether a is the complete answer to the request id.
func (a answer) isFor(id string) bool {
	var body struct{ RequestID, Echo string }
	return a.status == 200 && json.Unmarshal([]byte(a.body), &body) == nil && body.RequestID == id && body.Echo == id
}

// Guards, from the callers' listener to the backend servers, against answers to
// another request, a second run of a non-idempotent request, and a false "not
// run" (G5, G6, G7) while one of three servers is faulty.
func TestFaultyServerOnThePath(t *testing.T) {
	cases := map[string]faults.Set{
		"crossed":     {CrossReplies: true},
		"truncated":   {Truncate: true},
		"lost":        {LoseReply: true},
		"down":        {Down: true},
		"silent":      {SilenceOpenConns: true},
		"failing":     {FailAll: true},
		"leaving":     {Leaving: true},
		"no fault":    {},
		"short delay": {Delay: 30 * time.Millisecond},
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			p := startRequestPath(t, 3)
			for i := range 30 {
				id := fmt.Sprintf("warm-%d", i)
				assert.Assert(t, p.post(id, "1", true).isFor(id))
			}
			p.servers[0].Injector().Apply(set)
			var wg sync.WaitGroup
			var answered atomic.Int64
			for i := range 120 {
				wg.Go(func() {
					id, idempotent := fmt.Sprintf("r-%d", i), i%2 == 0
					a := p.post(id, "5", idempotent)
					p.mu.Lock()
					starts := p.startsByRequest[id]
					p.mu.Unlock()
					if a.isFor(id) {
						answered.Add(1)
					} else if a.status == 200 {
						t.Errorf("request %s got a wrong answer: %s", id, a.body)
					}
					if starts > 1 && !idempotent {
						t.Errorf("non-idempotent request %s ran %d times", id, starts)
					}
					if a.outcome == "not-run" && starts > 0 {
						t.Errorf("request %s ran but was answered as not run: %s", id, a.body)
					}
				})
			}
			wg.Wait()
			minAnswered := int64(60)
			if name == "silent" || name == "leaving" || name == "no fault" || name == "short delay" {
				minAnswered = 120
			}
			assert.Assert(t, answered.Load() >= minAnswered, "only %d of 120 requests answered, want at least %d", answered.Load(), minAnswered)
		})
	}
}

// Guards against work that is sent to a leaving server, and against requests that
// fail because they were routed to one (G8).
func TestLeavingServerOnThePath(t *testing.T) {
	p := startRequestPath(t, 2)
	p.servers[0].SetLeaving(true)
	for i := range 60 {
		id := fmt.Sprint(i)
		a := p.post(id, "1", false)
		assert.Assert(t, a.isFor(id), "request %s: %+v", id, a)
	}
	assert.Equal(t, p.startsByServer["s0"], 0, "requests started on the leaving server")
}

// Guards against a planned stop that cuts off running requests (G9).
func TestDrainOnThePath(t *testing.T) {
	p := startRequestPath(t, 3)
	const requests = 18
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			id := fmt.Sprint(i)
			if a := p.post(id, "1000", false); !a.isFor(id) {
				t.Errorf("request %s: %+v", id, a)
			}
		})
	}
	for p.startedRequests() < requests {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, p.kernel.Drain(context.Background()))
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.rightsInUse, 0, "rights still in use after the drain")
	for id, state := range p.claims {
		assert.Equal(t, state, services.ClaimDone, "claim of %s", id)
	}
}
