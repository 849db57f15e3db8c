package measure

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a replay that depends on map order or on the time of day, so that
// two runs with the same seed differ and published figures can't be reproduced.
func TestReplayRepeats(t *testing.T) {
	for _, name := range DeploymentNames() {
		p, ok := ParametersByName(name)
		assert.Assert(t, ok)
		s := Settings{Seed: 7, Deployment: name, Minutes: 1}
		first, err := Replay(s, p)
		assert.NilError(t, err)
		second, err := Replay(s, p)
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
	}
}

// Guards against a policy that exceeds a team's limit (G4), and against requests
// that are lost between the stages of the replay.
func TestReplayKeepsLimitsAndRequests(t *testing.T) {
	for _, name := range DeploymentNames() {
		p, _ := ParametersByName(name)
		results, err := Replay(Settings{Seed: 3, Deployment: name, Minutes: 1}, p)
		assert.NilError(t, err)
		for _, r := range results {
			assert.Equal(t, r.OverLimit, 0)
			ended := r.Done
			for _, n := range r.Refused {
				ended += n
			}
			assert.Assert(t, ended <= r.Arrived)
			assert.Assert(t, r.Arrived-ended < maxWaiting*8*30)
		}
	}
}

// Guards against a wrong reference for the share distance: a team that demands
// little gets its demand, and the others divide the rest by their shares.
func TestMaxMinFair(t *testing.T) {
	teams := []account{{share: 1}, {share: 1}, {share: 2}}
	parts := maxMinFair(teams, []float64{2, 50, 50}, 32)
	assert.DeepEqual(t, parts, []float64{2, 10, 20})
}
