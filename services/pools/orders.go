package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// tenureRef names the tenure for which a call is made.
type tenureRef struct {
	pool  string
	term  int
	fence int64
}

// withPlan calls f with the plan while the tenure lasts.
func (r tenureRef) withPlan(p *planner, f func(plan *poolplan.Plan, now time.Time)) {
	if m := p.managedPool(r.pool, r.term); m != nil && m.plan != nil {
		p.now = p.s.clock()
		f(m.plan, p.now)
	}
}

type startCall struct {
	tenureRef
	order poolplan.Start
}

type startDone struct {
	startCall
	outcome poolplan.Outcome
}

func (c startCall) run(ctx context.Context, s *Service) event {
	defer s.recordOrderTime(s.clock())
	return startDone{c, s.executors.Start(ctx, c.order, c.fence)}
}

func (e startDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.StartDone(now, e.order, e.outcome) })
}

type stopCall struct {
	tenureRef
	order poolplan.Stop
}

type stopDone struct {
	stopCall
	outcome poolplan.Outcome
}

func (c stopCall) run(ctx context.Context, s *Service) event {
	defer s.recordOrderTime(s.clock())
	return stopDone{c, s.executors.Stop(ctx, c.order, c.fence)}
}

func (e stopDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.StopDone(now, e.order, e.outcome) })
}

type paceCall struct {
	tenureRef
	order poolplan.Pace
}

type paceDone struct {
	paceCall
	outcome poolplan.Outcome
}

func (c paceCall) run(ctx context.Context, s *Service) event {
	return paceDone{c, s.executors.Pace(ctx, c.order, c.fence)}
}

func (e paceDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.PaceDone(now, e.order, e.outcome) })
}

type holdCall struct {
	tenureRef
	order poolplan.Hold
}

type holdDone struct {
	holdCall
	report poolplan.Report
}

func (c holdCall) run(ctx context.Context, s *Service) event {
	return holdDone{c, s.executors.Hold(ctx, c.order, c.fence)}
}

func (e holdDone) handle(p *planner) {
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) { plan.HoldDone(now, e.order, e.report) })
}

type adviseCall struct {
	tenureRef
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
		p.s.log.Warn().Err(e.err).Str("job", e.order.Job).Msg("no advice")
	}
	e.withPlan(p, func(plan *poolplan.Plan, now time.Time) {
		plan.AdviseDone(now, e.order, e.tickets, e.validity, e.err == nil)
	})
}

// recordOrderTime records how long an order took since start.
func (s *Service) recordOrderTime(start time.Time) {
	s.meters.orderTime.RecordDuration(s.clock().Sub(start))
}
