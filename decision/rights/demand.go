package rights

import (
	"math"
	"time"
)

const (
	// peakHoldTime is how long a peak of demand is remembered in full. It is
	// the hysteresis that keeps short gaps between requests from causing a
	// write of the row each.
	peakHoldTime = 2 * time.Second
	// peakHalfLife is the half-life of a remembered peak after peakHoldTime.
	peakHalfLife = 500 * time.Millisecond
	// headroomDivisor sets the headroom, one eighth of the recent peak, that a
	// host takes ahead of need where rights are free.
	headroomDivisor = 8
	// minWantedInterval is the shortest time between two writes that only record
	// what a host lacks. Without it a team at its limit wrote its row up to
	// 45 times a second with 8 entry hosts.
	minWantedInterval = 500 * time.Millisecond
	// floorDivisor sets the floor: the limit divided by four times the number of
	// hosts.
	floorDivisor = 4
)

// demand is the work of one team on this host: running, waiting requests and
// jobs, and the decaying peak of their sum.
type demand struct {
	used, waiting, waitingJobs int

	peak float64
	// peakHeldUntil is until when the peak does not decay.
	peakHeldUntil time.Time
	decayedAt     time.Time
}

func (d *demand) need() int { return d.used + d.waiting + d.waitingJobs }

// recordNeed records the present need plus extra, which was refused, at now.
func (d *demand) recordNeed(now time.Time, extra int) {
	need := float64(d.need() + extra)
	if need >= d.peak {
		d.peak = need
		d.peakHeldUntil = now.Add(peakHoldTime)
		d.decayedAt = d.peakHeldUntil
		return
	}
	if !now.After(d.decayedAt) {
		return
	}
	elapsed := now.Sub(d.decayedAt)
	d.decayedAt = now
	d.peak = need + (d.peak-need)*math.Exp2(-float64(elapsed)/float64(peakHalfLife))
	if d.peak-need < 0.5 {
		d.peak = need
	}
}

// rightsToKeep returns the rights worth holding: the recent peak with headroom, or the
// floor when that is more.
func (d *demand) rightsToKeep(floor int) int {
	return max(floor, withHeadroom(int(math.Ceil(d.peak))))
}

func withHeadroom(n int) int { return n + (n+headroomDivisor-1)/headroomDivisor }

// Floor returns the rights that an idle host holds of a limit that hosts entry
// hosts share: at least one where the limit is at or over the number of hosts.
func Floor(limit, hosts int) int {
	if hosts < 1 || limit < hosts {
		return 0
	}
	return max(1, limit/(floorDivisor*hosts))
}
