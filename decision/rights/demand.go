package rights

import (
	"math"
	"time"
)

const (
	// giveBackAfter is how long a peak of demand is remembered in full. It is
	// the hysteresis that keeps short gaps between requests from causing a
	// write of the row each.
	giveBackAfter = 2 * time.Second
	// peakHalfLife is the half-life of a remembered peak after giveBackAfter.
	peakHalfLife = 500 * time.Millisecond
	// headroomDivisor sets the headroom, one eighth of the recent peak, that a
	// host takes ahead of need where rights are free.
	headroomDivisor = 8
	// wantedPeriod is the shortest time between two writes that only record
	// what a host lacks. Without it a team at its limit wrote its row up to
	// 45 times a second with 8 entry hosts.
	wantedPeriod = 500 * time.Millisecond
	// floorDivisor sets the floor: the limit divided by four times the number of
	// hosts.
	floorDivisor = 4
)

// demand is the work of one team on this host: running, waiting requests and
// jobs, and the decaying peak of their sum.
type demand struct {
	used, waiting, waitingJobs int

	peak float64
	// held is until when the peak does not decay.
	held    time.Time
	decayed time.Time
}

func (d *demand) need() int { return d.used + d.waiting + d.waitingJobs }

// note records the present need plus extra, which was refused, at now.
func (d *demand) note(now time.Time, extra int) {
	need := float64(d.need() + extra)
	if need >= d.peak {
		d.peak = need
		d.held = now.Add(giveBackAfter)
		d.decayed = d.held
		return
	}
	if !now.After(d.decayed) {
		return
	}
	elapsed := now.Sub(d.decayed)
	d.decayed = now
	d.peak = need + (d.peak-need)*math.Exp2(-float64(elapsed)/float64(peakHalfLife))
	if d.peak-need < 0.5 {
		d.peak = need
	}
}

// keep returns the rights worth holding: the recent peak with headroom, or the
// floor when that is more.
func (d *demand) keep(floor int) int {
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
