package placement

import (
	"math"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// sampleWindow is the number of latest ended jobs of a queue from which its
// size is estimated.
const sampleWindow = 256

// minSamples is the number of samples below which the declared size is used.
const minSamples = 8

// sizeQuantile is the quantile of reported use taken as a queue's size.
const sizeQuantile = 0.95

// SizeEstimator estimates the sizes of jobs by queue, because declared sizes
// are far off. It is not safe for concurrent use.
type SizeEstimator struct {
	queues map[string]*window
}

type window struct {
	cpu, memory, accelerators []int64
	next                      int
	estimate                  fleet.Resources
}

// NewSizeEstimator returns a SizeEstimator without samples.
func NewSizeEstimator() *SizeEstimator { return &SizeEstimator{queues: make(map[string]*window)} }

// Observe adds the peak use that an ended job of queue reported.
func (e *SizeEstimator) Observe(queue string, peak fleet.Resources) {
	w := e.queues[queue]
	if w == nil {
		w = &window{}
		e.queues[queue] = w
	}
	w.cpu = setSample(w.cpu, w.next, peak.MilliCPU)
	w.memory = setSample(w.memory, w.next, peak.MemoryBytes)
	w.accelerators = setSample(w.accelerators, w.next, peak.Accelerators)
	w.next = (w.next + 1) % sampleWindow
	w.estimate = fleet.Resources{
		MilliCPU:     quantile(w.cpu),
		MemoryBytes:  quantile(w.memory),
		Accelerators: quantile(w.accelerators),
	}
}

// Size returns declared, raised in each dimension to the estimated size of the
// queue where that is larger. The estimate is capped at limit, so that it
// never makes a job infeasible whose declared size fits.
func (e *SizeEstimator) Size(queue string, declared, limit fleet.Resources) fleet.Resources {
	w := e.queues[queue]
	if w == nil || len(w.cpu) < minSamples {
		return declared
	}
	return maxOf(declared, minOf(w.estimate, limit))
}

func setSample(samples []int64, index int, v int64) []int64 {
	if len(samples) < sampleWindow {
		return append(samples, v)
	}
	samples[index] = v
	return samples
}

// quantile returns the nearest-rank quantile of samples.
func quantile(samples []int64) int64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	rank := int(math.Ceil(sizeQuantile * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}
