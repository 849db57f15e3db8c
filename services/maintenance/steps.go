package maintenance

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// callInterval is the time between two calls for the same step once one has
// succeeded. A call is repeated until the host list shows its effect, because
// another process may have undone it.
const callInterval = 5 * time.Second

// maxCallDelay is the maximum age, at the time of a call, of the view that the
// call is based on. A process that was paused for longer decides again, because
// the grant may have ended.
const maxCallDelay = time.Second

// lateDrainWindow is how long after a drain call this process checks that the
// grant is still in the ledger. It covers the time that a process needs after a
// pause to learn of changes.
const lateDrainWindow = 10 * time.Second

// call is a request to the duties maintenance.call for one platform operation.
type call struct {
	host  string
	step  budget.Step
	since time.Time
	// undo is set when the call belongs to no grant and returns a host that
	// was drained after its grant had ended.
	undo bool
	// viewedAt is when the view that shows the grant was taken, on this
	// process's clock.
	viewedAt time.Time
}

// callResult reports the result of a call to the duty maintenance.plan.
type callResult struct {
	call call
	err  error
	// dropped is set when the call was not made because its view was too old.
	dropped bool
}

// stepProgress is what this process knows of one host in its current step.
type stepProgress struct {
	step        budget.Step
	since       time.Time
	firstSeenAt time.Time
	succeeded   bool
	inFlight    bool
	lastCallAt  time.Time
}

// recentDrain is a drain call that has ended. Its grant may have ended before
// the call took effect.
type recentDrain struct {
	endedAt time.Time
	// undoPostedAt is when a call that returns the host was last posted; zero
	// if never.
	undoPostedAt time.Time
}

// runCalls is the duty that makes calls to the platform. A result is dropped
// when the ring of the duty maintenance.plan is full; the call is then repeated.
func (s *Service) runCalls(ctx context.Context) {
	for {
		c, err := s.calls.Take(ctx)
		if err != nil {
			return
		}
		s.messages.Offer(message{callResult: s.makeCall(ctx, c)})
	}
}

