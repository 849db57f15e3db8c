package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// ownershipRef identifies the ownership for which a call is made.
type ownershipRef struct {
	pool         string
	term         int
	fencingToken int64
}

// withPlan calls f with the pool's plan unless the ownership has ended.
func (r ownershipRef) withPlan(p *planner, f func(plan *poolplan.Plan, now time.Time)) {
	if m := p.managedPool(r.pool, r.term); m != nil && m.plan != nil {
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
	defer s.recordOrderTime(s.clock())
	return startDone{c, s.executors.Start(ctx, c.order, c.fencingToken)}
}

func (e startDone) handle(p *planner) {
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
	defer s.recordOrderTime(s.clock())
	return stopDone{c, s.executors.Stop(ctx, c.order, c.fencingToken)}
}

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
	return throttleDone{c, s.executors.Throttle(ctx, c.order, c.fencingToken)}
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
	return renewLeaseDone{c, s.executors.RenewLease(ctx, c.order, c.fencingToken)}
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
