package jobintake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const testID = "00000000000000aa"

var (
	testQueue   = &catalog.Queue{Name: "queue", Service: "pool", Terms: catalog.Terms{SlackFactor: 1.6, LatencyTarget: 600 * time.Millisecond}}
	errNoAnswer = fault.New(&fault.Unknown, fault.ReasonPlatformDown, "commit", "", "no answer")
	errDown     = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "commit", "", "down")
)

// memoryStore executes transactions. The next ones can be delayed, lose their answers or
// be refused.
type memoryStore struct {
	services.Records
	mu      sync.Mutex
	rows    map[services.RecordKey]services.Record
	version int64
	calls   int
	// delay keeps the next transactions, without an answer, until applyDelayed.
	delay   int
	delayed []services.RecordTx
	// loseAnswers executes the next transactions and loses their answers.
	loseAnswers int
	down        bool
	// downFrom is the number of the call from which the store is down; zero if it is not.
	downFrom int
	last     services.RecordTx
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[services.RecordKey]services.Record)}
}

func (m *memoryStore) Commit(_ context.Context, tx services.RecordTx) (services.RecordCommit, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.down || m.downFrom > 0 && m.calls >= m.downFrom:
		return services.RecordCommit{}, errDown
	case m.delay > 0:
		m.delay--
		m.delayed = append(m.delayed, tx)
		return services.RecordCommit{}, errNoAnswer
	}
	commit := m.execute(tx)
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return services.RecordCommit{}, errNoAnswer
	}
	return commit, nil
}

func (m *memoryStore) execute(tx services.RecordTx) services.RecordCommit {
	m.last = tx
	holds := true
	var current []services.Record
	for _, c := range tx.Conditions {
		holds = holds && m.rows[c.RecordKey].Version == c.Version
		if r, ok := m.rows[c.RecordKey]; ok {
			current = append(current, r)
		}
	}
	if !holds {
		return services.RecordCommit{Current: current}
	}
	m.version++
	for _, w := range tx.Writes {
		delete(m.rows, w.RecordKey)
		if !w.Delete {
			m.rows[w.RecordKey] = services.Record{RecordKey: w.RecordKey, Value: w.Value, Version: m.version}
		}
	}
	return services.RecordCommit{Committed: true, Version: m.version}
}

// applyOne executes one of the delayed transactions.
func (m *memoryStore) applyOne(n int) {
	if len(m.delayed) > 0 {
		n %= len(m.delayed)
		m.execute(m.delayed[n])
		m.delayed = slices.Delete(m.delayed, n, n+1)
	}
}

func (m *memoryStore) applyDelayed() {
	for _, tx := range m.delayed {
		m.execute(tx)
	}
	m.delayed = nil
}

// expectedEnd returns the estimate that is recorded with the job.
func (m *memoryStore) expectedEnd(t *testing.T) time.Duration {
	spec, err := jobrecord.DecodeSpec(testID, m.rows[jobrecord.JobKey("pool", testID)].Value)
	assert.NilError(t, err)
	return spec.ExpectedEnd
}

func (m *memoryStore) has(key services.RecordKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key].Version > 0
}

// fixedSummary is what a host has observed of the pool.
type fixedSummary struct {
	services.PoolSummaries
	observed services.ObservedSummary
}

func (f *fixedSummary) ObservedSummary(string) services.ObservedSummary { return f.observed }

type noMetrics struct{ services.Metrics }

func (noMetrics) CountRefusal(string, fault.Reason) {}
func (noMetrics) CountRetry(string, fault.Reason)   {}

// newHost returns a host on a store, for which the pool is overloaded or not.
func newHost(m *memoryStore, overloaded bool) *Service {
	s := New(Settings{EarlyRefusal: true}, time.Now)
	s.log, s.records, s.metrics, s.catalogs, s.ownership = zerolog.Nop(), m, noMetrics{}, fixedCatalogs{}, observedOwner{}
	s.submitLatency = tally.NoopScope.Histogram("latency", nil)
	summary := &waitestimate.Summary{UsedMilliCPU: 1000}
	if overloaded {
		summary.Preferred = waitestimate.Work{0: {CoreMs: 60_000, Tasks: 60}}
	}
	s.makeEarlyRefusal(tally.NoopScope)
	s.early.summaries = &fixedSummary{observed: services.ObservedSummary{Summary: summary}}
	return s
}

