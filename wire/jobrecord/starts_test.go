package jobrecord

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against starts in doubt that the next owner reads differently, against a record that
// the store refuses because executors have long names, and against a record of an earlier
// version that is taken for one without starts in doubt.
func TestSavesRecord(t *testing.T) {
	task := workload.TaskID{Job: "00000000000000d2", TaskName: workload.TaskName{Occurrence: 1, Step: 2, Index: 3}}
	starts := []poolplan.StartInDoubt{
		{Task: task, Attempt: 65, Executor: "a-0", Repeated: true, Left: 3 * time.Second},
		{Task: task, Attempt: 66, Executor: "a-1", Left: poolplan.MaxOrderLateness},
	}
	for _, list := range [][]poolplan.StartInDoubt{starts, nil} {
		value, recorded, err := EncodeSaves(list)
		assert.NilError(t, err)
		assert.Equal(t, recorded, len(list))
		decoded, known, err := DecodeSaves(value)
		assert.NilError(t, err)
		assert.Assert(t, known)
		assert.DeepEqual(t, decoded, list)
	}
	long := make([]poolplan.StartInDoubt, poolplan.MaxStartsInDoubt)
	for i := range long {
		long[i] = poolplan.StartInDoubt{Task: task, Attempt: 1, Executor: strings.Repeat("x", 200)}
	}
	value, recorded, err := EncodeSaves(long)
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxSavesBytes && recorded > 0 && recorded < len(long), "%d bytes, %d starts", len(value), recorded)
	_, known, err := DecodeSaves([]byte("{}"))
	assert.NilError(t, err)
	assert.Assert(t, !known)
	for _, damaged := range []string{"", `{"starts":[{"t":"x","a":1,"e":"1"}]}`, `{"starts":[{"t":"` + task.String() + `","a":1,"e":"1","l":-5}]}`} {
		_, known, err := DecodeSaves([]byte(damaged))
		assert.Assert(t, err != nil && !known, damaged)
	}
}
