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
	s := New(time.Now)
	s.records = storedRecords{list: []services.Record{recorded, job, record(jobrecord.StatusKey(pool), status, err)}}
	found, err := s.findJob(t.Context(), &catalog.Queue{Name: "queue", Service: pool}, id)
	assert.NilError(t, err)
	assert.Equal(t, found.state, workload.Running)
}
