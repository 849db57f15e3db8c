package pools

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// Guards against a pool whose machines are no longer moved because the details that
// explain placement make its status too large for a record.
func TestDetailsYieldToTheUseOfMachines(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	plan := poolplan.New(1, now, 0, poolplan.Params{})
	var list []poolplan.Executor
	for n := range 1100 {
		list = append(list, poolplan.Executor{ID: fmt.Sprint(n), Machine: fmt.Sprintf("machine-%d", n), Address: fmt.Sprintf("10.0.0.1:%d", n+1)})
	}
	plan.SetExecutors(now, list)
	p := &planner{s: &Service{log: zerolog.Nop()}, now: now}
	value, err := p.encodeStatus(&managedPool{name: "pool", plan: plan})
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= jobrecord.MaxRecordBytes, "%d bytes", len(value))
	var record jobrecord.StatusRecord
	assert.NilError(t, json.Unmarshal(value, &record))
	assert.Equal(t, len(record.Machines), len(list))

	plan.SetExecutors(now, list[:2])
	value, err = p.encodeStatus(&managedPool{name: "pool", plan: plan})
	assert.NilError(t, err)
	record = jobrecord.StatusRecord{}
	assert.NilError(t, json.Unmarshal(value, &record))
	use := record.Machines["machine-0"]
	assert.Equal(t, use.ExecutorUse(list[0]).Obstacle, poolplan.Obstacle("unrecorded"))
}
