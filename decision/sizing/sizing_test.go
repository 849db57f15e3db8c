package sizing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const machineMilliCPU = 32000

// newMachines returns n machines of a pool of which nothing runs on the first
// free ones.
func newMachines(pool, kind string, n, free int) []Machine {
	var list []Machine
	for i := range n {
		list = append(list, Machine{Name: fmt.Sprintf("%s-%s-%d", pool, kind, i), Pool: pool, Kind: kind, Empty: i < free, Movable: true})
	}
	return list
}

// Guards against a plan that orders a machine twice, moves one on which work
// may run, or takes more from a pool than it may give.
func TestMovesAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := map[string]Pool{"idle": {Standby: true, MachineMilliCPU: machineMilliCPU}}
		var machines []Machine
		for _, name := range []string{"a", "b", "c"} {
			n := rapid.IntRange(0, 12).Draw(t, name)
			machines = append(machines, newMachines(name, "x", n, rapid.IntRange(0, n).Draw(t, name+"-free"))...)
			demand := rapid.Int64Range(0, 40).Draw(t, name+"-demand") * machineMilliCPU / 2
			pools[name] = Pool{
				UsualMachines: rapid.IntRange(0, 12).Draw(t, name+"-home"), DemandMilliCPU: demand, MachineMilliCPU: machineMilliCPU,
				ForecastMilliCPU: demand + rapid.Int64Range(0, 10).Draw(t, name+"-ahead")*machineMilliCPU,
				SurplusFor:       time.Duration(rapid.IntRange(0, 3).Draw(t, name+"-quiet")) * time.Second,
			}
		}
		machines = append(machines, newMachines("idle", "x", rapid.IntRange(0, 8).Draw(t, "idle"), 0)...)
		plan := Decide(pools, machines, 24)
		seen := make(map[string]bool)
		left := make(map[string]int)
		byName := make(map[string]Machine)
		for _, m := range machines {
			left[m.Pool]++
			byName[m.Name] = m
		}
		for _, move := range plan.Moves {
			m := byName[move.Machine]
			assert.Assert(t, !seen[move.Machine] && !plan.Cordon[move.Machine], "%s is taken twice", move.Machine)
			assert.Assert(t, m.Empty || pools[m.Pool].Standby, "%s is not empty", move.Machine)
			assert.Assert(t, move.From == m.Pool && move.To != m.Pool)
			seen[move.Machine] = true
			left[m.Pool]--
		}
		for name := range plan.Cordon {
			left[byName[name].Pool]--
		}
		for name, p := range pools {
			if before := len(machinesIn(machines, name)); !p.Standby && left[name] < before {
				assert.Assert(t, left[name] >= max(1, p.UsualMachines*minUsualPercent/100), "%s keeps %d", name, left[name])
			}
		}
	})
}

func machinesIn(list []Machine, pool string) []Machine {
	var in []Machine
	for _, m := range list {
		if m.Pool == pool {
			in = append(in, m)
		}
	}
	return in
}

// Guards against work that waits for a kind of machine that its pool has given
// away altogether.
func TestPoolKeepsOneOfEachKind(t *testing.T) {
	pools := map[string]Pool{
		"idle": {Standby: true, MachineMilliCPU: machineMilliCPU},
		"a":    {MachineMilliCPU: machineMilliCPU, SurplusFor: time.Minute},
	}
	machines := append(newMachines("a", "common", 6, 6), newMachines("a", "rare", 1, 1)...)
	for _, m := range Decide(pools, machines, 24).Moves {
		assert.Assert(t, m.Machine != "a-rare-0")
	}
}

// Guards against machines that arrive when the rise of a queue's demand is over:
// they are ordered for the demand at the time of their arrival.
func TestMachinesAreOrderedAheadOfRise(t *testing.T) {
	start := time.Unix(0, 0)
	trend := new(Trend)
	for i := range 5 {
		trend.Observe(start.Add(time.Duration(i)*200*time.Millisecond), int64(4+i)*machineMilliCPU)
	}
	ahead := trend.Forecast(2 * time.Second)
	assert.Equal(t, ahead, int64(18)*machineMilliCPU)
	pools := map[string]Pool{
		"idle": {Standby: true, MachineMilliCPU: machineMilliCPU},
		"a":    {DemandMilliCPU: 8 * machineMilliCPU, ForecastMilliCPU: ahead, MachineMilliCPU: machineMilliCPU},
	}
	machines := append(newMachines("a", "x", 8, 0), newMachines("idle", "x", 20, 0)...)
	assert.Equal(t, len(Decide(pools, machines, 24).Moves), 10)
}

// Guards against machines that are fetched for a demand that falls, or that one
// report alone shows.
func TestTrendOfFallingDemand(t *testing.T) {
	start := time.Unix(0, 0)
	trend := new(Trend)
	trend.Observe(start, 9000)
	assert.Equal(t, trend.Forecast(time.Second), int64(9000))
	trend.Observe(start.Add(time.Second), 4000)
	assert.Equal(t, trend.Forecast(time.Second), int64(4000))
}
