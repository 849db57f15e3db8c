package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// memoryRecords is a store without parts and without history.
type memoryRecords struct {
	rows    map[services.RecordKey]services.Record
	version int64
}

func (*memoryRecords) ResponseTime() time.Duration   { return 0 }
func (*memoryRecords) UnreachableFor() time.Duration { return 0 }

func (m *memoryRecords) Commit(_ context.Context, tx services.RecordTx) (services.RecordCommit, error) {
	for _, c := range tx.Conditions {
		if m.rows[c.RecordKey].Version != c.Version {
			return services.RecordCommit{Current: []services.Record{m.rows[c.RecordKey]}}, nil
		}
	}
	m.version++
	for _, w := range tx.Writes {
		m.rows[w.RecordKey] = services.Record{RecordKey: w.RecordKey, Value: w.Value, Version: m.version}
	}
	return services.RecordCommit{Committed: true, Version: m.version}, nil
}

func (m *memoryRecords) Scan(_ context.Context, r services.RecordRange) (services.RecordPage, error) {
	page := services.RecordPage{Version: max(m.version, 1)}
	if record, ok := m.rows[jobrecord.OwnerKey(r.Part)]; ok {
		page.Records = append(page.Records, record)
	}
	return page, nil
}

func (m *memoryRecords) Changes(_ context.Context, table string, after int64, _ time.Duration) (services.RecordChanges, error) {
	changes := services.RecordChanges{Version: m.version}
	for key, record := range m.rows {
		if key.Table == table && record.Version > after {
			changes.Records = append(changes.Records, record)
		}
	}
	return changes, nil
}

// summaryFixture is a pool of which one host is the owner, and another that reads.
type summaryFixture struct {
	now           time.Time
	records       *memoryRecords
	owner, reader *Service
}

func (f *summaryFixture) host(ctx context.Context, name string) *Service {
	s := New(Settings{Host: name, Incarnation: 1, CPUShare: 1}, func() time.Time { return f.now })
	s.log, s.scope, s.records, s.storeHealth = zerolog.Nop(), tally.NoopScope, f.records, f.records
	s.catalogs = &fixedCatalogs{catalog: catalog.New(1, nil, []catalog.Service{{Name: testPool}}, nil)}
	s.ownedGauge = s.scope.Gauge("owned")
	s.summaries = ring.New[services.PublishedSummary]("summaries", summariesRingCapacity, s.scope)
	s.workers = ring.NewWorkers("calls", callsRingCapacity, s.scope)
	go s.workers.Run(ctx)
	return s
}

func newSummaryFixture(t *testing.T) *summaryFixture {
	f := &summaryFixture{now: time.Unix(1000, 0), records: &memoryRecords{rows: make(map[services.RecordKey]services.Record)}}
	f.owner, f.reader = f.host(t.Context(), "owner"), f.host(t.Context(), "reader")
	f.advance(t, 5*time.Second, f.owner)
	assert.Equal(t, len(f.owner.OwnedPools()), 2)
	return f
}

// advance performs the rounds of some hosts for a time.
func (f *summaryFixture) advance(t *testing.T, d time.Duration, hosts ...*Service) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(readInterval) {
		for _, s := range hosts {
			s.takeSummaries()
			s.round(t.Context())
		}
	}
}

func (f *summaryFixture) publish(t *testing.T) {
	summary := &waitestimate.Summary{At: f.now, UsedMilliCPU: 5}
	assert.Assert(t, f.owner.PublishSummary(services.PublishedSummary{Ownership: f.owner.OwnedPools()[testPool], Summary: summary}))
}

// Guards against a summary that does not reach the other hosts, that looks younger there
// than it is, or that is renewed although its owner makes no new one.
func TestSummaryReachesOtherHosts(t *testing.T) {
	f := newSummaryFixture(t)
	f.advance(t, time.Second, f.owner, f.reader)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil, "nothing was published")
	madeAt := f.now
	f.publish(t)
	f.advance(t, ownership.RenewalInterval+2*readInterval, f.owner, f.reader)
	got := f.reader.ObservedSummary(testPool)
	assert.Assert(t, got.Summary != nil)
	assert.Equal(t, got.Summary.UsedMilliCPU, int64(5))
	assert.Equal(t, got.Holder, "owner")
	assert.Assert(t, got.Age >= f.now.Sub(madeAt), "age %v of a summary that was made %v ago", got.Age, f.now.Sub(madeAt))
	own := f.owner.ObservedSummary(testPool)
	assert.Assert(t, own.Summary != nil && own.Age >= f.now.Sub(madeAt))
	f.advance(t, waitestimate.MaxSummaryAge+ownership.RenewalInterval, f.owner, f.reader)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil)
}

// Guards against a host that starts, or has not reached the store for a while, and takes
// a record of unknown age for the present load.
func TestFirstReadShowsNoSummary(t *testing.T) {
	f := newSummaryFixture(t)
	f.publish(t)
	f.advance(t, time.Second, f.owner)
	f.advance(t, readInterval, f.reader)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil)
}

// Guards against the record of a pool that is added to the configuration, which may be old,
// taken for one that was written since the last read of the other pools.
func TestFirstReadOfAddedPoolShowsNoSummary(t *testing.T) {
	f := newSummaryFixture(t)
	f.reader.catalogs = &fixedCatalogs{catalog: catalog.New(1, nil, nil, nil)}
	f.publish(t)
	f.advance(t, time.Second, f.owner, f.reader)
	f.now = f.now.Add(readInterval)
	f.reader.catalogs = f.owner.catalogs
	f.advance(t, readInterval, f.reader)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil)
}

// Guards against a renewal that the store carries out seconds after it was sent, whose
// summary is taken for a recent one.
func TestDelayedRenewalShowsNoSummary(t *testing.T) {
	f := newSummaryFixture(t)
	f.advance(t, time.Second, f.owner, f.reader)
	p := f.owner.pools[testPool]
	next := p.record
	next.Renewals++
	next.Summary = jobrecord.NewSummaryRecord(&waitestimate.Summary{UsedMilliCPU: 5}, 0)
	for end := f.now.Add(3 * time.Second); f.now.Before(end); f.now = f.now.Add(readInterval) {
		assert.NilError(t, f.reader.refresh(t.Context()))
	}
	commit, err := f.owner.commit(t.Context(), &ownerWrite{pool: p, next: next})
	assert.Assert(t, err == nil && commit.Committed)
	assert.NilError(t, f.reader.refresh(t.Context()))
	assert.Equal(t, f.reader.pools[testPool].record.Renewals, next.Renewals)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil)
}

// Guards against the summary of a former owner that is taken for that of the pool after a
// release or a takeover.
func TestSummaryEndsWithOwnership(t *testing.T) {
	f := newSummaryFixture(t)
	f.advance(t, time.Second, f.owner, f.reader)
	f.publish(t)
	f.advance(t, time.Second, f.owner, f.reader)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary != nil)
	f.owner.endServing()
	f.owner.round(t.Context())
	f.advance(t, 3*time.Second, f.reader)
	assert.Equal(t, f.reader.ObservedSummary(testPool).Term, 2)
	assert.Assert(t, f.reader.ObservedSummary(testPool).Summary == nil)
}
