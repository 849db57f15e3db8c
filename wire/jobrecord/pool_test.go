package jobrecord

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

func makeExecutors(n int) []poolplan.Executor {
	list := make([]poolplan.Executor, n)
	for i := range list {
		list[i] = poolplan.Executor{
			ID: fmt.Sprintf("%016x", i), StartedMs: 1780000000000, Machine: fmt.Sprintf("machine-%d", i), Address: fmt.Sprintf("10.1.%d.%d:8787", i/256, i%256),
			Zone: "shah-alam", Rack: "shah-alam-rack-12", Labels: []string{"label-one"}, Capacity: fleet.Resources{MilliCPU: 32000, MemoryBytes: 64 << 30},
		}
	}
	return list
}

// Guards against a pool that never starts any task because the record of its
// executors is too large for the store, as happened with 613 executors in a sweep.
func TestExecutorsOfLargePoolFitRecords(t *testing.T) {
	all := makeExecutors(3000)
	writes, recorded, err := EncodeExecutors("pool", all)
	assert.NilError(t, err)
	assert.Equal(t, len(recorded), len(all))
	got := make(map[string]poolplan.Executor)
	for _, w := range writes {
		assert.Assert(t, IsExecutorShard(w.RecordKey) && w.RecordKey != ExecutorsKey("pool"))
		assert.Assert(t, len(w.Value) <= MaxRecordBytes, "record %s has %d bytes, want at most %d", w.Key, len(w.Value), MaxRecordBytes)
		list, err := DecodeExecutors(w.Value)
		assert.NilError(t, err)
		for _, e := range list {
			got[e.ID] = e
		}
	}
	assert.Equal(t, len(got), len(all))
	for _, e := range all {
		assert.DeepEqual(t, got[e.ID], e)
	}
}

// Guards against a pool that uses none of its executors, because the entry of one of them
// outgrows a record: characters such as '<' take six bytes each.
func TestExecutorThatDoesNotFitIsLeftOut(t *testing.T) {
	all := makeExecutors(200)
	for range 60 {
		all[7].Labels = append(all[7].Labels, strings.Repeat("<", 190))
	}
	writes, recorded, err := EncodeExecutors("pool", all)
	assert.NilError(t, err)
	assert.Equal(t, len(recorded), len(all)-1)
	for _, e := range recorded {
		assert.Assert(t, e.ID != all[7].ID)
	}
	for _, w := range writes {
		assert.Assert(t, len(w.Value) <= MaxRecordBytes)
	}
}

// Guards against a transaction that the store refuses as a whole, because all records of
// executors together are too large for it.
func TestRecordsOfExecutorsFitOneTransaction(t *testing.T) {
	writes, recorded, err := EncodeExecutors("pool", makeExecutors(20_000))
	assert.NilError(t, err)
	total := 0
	for _, w := range writes {
		total += len(w.Value)
	}
	assert.Assert(t, total <= maxExecutorsBytes && len(recorded) > 3000, "%d bytes for %d executors", total, len(recorded))
}

// Guards against an executor that stays recorded after it has left: the next owner
// of the pool would wait for it.
func TestEmptyRecordOfExecutorsIsDeleted(t *testing.T) {
	writes, _, err := EncodeExecutors("pool", nil)
	assert.NilError(t, err)
	for _, w := range writes {
		assert.Assert(t, w.Delete)
	}
}

// Guards against a damaged or foreign record of progress that ends the process, or
// that is taken for progress of a job which then runs again.
func TestDamagedProgressIsRefused(t *testing.T) {
	for _, value := range []string{`{"s":7}`, `{"s":-1}`, `{"s":1,"d":{"0.0":[-4]}}`, `{"s":1,"d":{"0.x":[1]}}`, `{"s":1,"f":{"0.0.-1":[1]}}`, `[`, `{"s":1e99}`} {
		_, err := DecodeProgress("job", []byte(value))
		assert.Assert(t, err != nil, "accepted %s", value)
	}
	_, err := DecodeSpec("job", []byte(`{"s":[{"n":-3}]}`))
	assert.Assert(t, err != nil, "accepted a step with a negative number of tasks")
	assert.Equal(t, workload.State(9).String(), "state 9")
}
