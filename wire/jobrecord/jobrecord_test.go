package jobrecord

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against an owner that judges a job it has read from the store otherwise than
// the one before did: once the queue is gone, only the record has its terms.
func TestRecordedJobKeepsItsOrigin(t *testing.T) {
	spec := &workload.Spec{
		ID: "a", Tenant: "tenant", AcceptedAt: time.UnixMilli(1780000000000), Steps: []workload.Step{{Count: 1}},
		Queue: catalog.Origin{
			Name: "queue", Place: catalog.Place{Host: "jobs.example", PathPrefix: "/q/"},
			Terms: catalog.Terms{
				Priority: 2, MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: 600 * time.Millisecond,
				Advice: &catalog.Advice{DecisionTime: 10 * time.Millisecond, TimePerExecutor: time.Millisecond, Validity: 3 * time.Second},
			},
		},
	}
	value, err := EncodeSpec(spec)
	assert.NilError(t, err)
	got, err := DecodeSpec("a", value)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, spec)
}

// Guards against a part of a job's progress that is too large for a row of the store.
func TestPartsOfProgressFitRecords(t *testing.T) {
	const tasksPerJob = 50_000
	p := workload.Progress{HighestAttempt: math.MaxInt, Failures: make(map[workload.TaskName]workload.Failures)}
	var attempts []int
	for n := range workload.MaxListedAttempts {
		attempts = append(attempts, math.MaxInt-workload.MaxListedAttempts+n)
	}
	for n := range workload.TasksPerPart {
		p.Failures[workload.TaskName{Occurrence: tasksPerJob - n, Step: tasksPerJob}] = workload.Failures{Count: math.MaxInt32, Attempts: attempts}
	}
	value, err := EncodeProgress(&p)
	assert.NilError(t, err)
	bound := bytesPerPart + bytesPerFailure*workload.TasksPerPart
	assert.Assert(t, len(value) <= bound && bound <= MaxRecordBytes, "%d bytes, bound %d", len(value), bound)

	p = workload.Progress{State: workload.Running, HighestAttempt: math.MaxInt}
	for n := range workload.TasksPerPart {
		p.Done = append(p.Done, workload.TaskName{Occurrence: tasksPerJob - n, Step: tasksPerJob, Index: 9999})
	}
	value, err = EncodeProgress(&p)
	assert.NilError(t, err)
	bound = bytesPerPart + bytesPerDone*workload.TasksPerPart
	assert.Assert(t, len(value) <= bound, "%d bytes, bound %d", len(value), bound)
}

// Guards against failures that are counted twice, or not at all, after an owner has read
// them from the store.
func TestFailuresSurviveTheRecord(t *testing.T) {
	name := workload.TaskName{Step: 1}
	var f workload.Failures
	for _, attempt := range []int{3, 1, 2, 70, 71, 72, 73, 74, 75, 76} {
		assert.Assert(t, f.Add(attempt))
	}
	value, err := EncodeProgress(&workload.Progress{Failures: map[workload.TaskName]workload.Failures{name: f}})
	assert.NilError(t, err)
	p, err := DecodeProgress("a", value)
	assert.NilError(t, err)
	got := p.Failures[name]
	assert.DeepEqual(t, got, f)
	for _, attempt := range []int{1, 3, 70, 76} {
		assert.Assert(t, !got.Add(attempt), "attempt %d was counted before", attempt)
	}
	assert.Assert(t, got.Add(77))
	assert.Equal(t, got.Count, 11)
}

// Guards against occurrences that begin ever earlier than they are due: the interval of a
// job was recorded without its fraction of a millisecond.
func TestRecordedJobKeepsItsInterval(t *testing.T) {
	const interval = 33*time.Millisecond + 700*time.Microsecond
	spec := &workload.Spec{ID: "a", Steps: []workload.Step{{Count: 1}}, Times: 500, StartAt: time.UnixMilli(1000), Interval: interval}
	value, err := EncodeSpec(spec)
	assert.NilError(t, err)
	read, err := DecodeSpec("a", value)
	assert.NilError(t, err)
	assert.Equal(t, read.Interval, interval)
	assert.Assert(t, read.Due(499).Equal(spec.Due(499)))
}
