// Package preset holds the parameters of waves and moves for each deployment.
//
// docs/measures.md shows the runs behind the values. The package is free of
// I/O.
package preset

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/wave"
)

// Names of the deployments.
const (
	TanSengHuat = "tan-seng-huat"
	MareViva    = "mare-viva"
)

// Preset is one deployment's set of parameters. The weights in Pace and Moves
// are the same.
type Preset struct {
	Name  string
	Pace  wave.PaceParams
	Moves wave.MoveParams
	// DemandHalfLife smooths the demand of a pool. It is longer than a cycle
	// of bursts, so that the phase of the cycle moves no host.
	DemandHalfLife time.Duration
	// MovePeriod is the time between two rounds of moves.
	MovePeriod time.Duration
}

// ByName returns the preset of a deployment; ok is false for other names.
func ByName(name string) (p Preset, ok bool) {
	switch name {
	case TanSengHuat:
		p = newPreset(name, wave.Weights{Share: 2, Moves: 2, RollOut: 1, Buffer: 1})
		p.Pace.Spare = 1
		p.Pace.ReferenceRollOut = time.Minute
		return p, true
	case MareViva:
		p = newPreset(name, wave.Weights{Share: 1, Moves: 1, RollOut: 2, Buffer: 2})
		p.Pace.ReferenceRollOut = 10 * time.Second
		return p, true
	}
	return Preset{}, false
}

// Names returns the names of all presets.
func Names() []string { return []string{TanSengHuat, MareViva} }

func newPreset(name string, w wave.Weights) Preset {
	return Preset{
		Name:           name,
		Pace:           wave.PaceParams{Weights: w, InitialMeanOut: 2 * time.Minute, SlowFactor: 2},
		Moves:          wave.MoveParams{Weights: w, Hysteresis: 1, MoveCost: 0.5, MaxMoves: 1},
		DemandHalfLife: time.Minute,
		MovePeriod:     10 * time.Second,
	}
}
