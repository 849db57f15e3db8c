// Package catalog is the service that follows the operator's configuration, waves and
// evacuations. The duty catalog.follow owns the state; the duties catalog.calls read it
// from the store for it, several at once when answers are overdue. Readers get the
// latest version, which never decreases.
package catalog

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// policy is that of the calls to the store: the configuration is one record.
var policy = follow.Hedged

var (
	callsRingCapacity    = policy.MaxOpen
	outcomesRingCapacity = 2 * policy.MaxOpen
)

// Service implements services.Catalogs.
type Service struct {
	log         zerolog.Logger
	operator    services.OperatorStore
	storeHealth services.StoreHealth
	clock       services.Clock
	calls       *ring.Ring[readCall]
	outcomes    *ring.Ring[readDone]
	view        atomic.Pointer[view]
	changeRings []*ring.Ring[struct{}]
	ageGauge    tally.Gauge
	// evacuationChanges counts the evacuations that began or were taken back.
	evacuationChanges tally.Counter
	scope             tally.Scope
	// followRuns counts the starts of catalog.follow, which owns it.
	followRuns int64
}

// view is the state that readers see. It is not modified once published.
type view struct {
	catalog *catalog.Catalog
	waves   map[int]services.MaintenanceWave
	// evacuations has the zones to evacuate.
	evacuations evacuation.Set
	readAt      time.Time
	// currentAsOf is when the newest of the calls that were answered was sent.
	currentAsOf time.Time
}

// New returns the service.
func New(clock services.Clock) *Service {
	s := &Service{clock: clock}
	s.view.Store(&view{waves: map[int]services.MaintenanceWave{}})
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log, s.scope = c.Log, c.Scope
	s.ageGauge = c.Scope.Gauge("catalog_age_seconds")
	s.evacuationChanges = c.Scope.Counter("evacuation_changes_total")
	var err error
	if s.operator, err = kernel.Lookup[services.OperatorStore](c, services.NamePlatform); err != nil {
		return err
	}
	if s.storeHealth, err = kernel.Lookup[services.StoreHealth](c, services.NamePlatform); err != nil {
		return err
	}
	s.calls = ring.New[readCall]("catalog.calls", callsRingCapacity, c.Scope)
	s.outcomes = ring.New[readDone]("catalog.outcomes", outcomesRingCapacity, c.Scope)
	c.AddRestartableDuty("catalog.follow", s.follow)
	for range policy.MaxOpen {
		c.AddRestartableDuty("catalog.calls", s.runCalls)
	}
	return nil
}

// Catalog implements services.Catalogs.
func (s *Service) Catalog() *catalog.Catalog { return s.view.Load().catalog }

// Waves implements services.Catalogs.
func (s *Service) Waves() []services.MaintenanceWave {
	v := s.view.Load()
	waves := make([]services.MaintenanceWave, 0, len(v.waves))
	for _, n := range slices.Sorted(maps.Keys(v.waves)) {
		waves = append(waves, v.waves[n])
	}
	return waves
}

// Evacuations implements services.Catalogs.
func (s *Service) Evacuations() evacuation.Set { return s.view.Load().evacuations }

// CurrentAsOf implements services.Catalogs.
func (s *Service) CurrentAsOf() time.Time { return s.view.Load().currentAsOf }

// WatchChanges implements services.Catalogs.
func (s *Service) WatchChanges(name string) services.ChangedRing {
	r := ring.New[struct{}](name, 1, s.scope)
	s.changeRings = append(s.changeRings, r)
	return r
}

// readCall reads the changes after a version, or the whole state if it is zero.
type readCall struct {
	follow.Call
	run    int64
	after  int64
	sentAt time.Time
}

type readDone struct {
	readCall
	state services.OperatorState
	err   error
}

// runCalls is a duty that reads the state from the store. A call that panics has the
// outcome of one that failed.
func (s *Service) runCalls(ctx context.Context) {
	for {
		c, err := s.calls.Take(ctx)
		if err != nil {
			return
		}
		s.runCall(ctx, c)
	}
}

func (s *Service) runCall(ctx context.Context, c readCall) {
	done := readDone{readCall: c, err: errPanicked}
	defer func() {
		if err := s.outcomes.Put(ctx, done); err != nil {
			s.log.Debug().Err(err).Msg("outcome of a read dropped: the process stops")
		}
	}()
	done.state, done.err = s.read(ctx, c)
}

