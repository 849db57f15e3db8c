package rotation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const usual = int64(100_000)

// start is the beginning of each simulation.
var start = time.Unix(1000, 0)

// demandAt returns the demand of a pool that has its peak during 6 s from each of
// the given times, in seconds.
func demandAt(now time.Time, peaks ...float64) int64 {
	for _, p := range peaks {
		if s := now.Sub(start).Seconds() - p; s >= 0 && s < 6 {
			return min(int64(s*100_000), 180_000) + 5_000
		}
	}
	return 5_000
}

// observe runs the rotation until the given second and returns the pools that were
// forecast at each whole second.
func observe(r *Rotation, seconds int, demands map[string]func(time.Time) int64) map[int]map[string]int64 {
	forecasts := make(map[int]map[string]int64)
	for ms := 0; ms <= seconds*1000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, pool := range []string{"a", "b", "c", "d"} {
			r.Observe(now, pool, demands[pool](now), usual)
		}
		if ms%1000 == 0 {
			forecasts[ms/1000] = r.Forecast(now, 3*time.Second)
		}
	}
	return forecasts
}

// turns are four queues that take turns of 10 s.
func turns() map[string]func(time.Time) int64 {
	demands := make(map[string]func(time.Time) int64)
	for i, pool := range []string{"a", "b", "c", "d"} {
		first := 2 + 10*float64(i)
		demands[pool] = func(now time.Time) int64 { return demandAt(now, first, first+40, first+80) }
	}
	return demands
}

// Guards against machines that arrive after the peak of a queue has begun, although
// the queues take turns at regular intervals.
func TestNextPeakIsForecast(t *testing.T) {
	forecasts := observe(new(Rotation), 60, turns())
	assert.Equal(t, len(forecasts[11]), 0, "one peak shows no rotation")
	assert.Equal(t, len(forecasts[20]), 2, "two pools had no peak yet")
	assert.Equal(t, len(forecasts[30]), 1)
	assert.Assert(t, forecasts[30]["d"] > usual, "forecast %v", forecasts[30])
	assert.Equal(t, len(forecasts[37]), 0, "too early")
	for second, pool := range map[int]string{40: "a", 50: "b", 60: "c"} {
		assert.Equal(t, len(forecasts[second]), 1)
		assert.Assert(t, forecasts[second][pool] > usual, "second %d: %v", second, forecasts[second])
	}
}

// Guards against a new owner of the machines that starts to learn from nothing.
func TestRestoredRotationForecasts(t *testing.T) {
	learnt := new(Rotation)
	observe(learnt, 38, turns())
	restored := Restore(learnt.Peaks())
	now := start.Add(40 * time.Second)
	for pool, demand := range turns() {
		restored.Observe(now, pool, demand(now), usual)
	}
	assert.Assert(t, restored.Forecast(now, 3*time.Second)["a"] > usual)
}

// Guards against a forecast for a peak that does not come: it is given up within a
// quarter of the interval.
func TestOverduePeakIsGivenUp(t *testing.T) {
	demands := turns()
	last := demands["d"]
	demands["d"] = func(now time.Time) int64 {
		if now.Sub(start) < 60*time.Second {
			return 5_000
		}
		return last(now)
	}
	forecasts := observe(new(Rotation), 40, demands)
	assert.Equal(t, len(forecasts[31]), 1)
	assert.Equal(t, len(forecasts[36]), 0)
}

// Guards against a dip of the demand, or a takeover during which none is known, that
// counts as the start of a second peak of the same pool.
func TestDipIsNoSecondPeak(t *testing.T) {
	r := new(Rotation)
	for ms, demand := range []int64{5_000, 80_000, 90_000, 0, 0, 90_000, 90_000} {
		r.Observe(start.Add(time.Duration(ms)*2*time.Second), "a", demand, usual)
	}
	assert.Equal(t, len(r.Peaks()), 1)
}

// Guards against forecasts from peaks without a rhythm, and against a history that
// grows without bound.
func TestIrregularPeaksGiveNoForecast(t *testing.T) {
	r := new(Rotation)
	at := start
	for i, gap := range []time.Duration{0, 10, 31, 5, 57, 12, 80, 4, 33, 9, 71, 15, 6, 44, 21, 95, 8, 52, 3} {
		at = at.Add(gap * time.Second)
		pool := []string{"a", "b", "c"}[i%3]
		r.Observe(at, pool, 5_000, usual)
		r.Observe(at.Add(100*time.Millisecond), pool, 90_000, usual)
		r.Observe(at.Add(2900*time.Millisecond), pool, 5_000, usual)
	}
	assert.Assert(t, len(r.Peaks()) <= maxHistory)
	assert.Equal(t, len(r.Forecast(at.Add(10*time.Second), 3*time.Second)), 0)
}

// Guards against a panic or a forecast without bound for any sequence of demands.
func TestForecastIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := new(Rotation), start
		highest := usual
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 4000).Draw(t, "ms")) * time.Millisecond)
			pool := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "pool")
			demand := rapid.Int64Range(0, 5*usual).Draw(t, "demand")
			highest = max(highest, demand)
			r.Observe(now, pool, demand, rapid.SampledFrom([]int64{0, usual}).Draw(t, "usual"))
			forecast := r.Forecast(now, 3*time.Second)
			assert.Assert(t, len(forecast) <= maxCandidates)
			for pool, f := range forecast {
				assert.Assert(t, f >= 0 && f <= highest, "%s: %d", pool, f)
			}
		}
	})
}
