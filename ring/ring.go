// Package ring provides the bounded queue through which duties communicate.
//
// A Ring has a fixed capacity and one consuming duty. When it is full, Offer
// refuses a value at once and Put waits for room until a deadline. Waiting blocks
// in the Go scheduler; nothing spins.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
)

// ErrFull is the class of errors returned when a ring stayed full until the
// producer's deadline.
var ErrFull = errs.Class("ring full")

// Ring is a bounded queue of T. Any number of producers may use it
// concurrently; exactly one duty reads from C.
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

// New returns a ring with room for capacity values, whose metrics in scope have
// the tag ring=name. It panics if capacity is less than one.
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

// Reply returns a ring of capacity one, without metrics, for a single answer.
// The answering duty never blocks on it, because it adds at most one value.
func Reply[T any]() *Ring[T] {
	return New[T]("reply", 1, tally.NoopScope)
}

func (r *Ring[T]) Name() string { return r.name }

// Offer adds v if there is room and reports whether v was added.
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
// make room. It is meant for notifications in which a newer value supersedes the
// older ones.
func (r *Ring[T]) OfferLatest(v T) {
	for !r.Offer(v) {
		select {
		case <-r.ch:
		default:
		}
	}
}

// Put adds v, waiting for room until ctx is done. If ctx is done first, it
// returns an error of class ErrFull and v was not added.
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

// Take removes and returns the oldest value, waiting for one until ctx is done.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel from which the consuming duty reads. It is never closed.
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
		previous := r.highWater.Load()
		if depth <= previous {
			return
		}
		if r.highWater.CompareAndSwap(previous, depth) {
			r.highWaterGauge.Update(float64(depth))
			return
		}
	}
}

func (r *Ring[T]) countRefusal() {
	r.refused.Add(1)
	r.refusedCounter.Inc(1)
}
