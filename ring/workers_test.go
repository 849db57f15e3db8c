package ring

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that wait for each other: a round of calls takes as long
// as the slowest, and its caller sees what all of them have written.
func TestWorkersRunTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := NewWorkers("test", 4, nil)
		for range 4 {
			go w.Run(ctx)
		}
		var results [4]int
		var calls []func(context.Context)
		for i := range results {
			calls = append(calls, func(context.Context) {
				time.Sleep(time.Duration(i+1) * time.Second)
				results[i] = i + 1
			})
		}
		start := time.Now()
		assert.Assert(t, w.RunAll(ctx, calls...))
		assert.Equal(t, time.Since(start), 4*time.Second)
		assert.Equal(t, results, [4]int{1, 2, 3, 4})
		cancel()
		assert.Assert(t, !w.RunAll(ctx, calls...), "reported calls that may not have run")
	})
}
