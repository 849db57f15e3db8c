package pools

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/calltime"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	responseTime = 10 * time.Millisecond
	// contactTime is the time after an outage within which the platform expects each
	// process to know all changes (contact-ms).
	contactTime = 3 * time.Second
)

// silentStore swallows the calls that it receives, or would answer, between silentFrom
// and silentUntil. At changedAt an executor starts to drain and a job is cancelled.
type silentStore struct {
	services.Records
	services.Registry
	silentFrom, silentUntil, changedAt time.Time
}

func (s *silentStore) isSilent() bool {
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentUntil)
}

func (s *silentStore) hasChanged() bool { return !time.Now().Before(s.changedAt) }

// answer waits until the answer is due, at the latest after wait, or until the call is
// given up.
func (s *silentStore) answer(wait time.Duration, due func() bool) error {
	sentAt, lost := time.Now(), s.isSilent()
	for time.Sleep(responseTime); !due() && time.Since(sentAt) < wait; time.Sleep(responseTime) {
	}
	if lost || s.isSilent() {
		time.Sleep(time.Until(sentAt.Add(wait + calltime.MaxTimeout)))
		return errors.New("no answer")
	}
	return nil
}

func (s *silentStore) ExecutorChanges(context.Context, int64) (services.RegistryChanges, error) {
	err := s.answer(0, func() bool { return true })
	x := services.RegisteredExecutor{Service: testPool, Executor: poolplan.Executor{ID: "1", Draining: s.hasChanged()}}
	return services.RegistryChanges{Version: 1, Executors: []services.RegisteredExecutor{x}}, err
}

func (s *silentStore) ListExecutors(ctx context.Context) (services.RegistryChanges, error) {
	return s.ExecutorChanges(ctx, 0)
}

func (s *silentStore) Changes(_ context.Context, _ string, after int64, wait time.Duration) (services.RecordChanges, error) {
	due := func() bool { return after < 2 && s.hasChanged() }
	if err := s.answer(wait, due); err != nil || !due() {
		return services.RecordChanges{Version: 1}, err
	}
	return services.RecordChanges{Version: 2, Records: []services.Record{{RecordKey: jobrecord.CancelKey(testPool, "a"), Version: 2, Value: []byte("{}")}}}, nil
}

// Guards against work that starts on an executor that drains, or for a job that was
// cancelled, because the owner learns of it too late after the store was silent: a call
// that was swallowed at any moment held up the next one.
func TestChangesAreKnownSoonAfterSilence(t *testing.T) {
	for _, length := range []time.Duration{150 * time.Millisecond, 900 * time.Millisecond, 4400 * time.Millisecond} {
		for phase := time.Duration(0); phase < 3*time.Second; phase += 70 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				silentFrom := now.Add(5*time.Second + phase)
				store := &silentStore{silentFrom: silentFrom, silentUntil: silentFrom.Add(length), changedAt: silentFrom.Add(length + 20*time.Millisecond)}
				s, owner, _ := newTestService(&now)
				s.clock, s.records, s.registry = time.Now, store, store
				s.events, s.recordCalls = ring.New[event]("events", 8, nil), ring.New[call]("records", 8, nil)
				ctx, cancel := context.WithCancel(t.Context())
				for range 4 {
					go s.runCalls(ctx, s.recordCalls)
				}
				p := newPlanner(s)
				p.catalog = catalog.New(1, nil, []catalog.Service{{Name: testPool}}, nil)
				m := &managedPool{name: testPool, ownership: owner.owned, loaded: true, follower: follow.New(follow.Single)}
				m.plan = poolplan.New(1, now, 0, poolplan.Params{})
				m.plan.SetCatalog(p.catalog)
				m.plan.AddJob(now, &workload.Spec{ID: "a", Steps: []workload.Step{{Count: 1}}}, workload.Progress{}, false)
				p.pools[testPool] = m
				bound := follow.Single.MaxGap(calltime.MaxTimeout) + maxStepWait
				assert.Assert(t, bound < contactTime)
				deadline := store.silentUntil.Add(bound)
				for time.Now().Before(deadline) {
					p.now = time.Now()
					p.readRegistry()
					p.followJobs(m)
					select {
					case e := <-s.events.C():
						e.handle(p)
					case <-time.After(maxStepWait):
					}
				}
				assert.Assert(t, p.registry.executors["1"].Draining, "silence of %v, phase %v: the executor is not known to drain", length, phase)
				cancelled := slices.ContainsFunc(m.plan.Events(), func(e poolplan.Event) bool { return e.Kind == "job cancelled" })
				assert.Assert(t, cancelled, "silence of %v, phase %v: the job is not known to be cancelled", length, phase)
				cancel()
				time.Sleep(2 * calltime.MaxTimeout)
			})
		}
	}
}
