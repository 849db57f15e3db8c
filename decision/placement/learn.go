package placement

import (
	"math"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// sampleWindow is the number of latest ended jobs of a queue that its learned
// size is computed from.
const sampleWindow = 256

// minSamples is the number of samples below which the declared size stands.
const minSamples = 8

// sizeQuantile is the quantile of reported use that counts as a queue's size.
const sizeQuantile = 0.95

// SizeEstimator learns the sizes of jobs by queue, because declared sizes are far
// off. It is not safe for concurrent use.
type SizeEstimator struct {
	queues map[string]*window
}

type window struct {
	cpu, memory, accelerators []int64
	next                      int
	estimate                  fleet.Resources
}

// NewSizeEstimator returns an empty Sizes.
func NewSizeEstimator() *SizeEstimator { return &SizeEstimator{queues: make(map[string]*window)} }

// Observe adds the highest use that an ended job of queue reported.
func (s *SizeEstimator) Observe(queue string, peak fleet.Resources) {
	w := s.queues[queue]
	if w == nil {
		w = &window{}
		s.queues[queue] = w
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

// Size returns declared, raised in each dimension to the learned size of the
// queue where that is larger. Within bounds the result, so that a learned
// size never makes a job that fits by its declaration impossible.
func (s *SizeEstimator) Size(queue string, declared, within fleet.Resources) fleet.Resources {
	w := s.queues[queue]
	if w == nil || len(w.cpu) < minSamples {
		return declared
	}
	return maxOf(declared, minOf(w.estimate, within))
}

func setSample(samples []int64, at int, v int64) []int64 {
	if len(samples) < sampleWindow {
		return append(samples, v)
	}
	samples[at] = v
	return samples
}

// quantile is the nearest-rank quantile of the window.
func quantile(samples []int64) int64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	rank := int(math.Ceil(sizeQuantile * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}