func submit(t *testing.T, s *Service) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	step := workload.Step{Count: 1, Size: fleet.Resources{MilliCPU: 1000}, Estimate: time.Second}
	spec := &workload.Spec{ID: testID, Tenant: "tenant", Queue: testQueue.Origin(), Steps: []workload.Step{step}, AcceptedAt: time.Now()}
	return s.Submit(ctx, testQueue, spec)
}

func assertRefusedEarly(t *testing.T, err error) {
	t.Helper()
	var later *services.RetryLaterError
	assert.Assert(t, errors.As(err, &later), "%v", err)
	assert.Assert(t, fault.IsNotRun(err) && later.After >= waitestimate.MinRetryAfter)
}

var (
	idKey      = jobrecord.IDKey(testID)
	refusedKey = jobrecord.RefusedKey(testID)
)

// Guards against a job that runs after a 503: an earlier submission without an answer is
// carried out after the refusal, whether it expected no refusal or an earlier one.
func TestDelayedSubmissionAfterRefusal(t *testing.T) {
	for _, refusedBefore := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			full, idle := newHost(m, true), newHost(m, false)
			if refusedBefore {
				assertRefusedEarly(t, submit(t, full))
			}
			row := &refusedRow{key: refusedKey, version: m.rows[refusedKey].Version}
			tx, err := idle.transaction(testQueue, &workload.Spec{ID: testID, Steps: []workload.Step{{Count: 1}}}, row, false)
			assert.NilError(t, err)
			m.delayed = append(m.delayed, tx)
			assertRefusedEarly(t, submit(t, full))
			m.applyDelayed()
			assert.Assert(t, !m.has(idKey), "a submission took effect after the refusal")
		})
	}
}

// Guards against a 503 that does not hold: calls under one identifier at hosts that refuse
// and hosts that accept, with transactions that are lost, carried out without an answer,
// or carried out later in any order.
func TestRefusalHoldsUntilNextCall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 7), 2, 12).Draw(rt, "calls")
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			for _, draw := range draws {
				// No transaction of a call is answered, the first one is not, or all are.
				m.delay, m.loseAnswers = []int{1000, 1, 0, 0}[draw%4], []int{0, 0, 1, 0}[draw%4]
				err := submit(t, newHost(m, draw >= 4))
				m.delay, m.loseAnswers = 0, 0
				var later *services.RetryLaterError
				if errors.As(err, &later) {
					assert.Assert(t, !m.has(idKey), "calls %v: refused although recorded", draws)
					m.applyDelayed()
					assert.Assert(t, !m.has(idKey), "calls %v: an earlier call took effect after the refusal", draws)
				}
				if err == nil {
					assert.Assert(t, m.has(idKey), "calls %v: accepted and not recorded", draws)
				}
				m.applyOne(draw)
			}
		})
	})
}

// Guards against a 503 for a job that is recorded: by an earlier call, or by a submission
// at another host that overtakes the refusal.
func TestRefusalFindsRecordedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		assert.NilError(t, submit(t, newHost(m, false)))
		assert.NilError(t, submit(t, newHost(m, true)))
		assert.Assert(t, !m.has(refusedKey))
	})
}

// Guards against a 503 where the store did not confirm the refusal, so that an earlier
// submission may still take effect.
func TestRefusalWithoutAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.delay = 100
		err := submit(t, newHost(m, true))
		assert.Assert(t, err != nil && !fault.IsNotRun(err), "%v", err)
		m.delay, m.delayed = 0, nil
		m.loseAnswers = 1
		assertRefusedEarly(t, submit(t, newHost(m, true)))
		assert.Equal(t, m.version, int64(2), "the refusal whose answer was lost is recorded again, not taken for confirmed")
	})
}

