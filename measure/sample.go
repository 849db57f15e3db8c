package measure

import (
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// sums accumulates the values of all samples.
type sums struct {
	bufferHostMinutes float64
	shareDistance     float64
	fullSamples       int
	limitUse          float64
	slotUse           float64
	slotSamples       int
	limitSamples      int
	overLimit         int
}

func (sim *simulation) sample() {
	sim.sampleBuffer()
	sim.countSlotsInService()
	for s := range sim.deployment.servers {
		sim.sampleShare(s)
	}
	sim.sampleLimits()
}

// sampleBuffer adds the hosts that are out of service for maintenance or a move,
// and the hosts in service in the spare pool.
func (sim *simulation) sampleBuffer() {
	n := 0
	for _, o := range sim.planner.ledger.Entries {
		if o.Cause != budget.CauseFailed {
			n++
		}
	}
	for name, pool := range sim.planner.assignments {
		if _, out := sim.planner.ledger.Entries[name]; pool == sim.deployment.sparePool && !out {
			n++
		}
	}
	sim.sums.bufferHostMinutes += float64(n) * samplePeriod.Minutes()
}

// sampleShare adds the slot utilisation of a service while work waits, and the
// distance of its teams from their fair shares while the service is full.
func (sim *simulation) sampleShare(service int) {
	slots, waiting, running := sim.slots(service), 0, 0
	demand := make([]float64, len(sim.deployment.teams))
	for t := range sim.deployment.teams {
		running += sim.running[service][t]
		waiting += sim.waiting[service][t]
		demand[t] = float64(min(sim.deployment.teams[t].limit, sim.running[service][t]+sim.waiting[service][t]))
	}
	if waiting > slots/4 && slots > 0 {
		sim.sums.slotUse += float64(running) / float64(slots)
		sim.sums.slotSamples++
	}
	if waiting == 0 || float64(running) < fullFraction*float64(slots) {
		return
	}
	fair := maxMinFair(sim.deployment.teams, demand, float64(running))
	sum := 0.0
	for t := range sim.deployment.teams {
		sum += math.Abs(float64(sim.running[service][t])-fair[t]) / float64(running)
	}
	sim.sums.shareDistance += sum / float64(len(sim.deployment.teams))
	sim.sums.fullSamples++
}

// fullFraction is the fraction of slots in use from which a service is full.
const fullFraction = 0.9

// slots returns the number of slots of a service's hosts in service.
func (sim *simulation) slots(service int) int { return sim.slotsInService[serviceName(service)] }

func (sim *simulation) countSlotsInService() {
	clear(sim.slotsInService)
	for name, pool := range sim.planner.assignments {
		_, out := sim.planner.ledger.Entries[name]
		if !out && sim.platform.byName[name].Phase == fleet.PhaseLive {
			sim.slotsInService[pool] += slotsPerServer
		}
	}
}

// maxMinFair divides total by weighted max-min fairness: teams that demand less
// than their part get their demand, and the rest is divided again
// (Bertsekas and Gallager, Data Networks, section 6.5.2).
func maxMinFair(teams []account, demand []float64, total float64) []float64 {
	parts := make([]float64, len(teams))
	unsatisfied := make([]bool, len(teams))
	shares := 0.0
	for t := range teams {
		if demand[t] > 0 {
			unsatisfied[t] = true
			shares += teams[t].share
		}
	}
	for shares > 0 {
		level := total / shares
		satisfied := false
		for t := range teams {
			if unsatisfied[t] && demand[t] <= level*teams[t].share {
				parts[t], unsatisfied[t], satisfied = demand[t], false, true
				total -= demand[t]
				shares -= teams[t].share
			}
		}
		if satisfied {
			continue
		}
		for t := range teams {
			if unsatisfied[t] {
				parts[t] = level * teams[t].share
			}
		}
		return parts
	}
	return parts
}

// sampleLimits adds the fraction of its limit that a team has running while it
// demands at least its limit and no service where it waits is full.
func (sim *simulation) sampleLimits() {
	for t, team := range sim.deployment.teams {
		running, waiting, blocked := 0, 0, false
		for s := range sim.deployment.servers {
			running += sim.running[s][t]
			waiting += sim.waiting[s][t]
			blocked = blocked || sim.waiting[s][t] > 0 && sim.full(s)
		}
		if running > team.limit {
			sim.sums.overLimit++
		}
		if blocked || running+waiting < team.limit {
			continue
		}
		sim.sums.limitUse += float64(running) / float64(team.limit)
		sim.sums.limitSamples++
	}
}

func (sim *simulation) full(service int) bool {
	running := 0
	for _, n := range sim.running[service] {
		running += n
	}
	return float64(running) >= fullFraction*float64(sim.slots(service))
}

// quantile returns the q quantile of a sample, or zero if it is empty. It sorts
// the sample in place.
func quantile(sample []time.Duration, q float64) time.Duration {
	if len(sample) == 0 {
		return 0
	}
	slices.Sort(sample)
	return sample[min(len(sample)-1, int(q*float64(len(sample))))]
}
