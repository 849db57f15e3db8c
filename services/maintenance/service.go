// Package maintenance takes hosts out of service and back, within the
// availability budget, and runs maintenance waves.
//
// Every step is derived from the ledger in the shared state and is idempotent,
// so that any entry host may perform it. Entry hosts divide the work by
// rendezvous hash; it is safe for two of them to perform the same step.
package maintenance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	stepPlan = "maintenance.plan"
	stepCall = "maintenance.call"

	planRingCapacity = 64
	callRingCapacity = 64
	// callDuties is the number of concurrent calls to the platform. A call
	// that hangs must not delay the steps of other hosts.
	callDuties = 4
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
	// jitter is the largest fraction of an interval that is added at random,
	// so that entry hosts do not commit at the same time.
	jitter = 0.2
)

// Settings are the parameters of the service.
type Settings struct {
	// Interval is the time between rounds.
	Interval    time.Duration
	StepTimes   budget.StepTimes
	Parallelism wave.ParallelismParams
	// RetireAfter is the time after which a host that is missing from the host
	// list loses its pool and its entry in the ledger.
	RetireAfter time.Duration
	// DemandHalfLife is the half-life of the mean demand that limits waves.
	DemandHalfLife time.Duration
	Moves          MoveSettings
}

// MoveSettings are the parameters of the moves that follow demand.
type MoveSettings struct {
	wave.MoveParams
	// Interval is the minimum time between two plans.
	Interval time.Duration
	// HalfLife is the half-life of the mean demand that moves follow. At the
	// default a burst of 5 s at five times the mean changes it by a tenth.
	HalfLife time.Duration
	// Warmup is how long demand is observed before hosts move. After five
	// half-lives a burst in the first sample retains about a thirtieth of its
	// weight.
	Warmup time.Duration
}

// DefaultSettings returns settings that weigh all measures equally.
func DefaultSettings() Settings {
	weights := wave.Weights{Share: 1, Moves: 1, RollOut: 1, Buffer: 1}
	return Settings{
		Interval:  time.Second,
		StepTimes: budget.StepTimes{MinDrain: 10 * time.Second, MinReturn: 5 * time.Second, Timeout: 10 * time.Minute},
		Parallelism: wave.ParallelismParams{
			Weights: weights,
			Spare:   1, InitialMeanOut: time.Minute, ReferenceRollOut: 10 * time.Second, SlowFactor: 2,
		},
		RetireAfter:    30 * time.Minute,
		DemandHalfLife: time.Minute,
		Moves: MoveSettings{
			MoveParams: wave.MoveParams{Weights: weights, Hysteresis: 1, MoveCost: 0.5, MaxMoves: 1, MaxUnderWay: 2},
			Interval:   30 * time.Second, HalfLife: 2 * time.Minute, Warmup: 10 * time.Minute,
		},
	}
}

// Service implements services.Maintenance. Its methods may be used concurrently.
type Service struct {
	clock      services.Clock
	settings   Settings
	log        zerolog.Logger
	scope      tally.Scope
	state      services.State
	hosts      services.Hosts
	platform   services.HostOperations
	membership services.Membership
	peers      services.Peers
	dispatch   services.Dispatcher
	messages   *ring.Ring[message]
	calls      *ring.Ring[call]
}

var _ services.Maintenance = (*Service)(nil)

// New returns the service. clock must have a monotonic reading.
func New(clock services.Clock, settings Settings) *Service {
	return &Service{clock: clock, settings: settings}
}

// Provision looks up the services that the duties use and registers the duties.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.hosts, err = kernel.Lookup[services.Hosts](c, services.NameHosts); err != nil {
		return err
	}
	if s.platform, err = kernel.Lookup[services.HostOperations](c, services.NamePlatform); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[services.Peers](c, services.NamePeers); err != nil {
		return err
	}
	if s.dispatch, err = kernel.Lookup[services.Dispatcher](c, services.NameDispatch); err != nil {
		return err
	}
	s.log = c.Log
	s.scope = c.Scope
	s.messages = ring.New[message](stepPlan, planRingCapacity, c.Scope)
	s.calls = ring.New[call](stepCall, callRingCapacity, c.Scope)
	c.AddDuty(stepPlan, s.runPlanner)
	for range callDuties {
		c.AddDuty(stepCall, s.runCalls)
	}
	return nil
}

