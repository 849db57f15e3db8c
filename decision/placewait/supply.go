// Package placewait decides whether a task, or a group that starts together, starts
// where there is room now or waits for room in the placement in which it runs faster.
//
// It reads no clock: all times are relative to the time of the decision.
package placewait

import (
	"math"
	"time"
)

// End is the uncertain end of a run that makes room for one more start in the wanted
// placement. The run's duration is log-normal.
type End struct {
	// Median is the median duration of the whole run; zero or less means that the room is
	// there already.
	Median time.Duration
	// LogDeviation is the standard deviation of the duration's logarithm.
	LogDeviation float64
	// Age is how long the run has run without having ended.
	Age time.Duration
}

// minLogDeviation keeps a run that is older than expected from having no end at all.
const minLogDeviation = 0.05

// preparedEnd is an end with what its probability at each time has in common.
type preparedEnd struct {
	End
	// survived is the probability that the run lasts for its age.
	survived float64
}

func prepare(e End) preparedEnd {
	e.LogDeviation = max(e.LogDeviation, minLogDeviation)
	return preparedEnd{e, 1 - logNormalCDF(e.Age, e.Median, e.LogDeviation)}
}

// within returns the probability that the run ends within d, given that it has run for
// its age.
func (e *preparedEnd) within(d time.Duration) float64 {
	if e.Median <= 0 {
		return 1
	}
	if e.survived < minSurvival {
		// The run has outlasted its distribution; such a run lasts for its age again, at
		// a constant rate of ends.
		return 1 - math.Exp(-float64(d)/float64(max(e.Age, 1)))
	}
	return 1 - (1-logNormalCDF(e.Age+d, e.Median, e.LogDeviation))/e.survived
}

// minSurvival is the probability below which a quotient of two of them has no accuracy.
const minSurvival = 1e-9

// logNormalCDF returns the probability that a duration with a median and a standard
// deviation of its logarithm is at most d.
func logNormalCDF(d, median time.Duration, deviation float64) float64 {
	if d <= 0 {
		return 0
	}
	if deviation <= 0 {
		if d >= median {
			return 1
		}
		return 0
	}
	return normalCDF(math.Log(float64(d)/float64(median)) / deviation)
}

func normalCDF(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }

// The times at which a supply is evaluated. Each is gridRatio times the one before; the
// last one is 90 s, which is longer than a wait for tasks of seconds can be worth.
const (
	gridPoints = 32
	gridStart  = 8 * time.Millisecond
	gridRatio  = 1.35
)

var grid = newGrid()

func newGrid() (times [gridPoints]time.Duration) {
	t := float64(gridStart)
	for i := range times {
		times[i] = time.Duration(t)
		t *= gridRatio
	}
	return times
}

// Supply is how much room the ends of runs are expected to make as time passes. It is
// computed as far as it is asked for, and must not be used by several goroutines at once.
type Supply struct {
	ends []preparedEnd
	// mean and variance are those of the number of ends until each of the first known
	// times of the grid.
	mean, variance [gridPoints]float64
	known          int
}

// NewSupply returns the supply that the ends of runs make.
func NewSupply(ends []End) *Supply {
	s := &Supply{ends: make([]preparedEnd, len(ends))}
	for i, e := range ends {
		s.ends[i] = prepare(e)
	}
	return s
}

// computeUntil computes the supply until the i-th time of the grid.
func (s *Supply) computeUntil(i int) {
	for ; s.known <= i; s.known++ {
		for k := range s.ends {
			p := s.ends[k].within(grid[s.known])
			s.mean[s.known] += p
			s.variance[s.known] += p * (1 - p)
		}
	}
}

// atLeast returns the probability of at least n ends until the i-th time of the grid. It
// uses a normal distribution with a correction for whole numbers.
func (s *Supply) atLeast(i, n int) float64 {
	s.computeUntil(i)
	lacking := float64(n) - 0.5 - s.mean[i]
	if s.variance[i] <= 0 {
		if lacking <= 0 {
			return 1
		}
		return 0
	}
	return normalCDF(-lacking / math.Sqrt(s.variance[i]))
}
