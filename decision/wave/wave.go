// Package wave plans maintenance waves over the hosts of a pool, and moves of
// hosts between pools that follow demand.
//
// It does no I/O and keeps no state: any entry host can continue a wave from the
// ledger alone.
package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Weights holds the relative costs that a deployment assigns to its measures.
type Weights struct {
	// Share is the weight of work that waits because hosts are short.
	Share float64
	// Moves is the weight of one move of a host between pools.
	Moves float64
	// RollOut is the weight of the time that a wave takes.
	RollOut float64
	// Buffer is the weight of one host held spare.
	Buffer float64
}

// ParallelismParams determines how many hosts a wave takes out at once.
type ParallelismParams struct {
	Weights
	// Spare is the number of hosts kept in service beyond demand.
	Spare int
	// InitialMeanOut is the time that a host is assumed to be out of service
	// until one was measured.
	InitialMeanOut time.Duration
	// ReferenceRollOut is the roll-out time that costs as much as one host held
	// spare if both weights are equal.
	ReferenceRollOut time.Duration
	// SlowFactor is the ratio of the mean time out of service to the shortest
	// one above which the number in parallel is assumed to slow the platform.
	SlowFactor float64
}

// HostOrder returns the names of hosts in the order in which a wave takes them.
// Hosts of a rack follow each other, because a rack counts only once against
// MaxRacksOut, however many of its hosts are out together; racks alternate
// between availability zones, so that a bound per zone delays as few hosts as
// possible.
func HostOrder(hosts []fleet.Host) []string {
	type rack struct {
		zone  fleet.AvailabilityZone
		name  string
		round int
		hosts []string
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
	var racks []rack
	for _, h := range sorted {
		last := len(racks) - 1
		switch {
		case last < 0 || racks[last].zone != h.Zone:
			racks = append(racks, rack{zone: h.Zone, name: h.Rack})
		case racks[last].name != h.Rack:
			racks = append(racks, rack{zone: h.Zone, name: h.Rack, round: racks[last].round + 1})
		}
		r := &racks[len(racks)-1]
		r.hosts = append(r.hosts, h.Name)
	}
	slices.SortStableFunc(racks, func(a, b rack) int { return cmp.Compare(a.round, b.round) })
	names := make([]string, 0, len(hosts))
	for _, r := range racks {
		names = append(names, r.hosts...)
	}
	return names
}

// Plan is the outcome of one round of a wave.
type Plan struct {
	Granted []budget.LedgerEntry
	// Parallel is the number of hosts that may be out for the wave now.
	Parallel int
	// Reason tells what limits the wave, if anything does.
	Reason string
	// Refusal is the last refusal of the budget, if there was one.
	Refusal *budget.Refusal
}

// Next takes the next hosts of a wave out of service, as many as its limit,
// demand and the budget permit, or stops the wave when its failures reach the
// tolerance. needed is the number of hosts that the pool's demand requires.
// Changes are made in d.
func Next(d *budget.Draft, id string, needed int, p ParallelismParams) Plan {
	w, ok := d.Wave(id)
	if !ok || w.Ended() {
		return Plan{Reason: "ended"}
	}
	if tolerance := Tolerance(w); len(w.Failed) >= tolerance {
		reason := fmt.Sprintf("%d of its hosts failed; the tolerance is %d", len(w.Failed), tolerance)
		d.StopWave(id, reason)
		return Plan{Reason: reason}
	}
	out := d.WaveHostsOut(id)
	limit, reason := Parallel(w, out, d.AssignedHostCount(w.Pool)-d.UnavailableCount(w.Pool), needed, p)
	plan := Plan{Parallel: limit, Reason: reason}
	grantNext(d, w, limit-out, &plan)
	if out == 0 && len(plan.Granted) == 0 {
		endIfOnlyFailedRemain(d, id)
	}
	return plan
}

// grantNext grants up to n pending hosts of w in order. It drops hosts that left
// the pool and skips hosts that the budget refuses, unless the pool's own bound
// or a stale host list is the reason.
func grantNext(d *budget.Draft, w budget.Wave, n int, plan *Plan) {
	var removed []string
	defer func() { d.RemovePending(w.ID, removed) }()
	for _, host := range w.Pending {
		if len(plan.Granted) >= n {
			return
		}
		if pool, ok := d.Pool(host); !ok || pool != w.Pool {
			removed = append(removed, host)
			continue
		}
		o, refusal := d.Grant(budget.Request{Host: host, Cause: budget.CauseReboot, Wave: w.ID})
		if refusal == nil {
			plan.Granted = append(plan.Granted, o)
			removed = append(removed, host)
			continue
		}
		plan.Refusal = refusal
		if refusal.Bound == budget.BoundPool || refusal.Reason == fault.ReasonStaleHostList {
			plan.Reason = refusal.Error()
			return
		}
	}
}

// endIfOnlyFailedRemain ends a wave whose pending hosts all failed before their
// turn, so that failed hosts do not keep it open.
func endIfOnlyFailedRemain(d *budget.Draft, id string) {
	w, _ := d.Wave(id)
	for _, host := range w.Pending {
		if o, out := d.LedgerEntry(host); !out || o.Cause != budget.CauseFailed {
			return
		}
	}
	if n := len(w.Pending); n > 0 {
		d.StopWave(id, fmt.Sprintf("done but for %d hosts that failed before their turn", n))
	}
}

// Tolerance returns the number of failures at which w stops, at least one.
func Tolerance(w budget.Wave) int { return max(w.MaxFailed, 1) }

// Parallel returns how many hosts may be out for w, and the reason for that
// limit. out is the number out for it now, inService the number of hosts of the
// pool in service.
//
// With n hosts in parallel a wave of m hosts that take t each lasts m*t/n and
// needs n hosts held spare. The sum of both costs is least at the square root of
// m*t times the ratio of the weights. The time t is measured, so more hosts are
// taken in parallel if they are slow; but if the mean time exceeds the shortest
// by more than SlowFactor, the number in parallel is assumed to be the cause and
// is reduced in proportion. Each failure halves it. The number of hosts out
// never exceeds the failures still tolerated plus the hosts that have come back.
func Parallel(w budget.Wave, out, inService, needed int, p ParallelismParams) (n int, reason string) {
	ideal := leastCostParallel(w, out, p)
	if w.ShortestOutOfService > 0 && p.SlowFactor > 0 {
		ideal *= min(1, p.SlowFactor*float64(w.ShortestOutOfService)/float64(w.MeanOutOfService))
	}
	ideal /= float64(int(1) << min(len(w.Failed), 16))
	n, reason = max(1, int(math.Round(ideal))), "pace"
	capAt := func(limit int, limitReason string) {
		if limit < n {
			n, reason = max(limit, 0), limitReason
		}
	}
	if w.MaxParallel > 0 {
		capAt(w.MaxParallel, "maxParallel")
	}
	capAt(Tolerance(w)-len(w.Failed)+len(w.Done), "first hosts not back yet")
	capAt(out+inService-needed-p.Spare, "demand")
	return n, reason
}

func leastCostParallel(w budget.Wave, out int, p ParallelismParams) float64 {
	hosts := len(w.Pending) + len(w.Done) + len(w.Failed) + out
	if p.Buffer <= 0 || p.ReferenceRollOut <= 0 {
		return float64(hosts)
	}
	meanOut := w.MeanOutOfService
	if meanOut == 0 {
		meanOut = p.InitialMeanOut
	}
	return math.Sqrt(p.RollOut / p.Buffer * float64(hosts) * float64(meanOut) / float64(p.ReferenceRollOut))
}
