package kernel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/kernel"
)

// faultyService has a restartable duty that panics in its first runs.
type faultyService struct {
	panics, runs int
}

func (s *faultyService) Provision(c *kernel.Context) error {
	c.AddRestartableDuty("faulty", func(ctx context.Context) {
		s.runs++
		if s.runs <= s.panics {
			panic("unexpected message")
		}
		<-ctx.Done()
	})
	return nil
}

// Guards against a process that ends because one duty met an unexpected message.
func TestRestartableDutyRunsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &faultyService{panics: 2}
		k := newKernel()
		k.Register("faulty", service)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.NilError(t, k.Run(ctx, time.Second))
		assert.Equal(t, service.runs, 3)
	})
}

// Guards against a process that goes on for ever with a duty that cannot run.
func TestDutyThatKeepsPanickingStopsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &faultyService{panics: 1000}
		k := newKernel()
		k.Register("faulty", service)
		started := time.Now()
		assert.ErrorContains(t, k.Run(t.Context(), time.Second), "duty faulty panicked 5 times")
		assert.Assert(t, time.Since(started) < 10*time.Second)
	})
}
