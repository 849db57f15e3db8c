package dispatch

import (
	"context"
	"net/http"
	"sync"
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
)

// fakeServices fakes every service that dispatch looks up, and records the calls.
type fakeServices struct {
	services.Membership
	services.State
	services.Peers
	mu         sync.Mutex
	events     []string
	limits     map[string]int
	usedRights map[string]int
	retried    map[fault.Reason]int
	list       *fleet.HostList
	answer     func(services.BackendAttempt) services.BackendResult
	claim      func(*services.Request) (services.ClaimRecord, error)
	outcomes   map[string]error
	freed      *ring.Ring[string]
}

type fakeRights struct{ *fakeServices }
type fakeBackends struct{ *fakeServices }
type fakeClaims struct{ *fakeServices }

func (w *fakeServices) Provision(*kernel.Context) error { return nil }
func (w *fakeServices) Self() services.Identity {
	return services.Identity{Name: "self", Zone: "klang"}
}
func (w *fakeServices) Loads() []services.TeamLoad        { return nil }
func (w *fakeServices) SetLoads([]services.TeamLoad)      { w.record("loads") }
func (w *fakeServices) CountRefusal(string, fault.Reason) {}
func (w *fakeServices) Refusals() []services.RefusalCount { return nil }
func (w *fakeServices) Handler() http.Handler             { return nil }
func (w *fakeServices) ReportLeaving(host string)         { w.record("leaving " + host) }
func (w *fakeServices) View() *services.View {
	return w.view()
}

var fakeView = &services.View{Document: &document.Document{Sections: map[string]document.Section{
	"s": {Pools: []document.Pool{{Name: "p", Adopt: []string{"*"}}}},
}}}

func (w *fakeServices) view() *services.View { return fakeView }

func (w *fakeServices) Hosts() *fleet.HostList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

func (w *fakeServices) CountRetry(_ string, reason fault.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retried[reason]++
}

func (w *fakeServices) record(event string) {
	if event == "loads" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event)
}

func (w *fakeServices) rightsUsed(team string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedRights[team]
}

func (w *fakeServices) recordedEvents() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.events...)
}

func (f fakeRights) Acquire(_ context.Context, team string, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit, ok := f.limits[team]; ok && f.usedRights[team]+n > limit {
		return fault.New(&fault.NotRun, fault.ReasonTeamLimit, "acquire", "", "none free")
	}
	f.usedRights[team] += n
	f.events = append(f.events, "acquire "+team)
	return nil
}

func (f fakeRights) Release(team string, n int) {
	f.record("release " + team)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usedRights[team] -= n
}

func (f fakeRights) SetWaiting(string, int)                     {}
func (f fakeRights) WatchFreedRights(string) services.FreedRing { return f.freed }
func (f fakeRights) Usage() []services.RightsUsage              { return nil }

func (f fakeBackends) Send(_ context.Context, s services.BackendAttempt) error {
	f.record("send " + s.Request.ID + " " + s.Server.Name)
	go func() {
		r := f.answer(s)
		r.Attempt = s
		s.Done(r)
	}()
	return nil
}

func (f fakeBackends) Retain(map[string]fleet.Host) {}
func (f fakeBackends) ConnectionsPerServer() int    { return 7 }

func (f fakeClaims) Claim(_ context.Context, r *services.Request) (services.ClaimRecord, error) {
	f.record("claim " + r.ID)
	return f.claim(r)
}

func (f fakeClaims) RecordOutcome(r *services.Request, _ *services.Reply, err error) {
	f.record("outcome " + r.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[r.ID] = err
}

func (f fakeClaims) Lookup(context.Context, string, string) (services.ClaimRecord, error) {
	return services.ClaimRecord{}, nil
}

// startWithFakes runs dispatch among fakes with a number of live servers of two
// slots each. By default every attempt succeeds after 10 ms.
func startWithFakes(t *testing.T, servers int) (*Service, *fakeServices, func()) {
	w := &fakeServices{
		limits: map[string]int{}, usedRights: map[string]int{}, retried: map[fault.Reason]int{}, outcomes: map[string]error{},
		freed: ring.New[string]("freed", 16, nil), answer: func(services.BackendAttempt) services.BackendResult { return resultAfter(10*time.Millisecond, nil) },
		claim: func(*services.Request) (services.ClaimRecord, error) {
			return services.ClaimRecord{State: services.ClaimHeld}, nil
		},
	}
	w.setServers(servers, fleet.PhaseLive)
	s := New(time.Now)
	k := kernel.New(zerolog.Nop(), nil)
	for _, name := range []string{services.NameMembership, services.NameState, services.NamePeers, services.NameHosts, services.NameMetrics} {
		k.Register(name, w)
	}
	k.Register(services.NameRights, fakeRights{w})
	k.Register(services.NameBackend, fakeBackends{w})
	k.Register(services.NameClaims, fakeClaims{w})
	k.Register(services.NameDispatch, s)
	assert.NilError(t, k.Start(context.Background()))
	return s, w, func() { k.Stop(context.Background()) }
}

func (w *fakeServices) setServers(n int, phase fleet.HostPhase) {
	list := &fleet.HostList{AsOf: time.Now()}
	for i := range n {
		list.Hosts = append(list.Hosts, fleet.Host{Name: string(rune('a' + i)), Address: "x", Kind: fleet.KindBackendServer, Zone: "klang", Phase: phase, Slots: 2})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = list
}

// resultAfter waits and returns a result: an answer, or err.
func resultAfter(after time.Duration, err error) services.BackendResult {
	time.Sleep(after)
	r := services.BackendResult{Err: err, SlotsFree: -1}
	if err == nil {
		r.Reply = &services.Reply{Status: 200}
	}
	return r
}

func request(id, team string, timeout time.Duration) *services.Request {
	return &services.Request{ID: id, Team: team, Share: 1, Deadline: time.Now().Add(timeout),
		Queue: document.Queue{Name: "q-" + team, Team: team, Pool: "p", Class: fleet.ClassInteractive}}
}

func unknownFault(reason fault.Reason) error {
	return fault.New(&fault.Unknown, reason, "test", "", "unknown")
}

func notRunFault(reason fault.Reason) error {
	return fault.New(&fault.NotRun, reason, "test", "", "not run")
}
