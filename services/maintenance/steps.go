package maintenance

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// callInterval is the time between two calls for the same step. A call is
// repeated until the host list shows its effect, because another process may
// have undone it.
const callInterval = 5 * time.Second

// maxCallDelay is the longest time between the view that a call rests on and
// the call. A process that was paused for longer decides again, because the
// grant may have ended.
const maxCallDelay = time.Second

// lateDrainWindow is how long after a drain call this process checks that the
// grant still holds. It covers the time that a paused process needs to learn
// of changes.
const lateDrainWindow = 10 * time.Second

// call asks the duties maintenance.call for one operation of the platform.
type call struct {
	host  string
	step  budget.Step
	since time.Time
	// undo means that the call belongs to no grant and returns a host that
	// was drained too late.
	undo bool
	// viewedAt is when the view was taken that shows the grant, on this
	// process's clock.
	viewedAt time.Time
}

// callResult reports the end of a call to the duty maintenance.plan.
type callResult struct {
	call call
	err  error
	// dropped means that the call came too late and was not made.
	dropped bool
}

// stepProgress is what this process knows of one host in its present step.
type stepProgress struct {
	step        budget.Step
	since       time.Time
	firstSeenAt time.Time
	succeeded   bool
	inFlight    bool
	lastCallAt  time.Time
}

// recentDrain is a drain call that ended; the grant behind it may have ended
// before.
type recentDrain struct {
	endedAt time.Time
	// undoPostedAt is when the call that returns the host was last posted.
	undoPostedAt time.Time
}

// runCalls is the duty that makes calls to the platform. Its reports are dropped
// when the plan duty is behind; the call is then repeated.
func (s *Service) runCalls(ctx context.Context) {
	for {
		c, err := s.calls.Take(ctx)
		if err != nil {
			return
		}
		s.messages.Offer(message{callResult: s.makeCall(ctx, c)})
	}
}

// makeCall makes c unless it comes too late.
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

// postCalls posts the calls that the hosts of this entry host need. It
// rests on the view alone: a grant that is not committed causes no call.
func (p *planner) postCalls(view *services.View, members []string) {
	for host := range p.progress {
		if _, out := view.Ledger.Entries[host]; !out {
			delete(p.progress, host)
		}
	}
	now := p.service.clock()
	for host, o := range view.Ledger.Entries {
		at := p.progressOf(o, now)
		if !p.owns(host, members) || !needsCall(o) || !at.callDue(o, p.phases[host], now) {
			continue
		}
		if p.service.calls.Offer(call{host: host, step: o.Step, since: o.Since, viewedAt: p.viewedAt}) {
			at.inFlight = true
			at.lastCallAt = now
		}
	}
}

// progressOf returns the progress of o's step, started anew when the step has
// changed.
func (p *planner) progressOf(o budget.LedgerEntry, now time.Time) *stepProgress {
	at, ok := p.progress[o.Host]
	if !ok || at.step != o.Step || !at.since.Equal(o.Since) {
		at = &stepProgress{step: o.Step, since: o.Since, firstSeenAt: now}
		p.progress[o.Host] = at
	}
	return at
}

func needsCall(o budget.LedgerEntry) bool {
	switch o.Step {
	case budget.StepDraining, budget.StepReturning:
		return true
	default:
		return o.Cause == budget.CauseReboot
	}
}

// callDue reports whether the step's call has to be made now. A reboot that
// succeeded is not repeated.
func (a *stepProgress) callDue(o budget.LedgerEntry, phase fleet.HostPhase, now time.Time) bool {
	if a.inFlight && now.Sub(a.lastCallAt) < callInterval+callTimeout {
		return false
	}
	if !a.succeeded {
		return a.lastCallAt.IsZero() || now.Sub(a.lastCallAt) >= time.Second
	}
	if now.Sub(a.lastCallAt) < callInterval {
		return false
	}
	switch o.Step {
	case budget.StepDraining:
		return phase == fleet.PhaseLive
	case budget.StepReturning:
		return phase != fleet.PhaseLive
	}
	return false
}

// recordCallResult notes the end of a call.
func (p *planner) recordCallResult(c callResult) {
	now := p.service.clock()
	switch {
	case c.dropped:
	case c.call.step == budget.StepDraining:
		p.recentDrains[c.call.host] = &recentDrain{endedAt: now}
	case c.call.undo && c.err == nil:
		delete(p.recentDrains, c.call.host)
	}
	at, ok := p.progress[c.call.host]
	if !ok || at.step != c.call.step || !at.since.Equal(c.call.since) {
		return
	}
	at.inFlight = false
	at.succeeded = at.succeeded || !c.dropped && c.err == nil
}

// undoLateDrains returns hosts that this process drained after their grant had
// ended, as it can happen when the process is paused within the call. The
// return is repeated until it succeeds or the deadline of a step has passed.
func (p *planner) undoLateDrains(view *services.View) {
	now := p.service.clock()
	for host, late := range p.recentDrains {
		_, out := view.Ledger.Entries[host]
		switch {
		case late.undoPostedAt.IsZero() && now.Sub(late.endedAt) > lateDrainWindow, now.Sub(late.endedAt) > p.service.settings.StepTimes.Timeout:
			delete(p.recentDrains, host)
		case out && !late.undoPostedAt.IsZero():
			// A later grant makes its own calls.
			delete(p.recentDrains, host)
		case out || now.Sub(late.undoPostedAt) < callInterval:
		case p.service.calls.Offer(call{host: host, step: budget.StepReturning, undo: true, viewedAt: p.viewedAt}):
			late.undoPostedAt = now
		}
	}
}

// decideStep decides the next step of host from the ledger and what was seen of it.
func (p *planner) decideStep(d *budget.Draft, host string) {
	o, ok := d.LedgerEntry(host)
	if !ok {
		return
	}
	now := p.service.clock()
	at := p.progressOf(o, now)
	seen := budget.Observation{Phase: p.phases[host], TimeInStep: now.Sub(at.firstSeenAt), Confirmed: at.succeeded}
	action, why := budget.NextAction(o, seen, p.service.settings.StepTimes)
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
	p.service.log.Info().Str("step", stepPlan).Str("host", host).Str("hostStep", string(o.Step)).
		Str("cause", string(o.Cause)).Str("action", string(action)).Str("reason", why).Msg("host goes on")
}
