package jobrecord

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// maxRecordBytes is what the users' store takes in one record.
const maxRecordBytes = 65536

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

// Guards against a pool that never starts anything because the record of its
// executors is longer than the store takes, as with 613 executors in a sweep.
func TestExecutorsOfLargePoolFitRecords(t *testing.T) {
	all := makeExecutors(3000)
	writes, err := EncodeExecutors("pool", all)
	assert.NilError(t, err)
	got := make(map[string]poolplan.Executor)
	for _, w := range writes {
		assert.Assert(t, IsExecutorShard(w.RecordKey) && w.RecordKey != ExecutorsKey("pool"))
		assert.Assert(t, len(w.Value) <= maxRecordBytes, "record of %d bytes", len(w.Value))
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

// Guards against an executor that has left and stays in a record: an owner that
// takes over would wait for it.
func TestEmptyRecordOfExecutorsIsDeleted(t *testing.T) {
	writes, err := EncodeExecutors("pool", nil)
	assert.NilError(t, err)
	for _, w := range writes {
		assert.Assert(t, w.Delete)
	}
}
