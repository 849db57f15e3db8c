package ring_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/ring"
)

// Guards against a ring that exceeds its capacity or returns values out of order.
func TestOfferRefusesWhenFull(t *testing.T) {
	r := ring.New[int]("test", 2, nil)
	assert.Assert(t, r.Offer(1))
	assert.Assert(t, r.Offer(2))
	assert.Assert(t, !r.Offer(3))
	assert.Equal(t, <-r.C(), 1)
	assert.Equal(t, <-r.C(), 2)
	stats := r.Stats()
	assert.Equal(t, stats.HighWater, 2)
	assert.Equal(t, stats.Refused, int64(1))
}

// Guards against a Put that waits past its deadline, or that adds the value and
// returns ErrFull.
func TestPutHonoursDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("test", 1, nil)
		assert.Assert(t, r.Offer(1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err := r.Put(ctx, 2)
		assert.Assert(t, ring.ErrFull.Has(err))
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, r.Stats().Depth, 1)
	})
}

// Guards against a ring for notifications that keeps stale values instead of the
// newest ones.
func TestOfferLatestKeepsNewest(t *testing.T) {
	r := ring.New[int]("test", 2, nil)
	for i := range 5 {
		r.OfferLatest(i)
	}
	assert.Equal(t, <-r.C(), 3)
	assert.Equal(t, <-r.C(), 4)
}
