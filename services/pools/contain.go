package pools

import (
	"context"
	"fmt"
	"runtime/debug"

	"fuchsiafront.example/fuchsiafront/services"
)

// A panic costs the state that it may have left half changed: the plan of one pool,
// or what all pools share of the registry and of the allotments. The duty goes on.

// poolMessage is a call or an outcome that belongs to one ownership of a pool.
type poolMessage interface{ poolRef() ownershipRef }

func (r ownershipRef) poolRef() ownershipRef { return r }

// handleEvent handles an event. If that panics, the pool of the event is given up, or
// the shared state is read again if the event belongs to no pool.
func (p *planner) handleEvent(e event) {
	if m, ok := e.(poolMessage); ok {
		p.guardPool(m.poolRef(), func() { e.handle(p) })
		return
	}
	p.guardShared(func() { e.handle(p) })
}

// guardPool calls f and gives the pool up if it panics.
func (p *planner) guardPool(r ownershipRef, f func()) {
	defer func() {
		if value := recover(); value != nil {
			p.s.logPanic(value, r.pool)
			p.giveUp(r, "its planning panicked")
		}
	}()
	f()
}

// guardShared calls f and drops the state that all pools share if it panics.
func (p *planner) guardShared(f func()) {
	defer func() {
		if value := recover(); value != nil {
			p.s.logPanic(value, "")
			p.resetShared()
		}
	}()
	f()
}

// resetShared drops the planner's copies of the registry and of the allotments, which
// are read again. Calls for them that are in flight have no effect any more.
func (p *planner) resetShared() {
	p.s.sharedStates++
	p.registry = registryView{}
	p.limits.reset()
}

// logPanic logs and counts a panic that was contained.
func (s *Service) logPanic(value any, pool string) {
	s.meters.panics.Inc(1)
	s.log.Error().Str("pool", pool).Str("panic", fmt.Sprint(value)).Bytes("stack", debug.Stack()).Msg("panic contained")
}

// sendShared sends a call whose outcome changes the state that all pools share.
func (p *planner) sendShared(c call) {
	p.send(p.s.recordCalls, sharedCall{c, p.s.sharedStates})
}

// sharedCall is a call for the shared state with the given number.
type sharedCall struct {
	call
	state int
}

// sharedDone is the outcome of a sharedCall.
type sharedDone struct {
	event
	state int
}

func (c sharedCall) run(ctx context.Context, s *Service) event {
	return sharedDone{c.call.run(ctx, s), c.state}
}

func (c sharedCall) notMade() event { return sharedDone{c.call.notMade(), c.state} }

// handle drops an outcome that was meant for an earlier state, whose marks of calls
// in flight are gone.
func (e sharedDone) handle(p *planner) {
	if e.state == p.s.sharedStates {
		e.event.handle(p)
	}
}

// endedOwnerships is what the planner has to remember of ownerships that it no longer
// acts on, also after it has panicked. The service ownership takes note of them in its
// next round and publishes them until then.
type endedOwnerships struct {
	// tokens has the fencing token of the last ownership of each pool that has ended.
	tokens map[string]int64
	// unreported has the ownerships for which the ring of the service had no room.
	unreported []services.PoolOwnership
}

// add takes note of an ownership that has ended.
func (e *endedOwnerships) add(o services.PoolOwnership) {
	if e.tokens == nil {
		e.tokens = make(map[string]int64)
	}
	e.tokens[o.Pool] = max(e.tokens[o.Pool], o.FencingToken)
}

// has reports whether the ownership has ended.
func (e *endedOwnerships) has(o services.PoolOwnership) bool {
	return o.FencingToken <= e.tokens[o.Pool]
}

// report reports an ownership, or keeps it for the next step if there is no room.
func (e *endedOwnerships) report(ownership services.Ownership, o services.PoolOwnership) {
	if !ownership.ReportLost(o) {
		e.unreported = append(e.unreported, o)
	}
}

// reportAgain reports the ownerships for which there was no room.
func (e *endedOwnerships) reportAgain(ownership services.Ownership) {
	waiting := e.unreported
	e.unreported = nil
	for _, o := range waiting {
		e.report(ownership, o)
	}
}
