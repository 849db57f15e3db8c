package pools

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const testPool = "pool"

// fixedOwnership owns one pool and records what is reported as lost.
type fixedOwnership struct {
	services.Ownership
	owned services.PoolOwnership
	lost  int
}

func (o *fixedOwnership) OwnedPools() map[string]services.PoolOwnership {
	return map[string]services.PoolOwnership{testPool: o.owned}
}

func (o *fixedOwnership) ReportLost(services.PoolOwnership) { o.lost++ }

// countingExecutors counts the orders that it receives.
type countingExecutors struct{ orders int }

func (e *countingExecutors) Start(context.Context, poolplan.Start, int64) poolplan.Outcome {
	e.orders++
	return poolplan.Outcome{}
}

func (e *countingExecutors) Stop(context.Context, poolplan.Stop, int64) poolplan.Outcome {
	e.orders++
	return poolplan.Outcome{}
}

func (e *countingExecutors) Throttle(context.Context, poolplan.Throttle, int64) poolplan.Outcome {
	e.orders++
	return poolplan.Outcome{}
}

func (e *countingExecutors) RenewLease(context.Context, poolplan.RenewLease, int64) poolplan.Report {
	e.orders++
	return poolplan.Report{}
}

// newTestService returns a service whose pool was renewed at the epoch, with the
// clock that the caller sets.
// healthyStore implements services.StoreHealth.
type healthyStore struct{}

func (healthyStore) ResponseTime() time.Duration   { return 10 * time.Millisecond }
func (healthyStore) UnreachableFor() time.Duration { return 0 }

func newTestService(now *time.Time) (*Service, *fixedOwnership, *countingExecutors) {
	owner := &fixedOwnership{owned: services.PoolOwnership{Pool: testPool, Term: 3, RenewedAt: *now}}
	executors := new(countingExecutors)
	s := New(Settings{}, func() time.Time { return *now })
	s.storeHealth = healthyStore{}
	s.log, s.ownership, s.executors, s.meters = zerolog.Nop(), owner, executors, newMeters(tally.NoopScope)
	s.events = ring.New[event]("events", 8, nil)
	s.recordCalls = ring.New[call]("records", 1, nil)
	return s, owner, executors
}

// Guards against a process that was paused between planning an order and sending
// it, and then acts on an ownership that another process may have taken over.
func TestPausedOwnerSendsNoOrder(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, executors := newTestService(&now)
	ref := ownershipRef{testPool, 3, 7}
	calls := []call{startCall{ref, poolplan.Start{}}, stopCall{ref, poolplan.Stop{}}, throttleCall{ref, poolplan.Throttle{}}, renewLeaseCall{ref, poolplan.RenewLease{}}}
	for _, c := range calls {
		c.run(t.Context(), s)
	}
	assert.Equal(t, executors.orders, len(calls))
	now = now.Add(ownership.ExclusiveFor + time.Millisecond)
	startCall{ref, poolplan.Start{Exclusive: true}}.run(t.Context(), s)
	assert.Equal(t, executors.orders, len(calls), "a task that a successor may know as done was started")
	now = time.Unix(0, 0).Add(ownership.RenewalTimeout + time.Millisecond)
	for _, c := range calls {
		c.run(t.Context(), s)
	}
	owner.owned.RenewedAt, owner.owned.Term = now, 4
	for _, c := range calls {
		c.run(t.Context(), s)
	}
	assert.Equal(t, executors.orders, len(calls), "orders were sent without the ownership for which they were planned")
}

// Guards against a pool that is never followed, saved or renewed again, because a
// call was dropped at a full backlog and its outcome was still waited for.
func TestCallWithoutRoomIsTriedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned, follower: follow.New(follow.Single)}
	p.pools[testPool] = m
	p.backlog = make([]pendingCall, maxBacklog)
	for range 2 * follow.Hedged.MaxOpen {
		p.followJobs(m)
		assert.Equal(t, len(p.notMade), 1, "the pool waits for a call that was never made")
		p.handleNotMade()
		now = now.Add(follow.RetryDelay)
		p.now = now
	}
}

type panickingCall struct{}

func (panickingCall) run(context.Context, *Service) event { panic("unexpected answer") }
func (panickingCall) notMade() event                      { return callPanicked{} }

// Guards against a planner that waits for the outcome of a call that panicked.
func TestPlannerGivesPoolsUpAfterPanic(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		s.runCall(t.Context(), panickingCall{})
	}()
	p := newPlanner(s)
	p.pools[testPool] = &managedPool{name: testPool, ownership: owner.owned}
	(<-s.events.C()).handle(p)
	assert.Equal(t, len(p.pools), 0)
	assert.Equal(t, owner.lost, 1)
}
