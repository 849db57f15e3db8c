package measure

import (
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// sums are what samples add up.
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

func (w *simulation) sample() {
	w.sampleBuffer()
	w.countSlotsInService()
	for s := range w.deployment.servers {
		w.sampleShare(s)
	}
	w.sampleLimits()
}

// sampleBuffer counts hosts that are out for maintenance or a move, and live
// hosts in the spare pool.
func (w *simulation) sampleBuffer() {
	n := 0
	for _, o := range w.planner.ledger.Entries {
		if o.Cause != budget.CauseFailed {
			n++
		}
	}
	for name, pool := range w.planner.assignments {
		if _, out := w.planner.ledger.Entries[name]; pool == w.deployment.sparePool && !out {
			n++
		}
	}
	w.sums.bufferHostMinutes += float64(n) * samplePeriod.Minutes()
}

// sampleShare adds the use of a service's slots while work waits, and the
// distance of its teams from their share while it is full.
func (w *simulation) sampleShare(service int) {
	slots, waiting, running := w.slots(service), 0, 0
	demand := make([]float64, len(w.deployment.teams))
	for t := range w.deployment.teams {
		running += w.running[service][t]
		waiting += w.waiting[service][t]
		demand[t] = float64(min(w.deployment.teams[t].limit, w.running[service][t]+w.waiting[service][t]))
	}
	if waiting > slots/4 && slots > 0 {
		w.sums.slotUse += float64(running) / float64(slots)
		w.sums.slotSamples++
	}
	if waiting == 0 || float64(running) < fullFraction*float64(slots) {
		return
	}
	fair := maxMinFair(w.deployment.teams, demand, float64(running))
	sum := 0.0
	for t := range w.deployment.teams {
		sum += math.Abs(float64(w.running[service][t])-fair[t]) / float64(running)
	}
	w.sums.shareDistance += sum / float64(len(w.deployment.teams))
	w.sums.fullSamples++
}

// fullFraction of a service's slots in use makes it full.
const fullFraction = 0.9

// slots returns the slots of a service's hosts in service.
func (w *simulation) slots(service int) int { return w.slotsInService[serviceName(service)] }

func (w *simulation) countSlotsInService() {
	clear(w.slotsInService)
	for name, pool := range w.planner.assignments {
		_, out := w.planner.ledger.Entries[name]
		if !out && w.platform.byName[name].Phase == fleet.PhaseLive {
			w.slotsInService[pool] += slotsPerServer
		}
	}
}

// maxMinFair returns the weighted max-min fair parts of total: teams that ask
// for less than their part get what they ask, and the rest is divided again
// (Bertsekas and Gallager, Data Networks, section 6.5.2).
func maxMinFair(teams []account, demand []float64, total float64) []float64 {
	parts := make([]float64, len(teams))
	open := make([]bool, len(teams))
	shares := 0.0
	for t := range teams {
		if demand[t] > 0 {
			open[t] = true
			shares += teams[t].share
		}
	}
	for shares > 0 {
		level := total / shares
		met := false
		for t := range teams {
			if open[t] && demand[t] <= level*teams[t].share {
				parts[t], open[t], met = demand[t], false, true
				total -= demand[t]
				shares -= teams[t].share
			}
		}
		if met {
			continue
		}
		for t := range teams {
			if open[t] {
				parts[t] = level * teams[t].share
			}
		}
		return parts
	}
	return parts
}

// sampleLimits adds the part of its limit that a team has running while it
// asks for at least its limit and no service where it waits is full.
func (w *simulation) sampleLimits() {
	for t, team := range w.deployment.teams {
		running, waiting, held := 0, 0, false
		for s := range w.deployment.servers {
			running += w.running[s][t]
			waiting += w.waiting[s][t]
			held = held || w.waiting[s][t] > 0 && w.full(s)
		}
		if running > team.limit {
			w.sums.overLimit++
		}
		if held || running+waiting < team.limit {
			continue
		}
		w.sums.limitUse += float64(running) / float64(team.limit)
		w.sums.limitSamples++
	}
}

func (w *simulation) full(service int) bool {
	running := 0
	for _, n := range w.running[service] {
		running += n
	}
	return float64(running) >= fullFraction*float64(w.slots(service))
}

// quantile returns the q quantile of a sample, zero of an empty one.
func quantile(sample []time.Duration, q float64) time.Duration {
	if len(sample) == 0 {
		return 0
	}
	slices.Sort(sample)
	return sample[min(len(sample)-1, int(q*float64(len(sample))))]
}
