package preset

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Waves and moves must weigh the same costs; a preset with two sets of weights
// would trade hosts held spare at two prices.
func TestPresetsWeighWavesAndMovesAlike(t *testing.T) {
	for _, name := range Names() {
		p, ok := ByName(name)
		assert.Assert(t, ok)
		assert.Equal(t, p.Name, name)
		assert.Equal(t, p.Pace.Weights, p.Moves.Weights)
	}
}

// A name with a spelling mistake must not select a deployment's parameters.
func TestByNameRefusesUnknownNames(t *testing.T) {
	_, ok := ByName("tan-seng")
	assert.Assert(t, !ok)
}
