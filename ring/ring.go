// Package ring provides the bounded queue that joins duties.
//
// A Ring has a fixed capacity and one consuming duty. Producers choose between
// refusing at once (Offer) and waiting with a deadline (Put). Waiting blocks in
// the Go scheduler; nothing spins.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
)

// ErrFull is the class of errors returned when a ring had no room before the
// producer's deadline.
var ErrFull = errs.Class("ring full")

// Ring is a bounded queue of T. Any number of producers may use it at once;
// exactly one duty reads C.
type Ring[T any] struct {
	name      string
	ch        chan T
	highWater atomic.Int64
	refused   atomic.Int64

	depthGauge     tally.Gauge
	highWaterGauge tally.Gauge
	refusedCounter tally.Counter
}

// Stats is a snapshot of a ring's load.
type Stats struct {
	Name      string
	Capacity  int
	Depth     int
	HighWater int
	Refused   int64
}

// New returns a ring with room for capacity values, whose metrics carry the
// tag ring=name in scope. Capacity must be at least one.
func New[T any](name string, capacity int, scope tally.Scope) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1: " + name)
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	tagged := scope.Tagged(map[string]string{"ring": name})
	return &Ring[T]{
		name:           name,
		ch:             make(chan T, capacity),
		depthGauge:     tagged.Gauge("ring_depth"),
		highWaterGauge: tagged.Gauge("ring_high_water"),
		refusedCounter: tagged.Counter("ring_refused_total"),
	}
}

// Reply returns an unmetered ring of capacity one for a single answer. The
// answering duty never waits on it, because it is offered at most one value.
func Reply[T any]() *Ring[T] {
	return New[T]("reply", 1, tally.NoopScope)
}

// Name returns the ring's name.
func (r *Ring[T]) Name() string { return r.name }

// Offer adds v if there is room and reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		r.recordDepth()
		return true
	default:
		r.countRefusal()
		return false
	}
}

// OfferLatest adds v and, when the ring is full, discards the oldest values to
// make room. It is meant for notifications that supersede each other.
func (r *Ring[T]) OfferLatest(v T) {
	for !r.Offer(v) {
		select {
		case <-r.ch:
		default:
		}
	}
}

// Put adds v, waiting for room until ctx ends. It returns an ErrFull error
// when ctx ends first; v was then not added.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		r.recordDepth()
		return nil
	default:
	}
	select {
	case r.ch <- v:
		r.recordDepth()
		return nil
	case <-ctx.Done():
		r.countRefusal()
		return ErrFull.New("%s: %v", r.name, ctx.Err())
	}
}

// Take removes the oldest value, waiting until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel that the consuming duty reads. The channel is never
// closed.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Stats returns the ring's load and updates its gauges.
func (r *Ring[T]) Stats() Stats {
	s := Stats{
		Name:      r.name,
		Capacity:  cap(r.ch),
		Depth:     len(r.ch),
		HighWater: int(r.highWater.Load()),
		Refused:   r.refused.Load(),
	}
	r.depthGauge.Update(float64(s.Depth))
	r.highWaterGauge.Update(float64(s.HighWater))
	return s
}

func (r *Ring[T]) recordDepth() {
	depth := int64(len(r.ch))
	r.depthGauge.Update(float64(depth))
	for {
		high := r.highWater.Load()
		if depth <= high {
			return
		}
		if r.highWater.CompareAndSwap(high, depth) {
			r.highWaterGauge.Update(float64(depth))
			return
		}
	}
}

func (r *Ring[T]) countRefusal() {
	r.refused.Add(1)
	r.refusedCounter.Inc(1)
}
