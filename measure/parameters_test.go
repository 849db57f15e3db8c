package measure

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWavesAndMovesHaveEqualWeights guards against parameters with different
// weights for waves and moves, which would value spare hosts inconsistently.
func TestWavesAndMovesHaveEqualWeights(t *testing.T) {
	for _, name := range DeploymentNames() {
		p, ok := ParametersByName(name)
		assert.Assert(t, ok)
		assert.Equal(t, p.Name, name)
		assert.Equal(t, p.Parallelism.Weights, p.Moves.Weights)
	}
}

// TestParametersByNameRefusesUnknownNames guards against selecting a deployment's
// parameters by a misspelled name.
func TestParametersByNameRefusesUnknownNames(t *testing.T) {
	_, ok := ParametersByName("share-weight")
	assert.Assert(t, !ok)
}
