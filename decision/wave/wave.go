// Package wave plans maintenance waves over the hosts of a pool, and moves of
// hosts between pools that follow demand.
//
// It is free of I/O and keeps no state: a wave continues from the ledger
// alone, on any entry host.
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

// Weights are the relative costs of the measures that a deployment looks at.
type Weights struct {
	// Share is the weight of work that waits for want of hosts.
	Share float64
	// Moves is the weight of one move of a host between pools.
	Moves float64
	// RollOut is the weight of the time that a wave takes.
	RollOut float64
	// Buffer is the weight of one host held spare.
	Buffer float64
}

// PaceParams sets how fast waves go.
type PaceParams struct {
	Weights
	// Spare is the number of hosts kept in service beyond demand.
	Spare int
	// InitialMeanOut is the time a host is taken to be out before any was measured.
	InitialMeanOut time.Duration
	// ReferenceRollOut is the roll-out time that costs as much as one host held
	// spare when both weights are equal.
	ReferenceRollOut time.Duration
	// SlowFactor is the ratio of the mean time out to the shortest beyond
	// which the platform is taken to be slowed by the number in parallel.
	SlowFactor float64
}

// HostOrder returns the names of hosts in the order in which a wave takes them.
// Hosts of a rack follow each other, because a rack that is out at once uses
// up one of MaxRacksOut once; racks alternate between availability zones, so
// that a bound per zone holds up as few hosts as possible.
func HostOrder(hosts []fleet.Host) []string {
	type rack struct {
		zone  fleet.AvailabilityZone
		name  string
		turn  int
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
			racks = append(racks, rack{zone: h.Zone, name: h.Rack, turn: racks[last].turn + 1})
		}
		r := &racks[len(racks)-1]
		r.hosts = append(r.hosts, h.Name)
	}
	slices.SortStableFunc(racks, func(a, b rack) int { return cmp.Compare(a.turn, b.turn) })
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
	// Reason tells what holds the wave back, if anything does.
	Reason string
	// Refusal is the last refusal of the budget, if there was one.
	Refusal *budget.Refusal
}

// Next takes the next hosts of a wave out of service, as many as its pace,
// demand and the budget permit, or stops the wave when its failures reach the
// tolerance. needed is the number of hosts of the pool that demand asks for.
// Changes go into d.
func Next(d *budget.Draft, id string, needed int, p PaceParams) Plan {
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

// grantNext grants up to n pending hosts of w in order, passing over hosts
// that another bound than the pool's holds back.
func grantNext(d *budget.Draft, w budget.Wave, n int, plan *Plan) {
	var begun []string
	defer func() { d.RemovePending(w.ID, begun) }()
	for _, host := range w.Pending {
		if len(plan.Granted) >= n {
			return
		}
		if pool, ok := d.Pool(host); !ok || pool != w.Pool {
			begun = append(begun, host)
			continue
		}
		o, refusal := d.Grant(budget.Request{Host: host, Cause: budget.CauseReboot, Wave: w.ID})
		if refusal == nil {
			plan.Granted = append(plan.Granted, o)
			begun = append(begun, host)
			continue
		}
		plan.Refusal = refusal
		if refusal.Bound == budget.BoundPool || refusal.Reason == fault.ReasonStaleHostList {
			plan.Reason = refusal.Error()
			return
		}
	}
}

// endIfOnlyFailedRemain ends a wave whose pending hosts have all failed before
// their turn, so that dead hosts do not keep it open.
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

// Parallel returns how many hosts may be out for w, and what bounds them. out
// is the number out for it now, inService the number of hosts of the pool in
// service.
//
// With n hosts in parallel a wave of m hosts that take t each lasts m*t/n and
// holds n hosts spare. The sum of both costs is least at the square root of
// m*t times the ratio of the weights. The time t is measured, so slower hosts
// are taken more at once; but when hosts take longer than the fastest one by
// more than SlowFactor, the number in parallel is taken to be the cause and is
// reduced in proportion. Each failure halves it. Hosts out do not
// outnumber the failures still tolerated by more than have come back.
func Parallel(w budget.Wave, out, inService, needed int, p PaceParams) (n int, reason string) {
	ideal := leastCostParallel(w, out, p)
	if w.ShortestOutOfService > 0 && p.SlowFactor > 0 {
		ideal *= min(1, p.SlowFactor*float64(w.ShortestOutOfService)/float64(w.MeanOutOfService))
	}
	ideal /= float64(int(1) << min(len(w.Failed), 16))
	n, reason = max(1, int(math.Round(ideal))), "pace"
	bound := func(limit int, why string) {
		if limit < n {
			n, reason = max(limit, 0), why
		}
	}
	if w.MaxParallel > 0 {
		bound(w.MaxParallel, "maxParallel")
	}
	bound(Tolerance(w)-len(w.Failed)+len(w.Done), "first hosts not back yet")
	bound(out+inService-needed-p.Spare, "demand")
	return n, reason
}

func leastCostParallel(w budget.Wave, out int, p PaceParams) float64 {
	hosts := len(w.Pending) + len(w.Done) + len(w.Failed) + out
	if p.Buffer <= 0 || p.ReferenceRollOut <= 0 {
		return float64(hosts)
	}
	took := w.MeanOutOfService
	if took == 0 {
		took = p.InitialMeanOut
	}
	return math.Sqrt(p.RollOut / p.Buffer * float64(hosts) * float64(took) / float64(p.ReferenceRollOut))
}
