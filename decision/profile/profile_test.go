package profile

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWavesAndMovesHaveEqualWeights guards against a profile with different
// weights for waves and moves, which would value spare hosts inconsistently.
func TestWavesAndMovesHaveEqualWeights(t *testing.T) {
	for _, name := range Names() {
		p, ok := ByName(name)
		assert.Assert(t, ok)
		assert.Equal(t, p.Name, name)
		assert.Equal(t, p.Parallelism.Weights, p.Moves.Weights)
	}
}

// TestByNameRefusesUnknownNames guards against selecting a deployment's
// parameters by a misspelled name.
func TestByNameRefusesUnknownNames(t *testing.T) {
	_, ok := ByName("tan-seng")
	assert.Assert(t, !ok)
}
