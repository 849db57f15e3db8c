package pools

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

// manage gives the planner a plan for each pool that the service owns.
func manage(p *planner, owner *fixedOwnership) {
	for name, o := range owner.OwnedPools() {
		m := &managedPool{name: name, ownership: o, loaded: true, follower: follow.New(follow.Single)}
		m.plan = poolplan.New(o.Term, p.now, 0, poolplan.Params{})
		p.pools[name] = m
	}
}

// Guards against a host that starts work again that it runs already (review case 6). It
// dropped the plan of a pool, and until the service ownership had taken note of that, a
// renewal of another pool made it manage the same ownership again, with a plan that knew
// of no run. Outcomes of calls of the dropped plan then reached that one.
func TestEndedOwnershipIsNotManagedAgain(t *testing.T) {
	for name, end := range map[string]func(p *planner, m *managedPool){
		"lost":     func(p *planner, m *managedPool) { p.dropLostPool(m) },
		"given up": func(p *planner, m *managedPool) { p.giveUp(m.ref(), "test") },
		"not owned for a moment": func(p *planner, m *managedPool) {
			p.drop(m)
		},
		"planner panicked": func(p *planner, _ *managedPool) {
			*p = *newPlanner(p.s)
			p.giveUpAll("test")
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s, owner, _ := newTestService(&now)
			p := newPlanner(s)
			manage(p, owner)
			m := p.pools[testPool]
			ref := m.ref()
			end(p, m)
			p.refreshOwnedPools()
			assert.Equal(t, len(p.pools), 0, "the ownership is managed again")
			for _, e := range []event{
				saveDone{saveCall: saveCall{ownershipRef: ref, saves: []poolplan.Save{{Job: "a"}}}},
				followDone{followCall: followCall{ownershipRef: ref}, changes: services.RecordChanges{Version: 9}},
				recordExecutorsDone{recordExecutorsCall: recordExecutorsCall{ownershipRef: ref}, commit: services.RecordCommit{Committed: true}},
				loadDone{ownershipRef: ref}, scanDone{scanCall: scanCall{ownershipRef: ref}}, statusDone{statusCall: statusCall{ownershipRef: ref}},
				movedDone{movedCall: movedCall{ownershipRef: ref}}, trimDone{trimCall: trimCall{ownershipRef: ref}}, expireDone{expireCall: expireCall{ownershipRef: ref}},
				startDone{startCall: startCall{ownershipRef: ref}}, stopDone{stopCall: stopCall{ownershipRef: ref}}, throttleDone{throttleCall: throttleCall{ownershipRef: ref}},
				renewLeaseDone{renewLeaseCall: renewLeaseCall{ownershipRef: ref}}, adviseDone{adviseCall: adviseCall{ownershipRef: ref}},
			} {
				// Not through handleEvent, which would contain a panic.
				e.handle(p)
			}
			assert.Equal(t, len(p.pools), 0)
			owner.owned.FencingToken++
			p.refreshOwnedPools()
			assert.Assert(t, p.pools[testPool] != nil, "a later ownership of the pool is not managed")
		})
	}
}

// Guards against a planner that panics again after a restart, because answers about the
// registry and the allotments that its earlier run had asked for reach it before it has
// a catalog or a whole list.
func TestOutcomesOfEarlierRunAreDropped(t *testing.T) {
	now := time.Unix(0, 0)
	s, _, _ := newTestService(&now)
	p := newPlanner(s)
	p.pools[testPool] = &managedPool{name: testPool, plan: poolplan.New(3, now, 0, poolplan.Params{})}
	entry := services.RegisteredExecutor{Service: testPool, Executor: poolplan.Executor{ID: "1"}}
	old := []event{
		sharedDone{registryDone{registryCall{after: 1}, services.RegistryChanges{Version: 2, Executors: []services.RegisteredExecutor{entry}}, nil}, s.sharedStates},
		sharedDone{limitsCommitDone{commit: services.RecordCommit{Committed: true}}, s.sharedStates},
		sharedDone{limitsFollowDone{changes: services.RecordChanges{Version: 2}}, s.sharedStates},
		sharedDone{limitsLoadDone{}, s.sharedStates},
	}
	p.resetShared()
	for _, e := range old {
		e.handle(p)
	}
	assert.Equal(t, p.registry.version, int64(0), "changes were applied to a list that was never read")
	assert.Assert(t, !p.limits.loaded)
}

