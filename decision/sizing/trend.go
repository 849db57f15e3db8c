package sizing

import "time"

// Parameters of the forecast of a pool's demand.
const (
	// trendWindow is the time over which growth is measured. The demand of a
	// queue rises for about five seconds at the start of its peak.
	trendWindow = 800 * time.Millisecond
	// minTrendSpan is the shortest time between samples that shows growth.
	minTrendSpan = 300 * time.Millisecond
	// maxGrowthFactor bounds the forecast, in multiples of the present demand:
	// jobs that arrive together are not the start of a rise.
	maxGrowthFactor = 4
)

// Trend extrapolates the demand of one pool.
type Trend struct {
	samples []sample
}

type sample struct {
	at       time.Time
	milliCPU int64
}

// Observe adds a sample of the demand taken at now.
func (t *Trend) Observe(now time.Time, milliCPU int64) {
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) >= trendWindow {
		t.samples = t.samples[1:]
	}
	t.samples = append(t.samples, sample{now, milliCPU})
}

// Forecast returns the expected demand after lead if its present growth
// continues. A falling demand is expected to stay at its last value.
func (t *Trend) Forecast(lead time.Duration) int64 {
	if len(t.samples) == 0 {
		return 0
	}
	first, last := t.samples[0], t.samples[len(t.samples)-1]
	span := last.at.Sub(first.at)
	if span < minTrendSpan || last.milliCPU <= first.milliCPU {
		return last.milliCPU
	}
	perSecond := float64(last.milliCPU-first.milliCPU) / span.Seconds()
	return min(last.milliCPU+int64(perSecond*lead.Seconds()), maxGrowthFactor*last.milliCPU)
}
