package measure

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/wave"
)

// Names of the modelled deployments. Each is a fleet with its client accounts, and
// the parameters of waves and moves under which its demand is replayed.
const (
	// ShareWeighted weighs share and moves twice as much as roll-out and buffer.
	ShareWeighted = "share-weighted"
	// BufferWeighted weighs roll-out and buffer twice as much as share and moves.
	BufferWeighted = "buffer-weighted"
)

// Parameters are the parameters of waves and moves in a replay. Parallelism and
// Moves have equal weights.
type Parameters struct {
	Name        string
	Parallelism wave.ParallelismParams
	Moves       wave.MoveParams
	// DemandHalfLife is the half-life with which a pool's demand is smoothed. It
	// is longer than a cycle of bursts, so that no host moves because of the
	// phase of the cycle.
	DemandHalfLife time.Duration
	// MovePeriod is the interval between rounds of moves.
	MovePeriod time.Duration
}

// ParametersByName returns the parameters of a modelled deployment; ok is false for
// other names. docs/measures.md shows the runs behind the values.
func ParametersByName(name string) (p Parameters, ok bool) {
	switch name {
	case ShareWeighted:
		p = newParameters(name, wave.Weights{Share: 2, Moves: 2, RollOut: 1, Buffer: 1})
		p.Parallelism.Spare = 1
		p.Parallelism.ReferenceRollOut = time.Minute
		return p, true
	case BufferWeighted:
		p = newParameters(name, wave.Weights{Share: 1, Moves: 1, RollOut: 2, Buffer: 2})
		p.Parallelism.ReferenceRollOut = 10 * time.Second
		return p, true
	}
	return Parameters{}, false
}

// DeploymentNames returns the names of all modelled deployments.
func DeploymentNames() []string { return []string{ShareWeighted, BufferWeighted} }

func newParameters(name string, weights wave.Weights) Parameters {
	return Parameters{
		Name:           name,
		Parallelism:    wave.ParallelismParams{Weights: weights, InitialMeanOut: 2 * time.Minute, SlowFactor: 2},
		Moves:          wave.MoveParams{Weights: weights, Hysteresis: 1, MoveCost: 0.5, MaxMoves: 1},
		DemandHalfLife: time.Minute,
		MovePeriod:     10 * time.Second,
	}
}
