package sizing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// twoPeaks returns a fleet in which the pool "early" holds nearly all machines while its
// backlog drains, and the demand of "next" has just risen beyond the rest.
func twoPeaks(lateMilliCPU int64) (map[string]Pool, []Machine) {
	pools := map[string]Pool{
		"idle":  {Standby: true, MachineMilliCPU: machineMilliCPU},
		"early": {UsualMachines: 20, DemandMilliCPU: 100 * machineMilliCPU, LateMilliCPU: lateMilliCPU, MachineMilliCPU: machineMilliCPU},
		"next":  {UsualMachines: 20, DemandMilliCPU: 60 * machineMilliCPU, MachineMilliCPU: machineMilliCPU},
	}
	machines := append(newMachines("early", "x", 90, 0), newMachines("next", "x", 10, 0)...)
	return pools, machines
}

// Guards against a load in which two queues peak one after the other: the pool of the
// first kept all machines until its backlog was gone, while the second had almost none.
// Of 100 machines, 62 would be its part in proportion; 80 are for work on time, which it
// keeps, with a tenth of its 90 above that.
func TestPoolGivesWhatWorkOnTimeLeaves(t *testing.T) {
	pools, machines := twoPeaks(28 * machineMilliCPU)
	assert.Equal(t, len(DecideDivided(pools, machines, 200).Cordon), 90-80-9)
}

// Guards against machines that are taken from work that can be on time: while they are
// emptied and moved they do nothing.
func TestPoolKeepsMachinesForWorkOnTime(t *testing.T) {
	pools, machines := twoPeaks(0)
	assert.Equal(t, len(DecideDivided(pools, machines, 200).Cordon), 0)
}

// Guards against machines that stay with work that can only be late while other work
// could be on time. Of the 23 machines that are left, "early" gets all beside the 11 for
// its work on time.
func TestWorkOnTimeComesBeforeLateWork(t *testing.T) {
	pools, machines := twoPeaks(90 * machineMilliCPU)
	assert.Equal(t, len(DecideDivided(pools, machines, 200).Cordon), 90-34-9)
}

// Guards against machines beyond its demand that stay with a pool whose work is late: its
// least number covers that work, and it was allotted machines for it once more.
func TestNoPoolIsAllottedMoreThanItDemands(t *testing.T) {
	pools, machines := twoPeaks(0)
	p := pools["early"]
	p.UsualMachines, p.DemandMilliCPU, p.LateMilliCPU = 60, 20*machineMilliCPU, 20*machineMilliCPU
	pools["early"] = p
	p = pools["next"]
	p.DemandMilliCPU, p.LateMilliCPU = 90*machineMilliCPU, 90*machineMilliCPU
	pools["next"] = p
	assert.Equal(t, len(DecideDivided(pools, machines, 200).Cordon), 90-30-9)
}

// Guards against machines that go to standby although their pool has work for them,
// because the pool that is short already has as many on their way as it may have.
func TestWantedMachinesStayOutOfStandby(t *testing.T) {
	pools, machines := twoPeaks(0)
	p := pools["early"]
	p.DemandMilliCPU, p.LateMilliCPU, p.SurplusFor = 88*machineMilliCPU, 40*machineMilliCPU, time.Minute
	pools["early"] = p
	p = pools["next"]
	p.Incoming = 5
	pools["next"] = p
	assert.Equal(t, len(DecideDivided(pools, machines, 5).Cordon), 0)
	assert.Assert(t, len(DecideDivided(pools, machines, 200).Cordon) > 0)
}

// Guards against machines that are cordoned back and forth between two pools that are
// both short while their demand hardly changes.
func TestDividedMachinesStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Int64Range(60, 100).Draw(t, "a")
		b := rapid.Int64Range(60, 100).Draw(t, "b")
		change := rapid.Int64Range(-5, 5).Draw(t, "change")
		pools := map[string]Pool{
			"a": {DemandMilliCPU: a * machineMilliCPU, MachineMilliCPU: machineMilliCPU, SurplusFor: time.Minute},
			"b": {DemandMilliCPU: b * machineMilliCPU, MachineMilliCPU: machineMilliCPU, SurplusFor: time.Minute},
		}
		held := int(100 * a / (a + b))
		machines := append(newMachines("a", "x", held, 0), newMachines("b", "x", 100-held, 0)...)
		p := pools["a"]
		p.DemandMilliCPU = max(a+a*change/100, 60) * machineMilliCPU
		pools["a"] = p
		assert.Equal(t, len(DecideDivided(pools, machines, 200).Cordon), 0)
	})
}

// Guards against allotments beyond the fleet, which would order machines that no pool
// can give.
func TestAllotmentsFitTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []*poolState
		total := 0
		for range rapid.IntRange(1, 5).Draw(t, "pools") {
			machines := rapid.IntRange(1, 60).Draw(t, "machines")
			total += machines
			demand := rapid.Int64Range(0, 200).Draw(t, "demand") * machineMilliCPU
			pools = append(pools, &poolState{
				Pool: Pool{
					DemandMilliCPU: demand, LateMilliCPU: demand * rapid.Int64Range(0, 100).Draw(t, "late") / 100, MachineMilliCPU: machineMilliCPU,
					UsualMachines: rapid.IntRange(0, 60).Draw(t, "usual"),
				},
				machines: machines, fixed: rapid.IntRange(0, machines).Draw(t, "fixed"), allotted: -1,
			})
		}
		divide(pools)
		sum := 0
		for _, p := range pools {
			if p.allotted < 0 {
				return
			}
			assert.Assert(t, p.allotted >= p.fixed)
			sum += p.allotted
		}
		assert.Assert(t, sum <= total, "%d machines are allotted, and there are %d", sum, total)
	})
}
