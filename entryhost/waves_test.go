package entryhost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/services/maintenance"
)

// TestWaveSettingsDefaultToMaintenance guards against defaults that change the waves
// and moves of a deployment which sets nothing.
func TestWaveSettingsDefaultToMaintenance(t *testing.T) {
	s := Defaults()
	assert.DeepEqual(t, s.maintenanceSettings(), maintenance.DefaultSettings())
}

// TestWaveSettingsReachMaintenance guards against a weight that applies to waves or
// to moves alone, and against two settings that are exchanged.
func TestWaveSettingsReachMaintenance(t *testing.T) {
	s := Defaults()
	s.ShareWeight, s.MoveWeight, s.RollOutWeight, s.BufferWeight = 2, 3, 4, 5
	s.SpareHosts, s.ReferenceRollOut = 6, time.Minute
	m := s.maintenanceSettings()
	weights := wave.Weights{Share: 2, Moves: 3, RollOut: 4, Buffer: 5}
	assert.Equal(t, m.Parallelism.Weights, weights)
	assert.Equal(t, m.Moves.Weights, weights)
	assert.Equal(t, m.Parallelism.Spare, 6)
	assert.Equal(t, m.Parallelism.ReferenceRollOut, time.Minute)
}

// TestPresetIsRefused guards against a deployment that still sets the removed preset
// and silently runs with other weights, on either platform.
func TestPresetIsRefused(t *testing.T) {
	s := Defaults()
	s.Preset = "some-deployment"
	for _, err := range []error{s.Validate(), s.ValidateBoot()} {
		assert.Check(t, is.ErrorContains(err, "(--preset)"))
		for _, flag := range []string{"--share-weight", "--move-weight", "--roll-out-weight", "--buffer-weight", "--spare-hosts", "--reference-roll-out"} {
			assert.Check(t, is.ErrorContains(err, flag))
		}
	}
}
