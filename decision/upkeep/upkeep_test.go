package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wave that takes machines in use while those of an evacuated zone, which
// their pool does without anyway, wait for the limit of the pool.
func TestWavePrefersEvacuatedMachines(t *testing.T) {
	now := time.Unix(0, 0)
	wave := Wave{Number: 1, MaxDown: 4, Deadline: now.Add(30 * time.Second)}
	var machines []Machine
	for i := range 16 {
		machines = append(machines, Machine{Name: fmt.Sprintf("m%02d", i), Pool: "pool", InService: true, Evacuated: i >= 8, Tasks: 1})
		wave.Machines = append(wave.Machines, machines[i].Name)
	}
	loads := map[string]PoolLoad{"pool": {DemandMilliCPU: 90, CapacityMilliCPU: 100}}
	plan := Decide(now, []Wave{wave}, machines, loads, nil, Params{MaintenanceTime: 5 * time.Second, EmptyingTime: emptyingTime})
	assert.Assert(t, len(plan.Cordon) > 0)
	for name := range plan.Cordon {
		assert.Assert(t, name >= "m08", "%s is in use", name)
	}
}

// Guards against a wave that waits until a zone is taken back: it emptied machines there
// whose service tasks had no room elsewhere, and no others.
func TestWaveDoesNotWaitForServicesInEvacuatedZone(t *testing.T) {
	now := time.Unix(0, 0)
	wave := Wave{Number: 1, MaxDown: 2, Deadline: now.Add(time.Minute)}
	var machines []Machine
	for i := range 8 {
		m := Machine{Name: fmt.Sprintf("m%d", i), Pool: "pool", InService: true, Evacuated: i >= 4}
		if m.Evacuated {
			m.Services = 1
		}
		machines = append(machines, m)
		wave.Machines = append(wave.Machines, m.Name)
	}
	plan := Decide(now, []Wave{wave}, machines, nil, nil, Params{MaintenanceTime: 5 * time.Second, EmptyingTime: emptyingTime})
	assert.Assert(t, len(plan.Cordon) > 0)
	for name := range plan.Cordon {
		assert.Assert(t, name < "m4", "%s cannot be emptied", name)
	}
}

const emptyingTime = 2500 * time.Millisecond
