package jobrecord

import (
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
