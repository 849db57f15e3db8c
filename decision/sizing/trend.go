package sizing

import "time"

// Bounds of the trend of a pool's demand.
const (
	// trendWindow is the time over which the growth is measured. The demand of a
	// queue rises for about five seconds when its turn comes.
	trendWindow = 800 * time.Millisecond
	// minTrendSpan is the shortest time that shows a growth.
	minTrendSpan = 300 * time.Millisecond
	// maxGrowthFactor bounds the demand that is expected, in multiples of the
	// present one: jobs that arrive together are not the start of a rise.
	maxGrowthFactor = 4
)

// Trend follows the demand of one pool.
type Trend struct {
	samples []sample
}

type sample struct {
	at       time.Time
	milliCPU int64
}

// Observe takes in the demand at now.
func (t *Trend) Observe(now time.Time, demand int64) {
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) >= trendWindow {
		t.samples = t.samples[1:]
	}
	t.samples = append(t.samples, sample{now, demand})
}

// Forecast returns the demand that is expected after lead, if it goes on to grow as
// it does. A demand that falls is expected to stay.
func (t *Trend) Forecast(lead time.Duration) int64 {
	if len(t.samples) == 0 {
		return 0
	}
	first, last := t.samples[0], t.samples[len(t.samples)-1]
	passed := last.at.Sub(first.at)
	if passed < minTrendSpan || last.milliCPU <= first.milliCPU {
		return last.milliCPU
	}
	growth := float64(last.milliCPU-first.milliCPU) / passed.Seconds()
	return min(last.milliCPU+int64(growth*lead.Seconds()), maxGrowthFactor*last.milliCPU)
}