// panickingEvent panics when it is handled.
type panickingEvent struct{ ownershipRef }

func (panickingEvent) handle(*planner) { panic("unexpected outcome") }

// panickingCall panics when it is made.
type panickingCall struct{ ownershipRef }

func (panickingCall) run(context.Context, *Service) event { panic("unexpected answer") }
func (panickingCall) notMade() event                      { return nil }

// Guards against a panic that costs more than the pool that it belongs to: all pools of
// the process were given up, the duty ended, and with the fifth panic the process did.
func TestPanicCostsOnePool(t *testing.T) {
	for name, panics := range map[string]func(p *planner, r ownershipRef){
		"event": func(p *planner, r ownershipRef) { p.handleEvent(panickingEvent{r}) },
		"call":  func(p *planner, r ownershipRef) { p.handleEvent(p.s.runCall(t.Context(), panickingCall{r})) },
		"step": func(p *planner, r ownershipRef) {
			p.catalog = catalog.New(1, nil, []catalog.Service{{Name: testPool}}, nil)
			// A loaded pool without a plan stands for a plan that panics.
			p.pools[r.pool].plan = nil
			p.step()
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s, owner, _ := newTestService(&now)
			owner.others = []services.PoolOwnership{{Pool: "other", Term: 1, FencingToken: 1, RenewedAt: now}}
			p := newPlanner(s)
			manage(p, owner)
			other := p.pools["other"].plan
			for i := range 6 {
				m := p.pools[testPool]
				assert.Assert(t, m != nil, "after %d panics the pool's later ownership is not managed", i)
				panics(p, m.ref())
				assert.Assert(t, p.pools[testPool] == nil, "the plan may be half changed and is used")
				assert.Equal(t, owner.lost, i+1)
				owner.owned.FencingToken++
				p.refreshOwnedPools()
				manage(p, &fixedOwnership{owned: owner.owned})
			}
			assert.Assert(t, p.pools["other"].plan == other, "the plan of another pool was dropped")
		})
	}
}

// Guards against a panic in what all pools share that drops their plans.
func TestPanicInSharedStateKeepsPlans(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	p := newPlanner(s)
	manage(p, owner)
	plan := p.pools[testPool].plan
	p.catalog = catalog.New(1, nil, []catalog.Service{{Name: testPool}}, nil)
	p.registry.version, p.registry.inFlight = 7, true
	p.handleEvent(sharedDone{registryDone{registryCall{after: 7}, services.RegistryChanges{Executors: []services.RegisteredExecutor{{}}}, nil}, s.sharedStates})
	assert.Assert(t, p.pools[testPool].plan == plan)
	assert.Equal(t, owner.lost, 0)
	assert.Equal(t, p.registry.version, int64(0), "the list may be half changed and is used")
	assert.Assert(t, !p.registry.inFlight, "the list is not read again")
}

// Guards against pools that nobody runs: more were given up at once than the ring of
// reports holds, and the process went on renewing the ownership of the others.
func TestAllPoolsGivenUpAreReported(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	for i := range 39 {
		owner.others = append(owner.others, services.PoolOwnership{Pool: strconv.Itoa(i), Term: 1, FencingToken: 1})
	}
	owner.full = true
	p := newPlanner(s)
	p.giveUpAll("test")
	p.step()
	assert.Equal(t, owner.lost, 0)
	// The reports wait while the planner panics again.
	p = newPlanner(s)
	p.giveUpAll("test")
	owner.full = false
	p.step()
	assert.Equal(t, owner.lost, 40)
	p.step()
	assert.Equal(t, owner.lost, 40, "an ownership was reported twice")
}

// noCatalogs has no configuration yet.
type noCatalogs struct{ services.Catalogs }

func (*noCatalogs) Catalog() *catalog.Catalog   { return nil }
func (*noCatalogs) Evacuations() evacuation.Set { return evacuation.Set{} }
func (*noCatalogs) CurrentAsOf() time.Time      { return time.Time{} }
