// Package profile holds the tuning profiles of the deployments: the parameters of
// waves and moves.
//
// docs/measures.md shows the runs behind the values. The package does no I/O.
package profile

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/wave"
)

// Names of the deployments.
const (
	TanSengHuat = "tan-seng-huat"
	MareViva    = "mare-viva"
)

// Profile is the tuning profile of one deployment. Parallelism and Moves have
// equal weights.
type Profile struct {
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

// ByName returns the profile of a deployment; ok is false for other names.
func ByName(name string) (p Profile, ok bool) {
	switch name {
	case TanSengHuat:
		p = newProfile(name, wave.Weights{Share: 2, Moves: 2, RollOut: 1, Buffer: 1})
		p.Parallelism.Spare = 1
		p.Parallelism.ReferenceRollOut = time.Minute
		return p, true
	case MareViva:
		p = newProfile(name, wave.Weights{Share: 1, Moves: 1, RollOut: 2, Buffer: 2})
		p.Parallelism.ReferenceRollOut = 10 * time.Second
		return p, true
	}
	return Profile{}, false
}

// Names returns the names of all profiles.
func Names() []string { return []string{TanSengHuat, MareViva} }

func newProfile(name string, weights wave.Weights) Profile {
	return Profile{
		Name:           name,
		Parallelism:    wave.ParallelismParams{Weights: weights, InitialMeanOut: 2 * time.Minute, SlowFactor: 2},
		Moves:          wave.MoveParams{Weights: weights, Hysteresis: 1, MoveCost: 0.5, MaxMoves: 1},
		DemandHalfLife: time.Minute,
		MovePeriod:     10 * time.Second,
	}
}
