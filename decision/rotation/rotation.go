// Package rotation learns the rotation in which the demand of pools peaks, and
// predicts the next peak, so that machines can be moved before it begins.
//
// Queues of different pools have their peaks in turn, at regular intervals. The
// order is taken from earlier rounds; in the first round the next pool is one of
// those that have not had a peak yet. Peaks that do not fit the interval end the
// prediction until the recent ones are regular again.
package rotation

import (
	"slices"
	"time"
)

// Detection of peaks, in percent of the usual capacity of the pool.
const (
	// peakPercent is the demand from which a pool has a peak, and risePercent that
	// from which the peak counts as begun. Queues of few large jobs rise slowly,
	// and the starts of their peaks would appear late with one limit alone.
	peakPercent = 50
	risePercent = 22
	// endPercent is the demand below which the peak has ended.
	endPercent = 30
	// heightDelay is how long after its start the height of a peak is taken. It is
	// the demand for which machines have to be there; later ones arrive in time by
	// the trend of the demand.
	heightDelay = 2500 * time.Millisecond
)

// Conditions of a prediction.
const (
	// maxHistory is the number of peaks that are kept, three rounds of five pools.
	maxHistory = 15
	// maxIntervals is the number of recent intervals that are compared.
	maxIntervals = 4
	// tolerancePercent is how far an interval may be from the median, and a peak
	// from its predicted time, in percent of the interval.
	tolerancePercent = 25
	// maxCandidates is the largest number of pools for which machines are moved
	// while it is not known which of them is next.
	maxCandidates = 2
	// minInterval and maxInterval bound the intervals that count as a rotation.
	minInterval = 3 * time.Second
	maxInterval = 10 * time.Minute
)

// Peak is a peak of the demand of one pool.
type Peak struct {
	Pool  string
	Start time.Time
	// HeightMilliCPU is the demand heightDelay after the start; zero until then.
	HeightMilliCPU int64
}

// Rotation is what is known of the peaks. The zero value knows nothing.
type Rotation struct {
	// history has the peaks in the order of their starts.
	history []Peak
	// peaking has the pools whose peak has not ended.
	peaking map[string]bool
	// risingSince is when the demand of a pool was last below risePercent.
	risingSince map[string]time.Time
	usual       map[string]int64
}

// Restore returns a rotation with the given peaks, as returned by Peaks.
func Restore(peaks []Peak) *Rotation { return &Rotation{history: slices.Clone(peaks)} }

// Peaks returns the peaks that are known, the oldest first.
func (r *Rotation) Peaks() []Peak { return slices.Clone(r.history) }

// Observe records the demand of a pool at now, and reports whether Peaks has
// changed. usualMilliCPU is the usual capacity of the pool.
func (r *Rotation) Observe(now time.Time, pool string, demandMilliCPU, usualMilliCPU int64) bool {
	if r.peaking == nil {
		r.peaking, r.usual, r.risingSince = make(map[string]bool), make(map[string]int64), make(map[string]time.Time)
	}
	r.usual[pool] = usualMilliCPU
	if demandMilliCPU*100 < usualMilliCPU*risePercent || r.risingSince[pool].IsZero() {
		r.risingSince[pool] = now
	}
	last := r.lastOf(pool)
	switch {
	case usualMilliCPU <= 0:
		return false
	case r.peaking[pool] && demandMilliCPU*100 < usualMilliCPU*endPercent:
		delete(r.peaking, pool)
	case r.peaking[pool]:
		if last != nil && last.HeightMilliCPU == 0 && now.Sub(last.Start) >= heightDelay {
			last.HeightMilliCPU = demandMilliCPU
			return true
		}
	case demandMilliCPU*100 >= usualMilliCPU*peakPercent:
		r.peaking[pool] = true
		if last != nil && last == &r.history[len(r.history)-1] {
			// A dip in between does not make it a second peak.
			return false
		}
		r.insert(Peak{Pool: pool, Start: r.risingSince[pool]})
		return true
	}
	return false
}