// Guards against a job that cannot be submitted any more after a refusal, and against a
// record that stays although the job is accepted.
func TestSubmissionAfterRefusal(t *testing.T) {
	for _, earlyRefusal := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			assertRefusedEarly(t, submit(t, newHost(m, true)))
			assert.Assert(t, m.has(refusedKey) && !m.has(idKey))
			s := newHost(m, false)
			s.settings.EarlyRefusal = earlyRefusal
			assert.NilError(t, submit(t, s))
			assert.Assert(t, !m.has(refusedKey) && m.has(idKey))
		})
	}
}

// Guards against refusals by a host that does not know the present load, and against a
// record of a refusal while the store is not available.
func TestRefusalNeedsOwnerAndStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		s := newHost(m, true)
		s.ownership = observedOwner{silent: 7}
		assert.NilError(t, submit(t, s))

		m = newMemoryStore()
		s = newHost(m, true)
		s.early.summaries.(*fixedSummary).observed.Age = waitestimate.MaxSummaryAge + 1
		assert.NilError(t, submit(t, s))

		m = newMemoryStore()
		m.down = true
		start := time.Now()
		err := submit(t, newHost(m, true))
		var later *services.RetryLaterError
		assert.Assert(t, fault.IsNotRun(err) && !errors.As(err, &later))
		assert.Assert(t, time.Since(start) < 2*retryWindow)
	})
}

// Guards against calls and fields that exist although early refusal is off.
func TestEarlyRefusalOffWritesTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		s := newHost(m, true)
		s.settings.EarlyRefusal = false
		assert.NilError(t, submit(t, s))
		assert.Equal(t, m.calls, 1)
		assert.Equal(t, len(m.last.Writes), 2)
		assert.Equal(t, m.expectedEnd(t), time.Duration(0))

		m = newMemoryStore()
		assert.NilError(t, submit(t, newHost(m, false)))
		assert.Equal(t, m.expectedEnd(t), time.Second)
	})
}

// Guards against records of refusals that pile up, and against the removal of one that
// keeps the writes of a later refusal from taking effect.
func TestRefusalRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		first, second := newHost(m, true), newHost(m, true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go first.early.cleanup.run(ctx)
		go second.early.cleanup.run(ctx)
		assertRefusedEarly(t, submit(t, first))
		time.Sleep(rowRetention - cleanupInterval)
		assertRefusedEarly(t, submit(t, second))
		time.Sleep(rowRetention - time.Second)
		synctest.Wait()
		assert.Assert(t, m.has(refusedKey), "the later refusal is not %v old", rowRetention)
		time.Sleep(2 * cleanupInterval)
		synctest.Wait()
		assert.Assert(t, !m.has(refusedKey))
		cancel()
		synctest.Wait()
	})
}

// Guards against a bound that does not come back after the refusals, and against a state
// that another tenant's refusals change.
func TestRefusingState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &newHost(newMemoryStore(), true).early.hysteresis
		h.note(refusingKey{"pool", "tenant"})
		assert.Assert(t, h.refusing("pool", "tenant") && !h.refusing("pool", "other"))
		time.Sleep(refusingFor)
		assert.Assert(t, !h.refusing("pool", "tenant"))
	})
}

// Guards against a 503 for a submission that may still be carried out: its first attempt has
// no answer, the next one finds a refusal by another call, and then the store is down. That
// refusal is removed before the first attempt is carried out.
func TestUnansweredSubmissionIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		assertRefusedEarly(t, submit(t, newHost(m, true)))
		m.delay, m.downFrom = 1, m.calls+3
		err := submit(t, newHost(m, false))
		delete(m.rows, refusedKey)
		m.applyDelayed()
		assert.Assert(t, m.has(idKey))
		assert.Assert(t, err != nil && !fault.IsNotRun(err), "%v", err)
	})
}
