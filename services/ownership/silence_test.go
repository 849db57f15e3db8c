package ownership

import (
	"context"
	"encoding/json"
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
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	testPool     = "pool"
	responseTime = 10 * time.Millisecond
	giveUpAfter  = calltime.MaxTimeout
	// contactTime is the time after an outage within which the platform expects each
	// process to know all changes (contact-ms).
	contactTime = 3 * time.Second
	// renewalGap is the time between renewals of the other owner.
	renewalGap = 500 * time.Millisecond
)

// silentRecords is a store that swallows the calls that it receives, or would answer,
// between silentFrom and silentUntil. Another host owns the pool; its record changes with
// each renewal, and the version is the number of renewals.
type silentRecords struct{ start, silentFrom, silentUntil time.Time }

func (s *silentRecords) ResponseTime() time.Duration   { return responseTime }
func (s *silentRecords) UnreachableFor() time.Duration { return 0 }

func (s *silentRecords) isSilent() bool {
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentUntil)
}

// answer waits for the time that an answer takes, or for that after which the call is
// given up.
func (s *silentRecords) answer() error {
	sentAt, lost := time.Now(), s.isSilent()
	time.Sleep(responseTime)
	if lost || s.isSilent() {
		time.Sleep(time.Until(sentAt.Add(giveUpAfter)))
		return errors.New("no answer")
	}
	return nil
}

func (s *silentRecords) version() int64 { return 1 + int64(time.Since(s.start)/renewalGap) }

func (s *silentRecords) record() services.Record {
	value, err := json.Marshal(jobrecord.OwnerRecord{Holder: "other", Incarnation: 1, Term: 1, Renewals: s.version(), CPUShare: 1, SharedParts: true})
	if err != nil {
		panic(err)
	}
	return services.Record{RecordKey: jobrecord.OwnerKey(testPool), Version: s.version(), Value: value}
}

func (s *silentRecords) Commit(context.Context, services.RecordTx) (services.RecordCommit, error) {
	if err := s.answer(); err != nil {
		return services.RecordCommit{}, err
	}
	return services.RecordCommit{}, nil
}

func (s *silentRecords) Scan(_ context.Context, r services.RecordRange) (services.RecordPage, error) {
	if err := s.answer(); err != nil {
		return services.RecordPage{}, err
	}
	page := services.RecordPage{Version: s.version()}
	if r.Part == testPool {
		page.Records = []services.Record{s.record()}
	}
	return page, nil
}

func (s *silentRecords) Changes(_ context.Context, _ string, after int64, _ time.Duration) (services.RecordChanges, error) {
	if err := s.answer(); err != nil {
		return services.RecordChanges{}, err
	}
	changes := services.RecordChanges{Version: s.version()}
	if s.version() > after {
		changes.Records = []services.Record{s.record()}
	}
	return changes, nil
}

type fixedCatalogs struct {
	services.Catalogs
	catalog *catalog.Catalog
}

func (c *fixedCatalogs) Catalog() *catalog.Catalog { return c.catalog }

// Guards against a process that takes an owner for silent, or does not know of a later
// one, for longer after the store was silent than the platform allows: the time after
// which a read is given up, and the delay until the next, add up to less.
func TestOwnersAreKnownSoonAfterSilence(t *testing.T) {
	for _, length := range []time.Duration{150 * time.Millisecond, 900 * time.Millisecond, 4400 * time.Millisecond} {
		for phase := time.Duration(0); phase < time.Second; phase += 30 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				silentFrom := start.Add(5*time.Second + phase)
				store := &silentRecords{start, silentFrom, silentFrom.Add(length)}
				s := New(Settings{Host: "self", Incarnation: 1, CPUShare: 1}, time.Now)
				s.log, s.scope, s.records, s.storeHealth = zerolog.Nop(), tally.NoopScope, store, store
				s.catalogs = &fixedCatalogs{catalog: catalog.New(1, nil, []catalog.Service{{Name: testPool}}, nil)}
				s.ownedGauge = s.scope.Gauge("owned")
				s.lostOwnerships = ring.New[services.PoolOwnership]("lost", lostRingCapacity, s.scope)
				s.summaries = ring.New[services.PublishedSummary]("summaries", summariesRingCapacity, s.scope)
				s.workers = ring.NewWorkers("calls", callsRingCapacity, s.scope)
				ctx, cancel := context.WithCancel(t.Context())
				go s.watch(ctx)
				for range callDutyCount {
					go s.workers.Run(ctx)
				}
				// A round also claims the management of machines, which no one owns.
				bound := giveUpAfter + readInterval + 5*responseTime
				assert.Assert(t, bound < contactTime)
				time.Sleep(time.Until(store.silentUntil))
				known := store.version()
				time.Sleep(bound)
				synctest.Wait()
				got := (*s.observations.Load())[testPool].version
				assert.Assert(t, got >= known, "silence of %v, phase %v: version %d is known, want %d", length, phase, got, known)
				cancel()
				time.Sleep(2 * giveUpAfter)
			})
		}
	}
}