// insert adds a peak in the order of the starts and drops the oldest.
func (r *Rotation) insert(p Peak) {
	i := len(r.history)
	for i > 0 && r.history[i-1].Start.After(p.Start) {
		i--
	}
	r.history = slices.Insert(r.history, i, p)
	if len(r.history) > maxHistory {
		r.history = slices.Delete(r.history, 0, len(r.history)-maxHistory)
	}
}

// lastOf returns the last peak of a pool, or nil.
func (r *Rotation) lastOf(pool string) *Peak {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].Pool == pool {
			return &r.history[i]
		}
	}
	return nil
}

// Forecast returns the demand, in thousandths of a processor, of each pool whose
// next peak is expected to begin within lead or is somewhat overdue.
func (r *Rotation) Forecast(now time.Time, lead time.Duration) map[string]int64 {
	interval, ok := r.interval()
	if !ok {
		return nil
	}
	tolerance := interval * tolerancePercent / 100
	next := r.history[len(r.history)-1].Start.Add(interval)
	if now.Before(next.Add(-lead)) || now.After(next.Add(tolerance)) {
		return nil
	}
	forecast := make(map[string]int64)
	for _, pool := range r.candidates(interval) {
		forecast[pool] = r.height(pool)
	}
	return forecast
}

// interval returns the time between the starts of successive peaks, if the recent
// ones are regular.
func (r *Rotation) interval() (time.Duration, bool) {
	var recent []time.Duration
	for i := len(r.history) - 1; i > 0 && len(recent) < maxIntervals; i-- {
		recent = append(recent, r.history[i].Start.Sub(r.history[i-1].Start))
	}
	if len(recent) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(recent))
	median := sorted[len(sorted)/2]
	if median < minInterval || median > maxInterval {
		return 0, false
	}
	irregular := 0
	for _, d := range recent {
		if (d - median).Abs() > median*tolerancePercent/100 {
			irregular++
		}
	}
	return median, irregular*3 <= len(recent)
}

// candidates returns the pools that may have the next peak: the one that followed
// the last pool before, or those that have had none yet, or the one whose last peak
// is the oldest.
func (r *Rotation) candidates(interval time.Duration) []string {
	last := len(r.history) - 1
	for i := last - 1; i >= 0; i-- {
		follows := r.history[i+1].Start.Sub(r.history[i].Start)
		if r.history[i].Pool == r.history[last].Pool && follows <= interval+interval*tolerancePercent/100 {
			return []string{r.history[i+1].Pool}
		}
	}
	var candidates []string
	for pool, usual := range r.usual {
		if usual > 0 && r.lastOf(pool) == nil {
			candidates = append(candidates, pool)
		}
	}
	switch {
	case len(candidates) > maxCandidates:
		return nil
	case len(candidates) == 0:
		return r.leastRecent()
	}
	slices.Sort(candidates)
	return candidates
}

// leastRecent returns the pool whose last peak is the oldest.
func (r *Rotation) leastRecent() []string {
	seen := make(map[string]bool)
	pool := ""
	for i := len(r.history) - 1; i >= 0; i-- {
		if p := r.history[i].Pool; !seen[p] {
			seen[p] = true
			pool = p
		}
	}
	return []string{pool}
}

// height returns the expected height of a pool's next peak: that of its last one,
// or its usual capacity times the mean factor of the other pools.
func (r *Rotation) height(pool string) int64 {
	if p := r.lastOf(pool); p != nil && p.HeightMilliCPU > 0 {
		return p.HeightMilliCPU
	}
	sum, count := 0.0, 0
	for i := range r.history {
		if usual := r.usual[r.history[i].Pool]; usual > 0 && r.history[i].HeightMilliCPU > 0 {
			sum += float64(r.history[i].HeightMilliCPU) / float64(usual)
			count++
		}
	}
	if count == 0 {
		return r.usual[pool]
	}
	return int64(sum / float64(count) * float64(r.usual[pool]))
}
