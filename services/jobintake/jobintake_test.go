package jobintake

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// storedRecords answers scans from a list of records.
type storedRecords struct {
	services.Records
	list []services.Record
}

func (s storedRecords) Scan(_ context.Context, r services.RecordRange) (services.RecordPage, error) {
	var page services.RecordPage
	for _, record := range s.list {
		if record.Table == r.Table && record.Part == r.Part && record.Key >= r.From && (r.To == "" || record.Key < r.To) {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// Changes returns the records of a table that are later than a version.
func (s storedRecords) Changes(_ context.Context, table string, after int64, _ time.Duration) (services.RecordChanges, error) {
	var changes services.RecordChanges
	for _, record := range s.list {
		if record.Table == table && record.Version > after {
			changes.Records = append(changes.Records, record)
		}
	}
	return changes, nil
}

// observedOwner is the owner of the pool as this host sees it.
type observedOwner struct {
	services.Ownership
	term   int
	silent int64
}

func (o observedOwner) SilentOwner(string) int64 { return o.silent }
func (o observedOwner) OwnerTerm(string) int     { return o.term }

// fixedCatalogs has one queue.
type fixedCatalogs struct{ services.Catalogs }

func (fixedCatalogs) Catalog() *catalog.Catalog {
	return catalog.New(1, []catalog.Queue{{Name: "queue", Service: "pool"}}, []catalog.Service{{Name: "pool"}}, nil)
}

// Guards against jobs that are missing from pending for seconds, because the owners of
// their pool end one after the other, each before it has read the pool: no status counted
// jobs that were recorded since the last one.
func TestPendingWithoutOwnerCountsNewJobs(t *testing.T) {
	status, err := json.Marshal(jobrecord.StatusRecord{Term: 2, PendingRecord: jobrecord.PendingRecord{Pending: map[string]int{"queue": 3}}})
	assert.NilError(t, err)
	list := []services.Record{{RecordKey: jobrecord.StatusKey("pool"), Value: status, Version: 10}}
	for i, id := range []string{"00000000000000aa", "00000000000000ab", "00000000000000ac"} {
		spec := &workload.Spec{ID: id, Queue: catalog.Origin{Name: "queue"}, Steps: []workload.Step{{Count: 1}}}
		value, err := jobrecord.EncodeSpec(spec)
		assert.NilError(t, err)
		// The first one was recorded before the status was published.
		list = append(list, services.Record{RecordKey: jobrecord.JobKey("pool", id), Value: value, Version: int64(9 + 2*i)})
	}
	list = append(list, services.Record{RecordKey: jobrecord.CancelKey("pool", "00000000000000ac"), Value: []byte("{}"), Version: 20})
	for _, test := range []struct {
		owner observedOwner
		want  int
	}{
		{observedOwner{term: 2}, 3},
		{observedOwner{term: 2, silent: 7}, 5},
		{observedOwner{term: 3}, 5},
	} {
		s := New(Settings{}, time.Now)
		s.records, s.ownership, s.catalogs = storedRecords{list: list}, test.owner, fixedCatalogs{}
		jobs, err := s.Pending(t.Context(), &catalog.Queue{Name: "queue", Service: "pool"})
		assert.NilError(t, err)
		assert.Equal(t, jobs, test.want, "%+v", test.owner)
	}
}

// Guards against a job that runs and is shown as queued, because its progress was recorded
// before it had begun: the status of the pool, from which pending follows, counts then.
func TestBegunJobWithEarlierProgressIsRunning(t *testing.T) {
	const pool, id = "pool", "00000000000000aa"
	record := func(key services.RecordKey, value []byte, err error) services.Record {
		assert.NilError(t, err)
		return services.Record{RecordKey: key, Value: value, Version: 1}
	}
	progress, err := jobrecord.EncodeProgress(&workload.Progress{HighestAttempt: 40})
	recorded := record(jobrecord.ProgressKey(pool, id, 0), progress, err)
	spec, err := jobrecord.EncodeSpec(&workload.Spec{ID: id, Steps: []workload.Step{{Count: 1}}})
	job := record(jobrecord.JobKey(pool, id), spec, err)
	status, err := json.Marshal(jobrecord.StatusRecord{Term: 1, StartedUnrecorded: []string{id}})
	s := New(Settings{}, time.Now)
	s.records = storedRecords{list: []services.Record{recorded, job, record(jobrecord.StatusKey(pool), status, err)}}
	found, err := s.findJob(t.Context(), &catalog.Queue{Name: "queue", Service: pool}, id)
	assert.NilError(t, err)
	assert.Equal(t, found.state, workload.Running)
}
