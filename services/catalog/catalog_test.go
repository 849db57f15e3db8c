package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/calltime"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// giveUpAfter is how long a call without an answer takes to fail, beyond its wait.
	giveUpAfter  = calltime.MaxTimeout
	responseTime = 10 * time.Millisecond
	// contactTime is the time after an outage within which the platform expects each
	// process to know all changes (contact-ms).
	contactTime = 3 * time.Second
)

// silentStore is a store that does not answer what it receives, or would answer,
// between silentFrom and silentUntil. Its second version is confirmed at changedAt.
type silentStore struct{ silentFrom, silentUntil, changedAt time.Time }

func (s *silentStore) ResponseTime() time.Duration   { return responseTime }
func (s *silentStore) UnreachableFor() time.Duration { return 0 }
func (s *silentStore) isSilent() bool {
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentUntil)
}

func (s *silentStore) ReadOperatorState(ctx context.Context) (services.OperatorState, error) {
	return s.AwaitOperatorChange(ctx, 0, 0)
}

func (s *silentStore) AwaitOperatorChange(ctx context.Context, after int64, wait time.Duration) (services.OperatorState, error) {
	sentAt := time.Now()
	lost := s.isSilent()
	version := int64(1)
	for deadline := sentAt.Add(wait); ; time.Sleep(responseTime) {
		if !time.Now().Before(s.changedAt) {
			version = 2
		}
		if version > after || !time.Now().Before(deadline) {
			break
		}
	}
	if lost || s.isSilent() {
		time.Sleep(time.Until(sentAt.Add(wait + giveUpAfter)))
		return services.OperatorState{}, errors.New("no answer")
	}
	time.Sleep(responseTime)
	state := services.OperatorState{Version: version}
	if version > after {
		state.Catalog = catalog.New(version, nil, nil, nil)
	}
	return state, nil
}

func (s *silentStore) ReportWave(context.Context, int, bool) error { return nil }

// startService starts the duties of a service, which end with the test.
func startService(t *testing.T, operator services.OperatorStore, health services.StoreHealth) *Service {
	s := New(time.Now)
	s.log, s.scope, s.operator, s.storeHealth = zerolog.Nop(), tally.NoopScope, operator, health
	s.ageGauge, s.evacuationChanges = s.scope.Gauge("age"), s.scope.Counter("evacuations")
	s.calls = ring.New[readCall]("calls", callsRingCapacity, s.scope)
	s.outcomes = ring.New[readDone]("outcomes", outcomesRingCapacity, s.scope)
	ctx, cancel := context.WithCancel(t.Context())
	go s.follow(ctx)
	for range policy.MaxOpen {
		go s.runCalls(ctx)
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * giveUpAfter)
	})
	return s
}

// Guards against a configuration that is in force later than it must be after the store
// was silent: a call that was swallowed at any moment held up the next one for 3.25 s.
func TestConfigurationAfterSilence(t *testing.T) {
	for _, length := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 4400 * time.Millisecond} {
		for phase := time.Duration(0); phase < 4*time.Second; phase += 70 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now().Add(5*time.Second + phase)
				store := &silentStore{silentFrom: start, silentUntil: start.Add(length), changedAt: start.Add(length + 100*time.Millisecond)}
				s := startService(t, store, store)
				bound := policy.MaxGap(giveUpAfter) + 3*responseTime
				assert.Assert(t, bound < contactTime)
				time.Sleep(time.Until(store.silentUntil.Add(bound)))
				synctest.Wait()
				assert.Equal(t, s.Catalog().Version, int64(2), "silence of %v, phase %v", length, phase)
			})
		}
	}
}

// refusingStore refuses calls for a while and records which calls it gets afterwards.
type refusingStore struct {
	silentStore
	refuseFrom, refuseUntil time.Time
	firstAfter              string
}

func (s *refusingStore) call(name string, run func() (services.OperatorState, error)) (services.OperatorState, error) {
	now := time.Now()
	if !now.Before(s.refuseFrom) && now.Before(s.refuseUntil) {
		return services.OperatorState{}, errors.New("busy")
	}
	if !now.Before(s.refuseUntil) && s.firstAfter == "" {
		s.firstAfter = name
	}
	return run()
}

func (s *refusingStore) ReadOperatorState(ctx context.Context) (services.OperatorState, error) {
	return s.call("state", func() (services.OperatorState, error) { return s.silentStore.ReadOperatorState(ctx) })
}

func (s *refusingStore) AwaitOperatorChange(ctx context.Context, after int64, wait time.Duration) (services.OperatorState, error) {
	return s.call("changes", func() (services.OperatorState, error) { return s.silentStore.AwaitOperatorChange(ctx, after, wait) })
}

// Guards against a host on a slow link that knows of a version only seconds after the
// store serves it again: it requested all versions since, 64 KB each, by several calls
// that all timed out.
func TestStateIsReadWholeAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := &refusingStore{refuseFrom: start.Add(5 * time.Second), refuseUntil: start.Add(13 * time.Second)}
		store.changedAt = start.Add(10 * time.Second)
		s := startService(t, store, store)
		time.Sleep(time.Until(store.refuseUntil.Add(policy.MaxGap(giveUpAfter))))
		synctest.Wait()
		assert.Equal(t, store.firstAfter, "state")
		assert.Equal(t, s.Catalog().Version, int64(2))
	})
}
