package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// ownershipRef identifies the ownership for which a call is made by its fencing token.
type ownershipRef struct {
	pool         string
	fencingToken int64
}

// ref returns the reference for calls of the pool's present ownership.
func (m *managedPool) ref() ownershipRef {
	return ownershipRef{m.name, m.ownership.FencingToken}
}

// mayOrder reports whether this process may still give orders for the pool: it owns
// it by the same ownership, and its last confirmed renewal is at most maxAge old. It is
// checked just before an order is sent, because the process may have been paused
// since the order was planned.
func (s *Service) mayOrder(r ownershipRef, maxAge time.Duration) bool {
	o, ok := s.ownership.OwnedPools()[r.pool]
	if !ok || o.FencingToken != r.fencingToken || s.clock().Sub(o.RenewedAt) > maxAge {
		s.meters.ordersWithheld.Inc(1)
		return false
	}
	return true
}

// withPlan calls f with the pool's plan unless the ownership has ended.
func (r ownershipRef) withPlan(p *planner, f func(plan *poolplan.Plan, now time.Time)) {
	if m := p.managedPool(r); m != nil && m.plan != nil {
		p.now = p.s.clock()
		f(m.plan, p.now)
	}
}

type startCall struct {
	ownershipRef
	order poolplan.Start
}

type startDone struct {
	startCall
	outcome poolplan.Outcome
}

func (c startCall) run(ctx context.Context, s *Service) event {
	maxAge := ownership.RenewalTimeout
	if c.order.Exclusive {
		maxAge = ownership.ExclusiveFor
	}
	if !s.mayOrder(c.ownershipRef, maxAge) || !s.mayStartIn(c.order) {
		return c.notMade()
	}
	defer s.recordOrderTime(s.clock())
	return startDone{c, s.executors.Start(ctx, c.order)}
}

func (c startCall) notMade() event { return startDone{c, poolplan.Outcome{Answer: poolplan.Withheld}} }

func (e startDone) handle(p *planner) {
	if e.outcome.Answer == poolplan.Withheld {
		// The zone may have been evacuated since the plan last learned of evacuations. It
		// stops the other members of a gang only if it knows.
		p.refreshEvacuations()
	}
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.StartDone(now, e.order, e.outcome) })
}

type stopCall struct {
	ownershipRef
	order poolplan.Stop
}

type stopDone struct {
	stopCall
	outcome poolplan.Outcome
}

func (c stopCall) run(ctx context.Context, s *Service) event {
	if !s.mayOrder(c.ownershipRef, ownership.RenewalTimeout) {
		return c.notMade()
	}
	defer s.recordOrderTime(s.clock())
	return stopDone{c, s.executors.Stop(ctx, c.order)}
}

func (c stopCall) notMade() event { return stopDone{c, poolplan.Outcome{Answer: poolplan.Withheld}} }

func (e stopDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.StopDone(now, e.order, e.outcome) })
}

type throttleCall struct {
	ownershipRef
	order poolplan.Throttle
}

type throttleDone struct {
	throttleCall
	outcome poolplan.Outcome
}

func (c throttleCall) run(ctx context.Context, s *Service) event {
	if !s.mayOrder(c.ownershipRef, ownership.RenewalTimeout) {
		return c.notMade()
	}
	return throttleDone{c, s.executors.Throttle(ctx, c.order)}
}

func (c throttleCall) notMade() event {
	return throttleDone{c, poolplan.Outcome{Answer: poolplan.Withheld}}
}

func (e throttleDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.ThrottleDone(now, e.order, e.outcome) })
}

type renewLeaseCall struct {
	ownershipRef
	order poolplan.RenewLease
}

type renewLeaseDone struct {
	renewLeaseCall
	report poolplan.Report
}

func (c renewLeaseCall) run(ctx context.Context, s *Service) event {
	if !s.mayOrder(c.ownershipRef, ownership.RenewalTimeout) {
		return c.notMade()
	}
	return renewLeaseDone{c, s.executors.RenewLease(ctx, c.order)}
}

func (c renewLeaseCall) notMade() event {
	return renewLeaseDone{c, poolplan.Report{Outcome: poolplan.Outcome{Answer: poolplan.Withheld}}}
}

func (e renewLeaseDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.RenewLeaseDone(now, e.order, e.report) })
}

type adviseCall struct {
	ownershipRef
	order poolplan.Advise
}

type adviseDone struct {
	adviseCall
	tickets  map[string]string
	validity time.Duration
	err      error
}

func (c adviseCall) run(ctx context.Context, s *Service) event {
	tickets, validity, err := s.advisor.Advise(ctx, c.order)
	return adviseDone{c, tickets, validity, err}
}

func (c adviseCall) notMade() event { return adviseDone{adviseCall: c, err: errBacklogFull} }

func (e adviseDone) handle(p *planner) {
	if e.err != nil {
		p.s.log.Warn().Err(e.err).Str("job", e.order.Job).Msg("advice request failed; retrying")
	}
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) {
		plan.AdviseDone(now, e.order, e.tickets, e.validity, e.err == nil)
	})
}

// recordOrderTime records the time since start as the duration of an order.
func (s *Service) recordOrderTime(start time.Time) {
	s.meters.orderTime.RecordDuration(s.clock().Sub(start))
}
