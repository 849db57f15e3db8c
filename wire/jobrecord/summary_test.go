package jobrecord

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
)

// Guards against a summary that says something else on the host that reads it, and
// against an owner record that changes where nothing is published.
func TestSummaryRecord(t *testing.T) {
	readAt := time.UnixMilli(9000)
	want := &waitestimate.Summary{
		At: readAt.Add(-120 * time.Millisecond), UsedMilliCPU: 1, FreeMilliCPU: 2, StandbyMilliCPU: 3, Running: waitestimate.Amount{CoreMs: 4, Tasks: 5},
		Preferred: waitestimate.Work{0: {CoreMs: 6, Tasks: 1}, 2: {CoreMs: 7, Tasks: 2}}, Other: waitestimate.Work{1: {CoreMs: 8, Tasks: 3}},
		Beyond: map[string]waitestimate.Work{"t": {0: {CoreMs: 9, Tasks: 4}}}, ShareSpent: map[string]bool{"t": true},
		Durations: map[string]waitestimate.Durations{"q": {LogMean: -0.5, Learned: true}},
	}
	value, err := json.Marshal(OwnerRecord{Holder: "h", Summary: NewSummaryRecord(want, 120*time.Millisecond)})
	assert.NilError(t, err)
	var record OwnerRecord
	assert.NilError(t, json.Unmarshal(value, &record))
	assert.DeepEqual(t, record.Summary.Summary(readAt), want)
	value, err = json.Marshal(OwnerRecord{Holder: "h", Term: 1})
	assert.NilError(t, err)
	assert.Equal(t, string(value), `{"holder":"h","incarnation":0,"term":1,"renewals":0}`)
}

// Guards against refusals by a record that another writer has made: impossible amounts
// count as no summary.
func TestImpossibleSummaryIsNone(t *testing.T) {
	for _, text := range []string{`{"age":-1}`, `{"age":1,"used":-5}`, `{"age":1,"pref":{"0":{"w":-1,"n":1}}}`} {
		var r SummaryRecord
		assert.NilError(t, json.Unmarshal([]byte(text), &r))
		assert.Assert(t, r.Summary(time.UnixMilli(0)) == nil, text)
	}
}