// runPlanner is the duty that serves operators' requests and runs the rounds.
// All changes of this service are submitted by it.
func (s *Service) runPlanner(ctx context.Context) {
	p := newPlanner(s)
	timer := time.NewTimer(s.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.refuseWaiting()
			return
		case m := <-s.messages.C():
			p.receive(ctx, m)
		case <-timer.C:
			p.round(ctx)
			timer.Reset(s.interval())
		}
	}
}

// refuseWaiting refuses the requests that are still waiting when the duty ends.
func (s *Service) refuseWaiting() {
	for {
		select {
		case m := <-s.messages.C():
			if m.request == nil {
				continue
			}
			s.countRefusal(fault.ReasonDraining)
			m.request.reply.Offer(requestResult{err: fault.New(&fault.NotRun, fault.ReasonDraining, stepPlan, "", "this entry host is shutting down; request %s had no effect", m.request.changeID)})
		default:
			return
		}
	}
}

func (s *Service) interval() time.Duration {
	d := s.settings.Interval
	return d + time.Duration(rand.Float64()*jitter*float64(d))
}

// Drain takes host out of service for a reboot, or until it is returned.
func (s *Service) Drain(ctx context.Context, changeID, host string, cause budget.Cause) (budget.LedgerEntry, error) {
	if cause != budget.CauseDrain && cause != budget.CauseReboot {
		return budget.LedgerEntry{}, fault.New(&fault.Invalid, fault.ReasonMalformed, stepPlan, "", "cause %q is not a drain or a reboot", cause)
	}
	result := s.submit(ctx, &request{operation: operationGrant, changeID: changeID, host: host, cause: cause})
	return result.entry, result.err
}

// Return brings host back into service.
func (s *Service) Return(ctx context.Context, changeID, host string) error {
	return s.submit(ctx, &request{operation: operationReturn, changeID: changeID, host: host}).err
}

// Move drains host and assigns it to toPool when it returns.
func (s *Service) Move(ctx context.Context, changeID, host, toPool string) (budget.LedgerEntry, error) {
	result := s.submit(ctx, &request{operation: operationGrant, changeID: changeID, host: host, cause: budget.CauseMove, toPool: toPool})
	return result.entry, result.err
}

// StartWave records a wave over the hosts that are in w.Pool now; any entry host
// runs it in its rounds. Because of w.ID a repeated request has no further
// effect.
func (s *Service) StartWave(ctx context.Context, w budget.Wave) (budget.Wave, error) {
	result := s.submit(ctx, &request{operation: operationStartWave, changeID: "wave/" + w.ID, wave: w})
	return result.wave, result.err
}

// StopWave stops the wave id. Its hosts that are out complete their steps and
// return.
func (s *Service) StopWave(ctx context.Context, changeID, id, reason string) error {
	w := budget.Wave{ID: id, StopReason: reason}
	return s.submit(ctx, &request{operation: operationStopWave, changeID: changeID, wave: w}).err
}

// submit passes r to the duty maintenance.plan and waits for the result. If ctx
// ends first, the outcome is unknown and the request may be repeated with the
// same identifier.
func (s *Service) submit(ctx context.Context, r *request) requestResult {
	if r.changeID == "" || r.changeID == "wave/" {
		return requestResult{err: fault.New(&fault.Invalid, fault.ReasonMalformed, stepPlan, "", "the request has no change identifier")}
	}
	r.ctx = ctx
	r.reply = ring.Reply[requestResult]()
	if !s.messages.Offer(message{request: r}) {
		s.countRefusal(fault.ReasonRingFull)
		return requestResult{err: fault.New(&fault.NotRun, fault.ReasonRingFull, stepPlan, "", "%d messages are already waiting; request %s not accepted", planRingCapacity, r.changeID)}
	}
	result, err := r.reply.Take(ctx)
	if err != nil {
		return requestResult{err: fault.New(&fault.Unknown, fault.ReasonDeadline, stepPlan, "", "no answer to request %s in time: %w", r.changeID, err)}
	}
	return result
}

func (s *Service) countRefusal(reason fault.Reason) { s.count("refused_total", stepPlan, reason) }

func (s *Service) countRetry(step string, reason fault.Reason) {
	s.count("retried_total", step, reason)
}

func (s *Service) count(counter, step string, reason fault.Reason) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(reason)}).Counter(counter).Inc(1)
}