// makeCall makes c unless its view is too old.
func (s *Service) makeCall(ctx context.Context, c call) *callResult {
	if s.clock().Sub(c.viewedAt) > maxCallDelay {
		s.countRetry(stepCall, fault.ReasonPaused)
		return &callResult{call: c, dropped: true}
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.operate(callCtx, c)
	if err != nil {
		s.countRetry(stepCall, fault.ReasonOf(err))
		s.log.Warn().Err(err).Str("step", stepCall).Str("host", c.host).Str("hostStep", string(c.step)).Msg("platform call failed")
	}
	return &callResult{call: c, err: err}
}

func (s *Service) operate(ctx context.Context, c call) error {
	switch c.step {
	case budget.StepDraining:
		return s.platform.DrainHost(ctx, c.host)
	case budget.StepMaintenance:
		return s.platform.RebootHost(ctx, c.host)
	default:
		return s.platform.ReturnHost(ctx, c.host)
	}
}

// postCalls posts the calls for the hosts that this entry host owns. It uses the
// committed view only: a grant that is not committed causes no call.
func (p *planner) postCalls(view *services.View, members []string) {
	for host := range p.progress {
		if _, out := view.Ledger.Entries[host]; !out {
			delete(p.progress, host)
		}
	}
	now := p.service.clock()
	for host, e := range view.Ledger.Entries {
		progress := p.progressOf(e, now)
		if !p.owns(host, members) || !needsCall(e) || !progress.callDue(e, p.phases[host], now) {
			continue
		}
		if p.service.calls.Offer(call{host: host, step: e.Step, since: e.Since, viewedAt: p.viewedAt}) {
			progress.inFlight = true
			progress.lastCallAt = now
		}
	}
}

// progressOf returns the progress of e's step; it is reset when the step has
// changed.
func (p *planner) progressOf(e budget.LedgerEntry, now time.Time) *stepProgress {
	progress, ok := p.progress[e.Host]
	if !ok || progress.step != e.Step || !progress.since.Equal(e.Since) {
		progress = &stepProgress{step: e.Step, since: e.Since, firstSeenAt: now}
		p.progress[e.Host] = progress
	}
	return progress
}

func needsCall(e budget.LedgerEntry) bool {
	switch e.Step {
	case budget.StepDraining, budget.StepReturning:
		return true
	default:
		return e.Cause == budget.CauseReboot
	}
}

// callDue reports whether the step's call has to be made now. A reboot that
// succeeded is not repeated.
func (p *stepProgress) callDue(e budget.LedgerEntry, phase fleet.HostPhase, now time.Time) bool {
	if p.inFlight && now.Sub(p.lastCallAt) < callInterval+callTimeout {
		return false
	}
	if !p.succeeded {
		return p.lastCallAt.IsZero() || now.Sub(p.lastCallAt) >= time.Second
	}
	if now.Sub(p.lastCallAt) < callInterval {
		return false
	}
	switch e.Step {
	case budget.StepDraining:
		return phase == fleet.PhaseLive
	case budget.StepReturning:
		return phase != fleet.PhaseLive
	}
	return false
}

// recordCallResult records the result of a call.
func (p *planner) recordCallResult(r callResult) {
	now := p.service.clock()
	switch {
	case r.dropped:
	case r.call.step == budget.StepDraining:
		p.recentDrains[r.call.host] = &recentDrain{endedAt: now}
	case r.call.undo && r.err == nil:
		delete(p.recentDrains, r.call.host)
	}
	progress, ok := p.progress[r.call.host]
	if !ok || progress.step != r.call.step || !progress.since.Equal(r.call.since) {
		return
	}
	progress.inFlight = false
	progress.succeeded = progress.succeeded || !r.dropped && r.err == nil
}

// undoLateDrains returns hosts that this process drained after their grant had
// ended, which can happen if the process is paused during the call. The return
// is repeated until it succeeds or the timeout of a step has passed.
func (p *planner) undoLateDrains(view *services.View) {
	now := p.service.clock()
	for host, drain := range p.recentDrains {
		_, out := view.Ledger.Entries[host]
		switch {
		case drain.undoPostedAt.IsZero() && now.Sub(drain.endedAt) > lateDrainWindow, now.Sub(drain.endedAt) > p.service.settings.StepTimes.Timeout:
			delete(p.recentDrains, host)
		case out && !drain.undoPostedAt.IsZero():
			// A later grant covers the host and makes its own calls.
			delete(p.recentDrains, host)
		case out || now.Sub(drain.undoPostedAt) < callInterval:
		case p.service.calls.Offer(call{host: host, step: budget.StepReturning, undo: true, viewedAt: p.viewedAt}):
			drain.undoPostedAt = now
		}
	}
}

// decideStep decides the next step of host from the ledger and what this process
// observed of the host.
func (p *planner) decideStep(d *budget.Draft, host string) {
	e, ok := d.LedgerEntry(host)
	if !ok {
		return
	}
	now := p.service.clock()
	progress := p.progressOf(e, now)
	observed := budget.Observation{Phase: p.phases[host], TimeInStep: now.Sub(progress.firstSeenAt), Confirmed: progress.succeeded}
	action, reason := budget.NextAction(e, observed, p.service.settings.StepTimes)
	switch action {
	case budget.ActionAdvance:
		d.Advance(host)
	case budget.ActionFinish:
		d.Finish(host)
	case budget.ActionFail:
		d.Fail(host)
		p.service.countRefusal(fault.ReasonDeadline)
	default:
		return
	}
	p.service.log.Info().Str("step", stepPlan).Str("host", host).Str("hostStep", string(e.Step)).
		Str("cause", string(e.Cause)).Str("action", string(action)).Str("reason", reason).Msg("step of host decided")
}