var errPanicked = fault.New(&fault.Unknown, fault.ReasonWrongReply, "read configuration", "", "the call panicked")

func (s *Service) read(ctx context.Context, c readCall) (services.OperatorState, error) {
	if c.after == 0 {
		return s.operator.ReadOperatorState(ctx)
	}
	return s.operator.AwaitOperatorChange(ctx, c.after, c.Wait)
}

// follow reads the whole state once, then its changes.
func (s *Service) follow(ctx context.Context) {
	s.followRuns++
	f := follower{s: s, run: s.followRuns, schedule: follow.New(policy)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-s.outcomes.C():
			f.handle(done)
		case <-timer.C:
		}
		timer.Reset(f.sendCall())
	}
}

// follower is the state of one run of the duty catalog.follow.
type follower struct {
	s *Service
	// run tells the outcomes of this run's calls from those of a run that panicked.
	run      int64
	schedule *follow.Follower
	// version is where the next call resumes; zero if all must be read.
	version int64
}

// sendCall sends the next call if it is time, and returns the time until it may be time
// for another.
func (f *follower) sendCall() time.Duration {
	now := f.s.clock()
	call, ok, again := f.schedule.Next(now, f.s.storeHealth.ResponseTime())
	if !ok {
		return again.Sub(now)
	}
	after := f.version
	if call.Doubtful {
		// The changes since that version may be dozens of configurations, while the
		// whole state has one.
		after = 0
	}
	if !f.s.calls.Offer(readCall{call, f.run, after, now}) {
		f.schedule.Done(now, call.Number, false)
	}
	return again.Sub(now)
}

func (f *follower) handle(done readDone) {
	if done.run != f.run {
		return
	}
	now := f.s.clock()
	// A store without any record answers at once, and is asked again like one that has
	// failed.
	empty := done.err == nil && done.after == 0 && done.state.Version == 0
	f.schedule.Done(now, done.Number, done.err == nil && !empty)
	switch {
	case done.err != nil:
		f.s.ageGauge.Update(now.Sub(f.s.view.Load().readAt).Seconds())
	case !done.state.VersionExpired:
		f.version = max(f.version, done.state.Version)
		f.s.apply(done.state, done.sentAt)
	case done.after == f.version:
		f.s.log.Info().Int64("version", f.version).Msg("store no longer has the changes since this version; reading all")
		f.version = 0
	}
}

// apply publishes the view after the answer to a call that was sent at sentAt.
func (s *Service) apply(state services.OperatorState, sentAt time.Time) {
	old := s.view.Load()
	next := &view{catalog: old.catalog, waves: old.waves, readAt: s.clock(), currentAsOf: old.currentAsOf}
	if sentAt.After(next.currentAsOf) {
		next.currentAsOf = sentAt
	}
	changed := false
	if c := state.Catalog; c != nil && (old.catalog == nil || c.Version > old.catalog.Version) {
		next.catalog, changed = c, true
		s.log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Int("tenants", len(c.Tenants)).Msg("configuration in force")
	}
	if len(state.Waves) > 0 {
		next.waves = maps.Clone(old.waves)
		for _, w := range state.Waves {
			if old.waves[w.Number].Version >= w.Version {
				continue
			}
			next.waves[w.Number], changed = w, true
			s.log.Info().Int("wave", w.Number).Int("machines", len(w.Machines)).Int("max_down", w.MaxDown).Dur("duration", w.Duration).Msg("wave requested by the operator")
		}
	}
	next.evacuations = mergeEvacuations(old.evacuations, state)
	for _, r := range old.evacuations.ChangesTo(next.evacuations) {
		changed = true
		s.evacuationChanges.Inc(1)
		s.log.Info().Str("zone", r.Zone).Int64("version", r.Version).Bool("taken_back", r.TakenBack).Msg("evacuation of a zone changed by the operator")
	}
	s.view.Store(next)
	s.ageGauge.Update(0)
	if !changed {
		return
	}
	for _, r := range s.changeRings {
		r.OfferLatest(struct{}{})
	}
}

// mergeEvacuations returns the evacuations after an answer of the store.
func mergeEvacuations(known evacuation.Set, state services.OperatorState) evacuation.Set {
	if state.Complete {
		return known.WithComplete(state.Version, state.Evacuations)
	}
	return known.WithChanges(state.Evacuations)
}
