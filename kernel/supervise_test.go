package kernel_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/kernel"
)

// faultyService has a restartable duty that panics in its first runs.
type faultyService struct {
	panics int64
	runs   atomic.Int64
}

func (s *faultyService) Provision(c *kernel.Context) error {
	c.AddRestartableDuty("faulty", func(ctx context.Context) {
		if s.runs.Add(1) <= s.panics {
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
		assert.Equal(t, service.runs.Load(), int64(3))
	})
}

// soundService has a duty that must not notice the panics of others.
type soundService struct {
	kernelContext *kernel.Context
	interrupted   bool
}

func (s *soundService) Provision(c *kernel.Context) error {
	s.kernelContext = c
	c.AddRestartableDuty("sound", func(ctx context.Context) {
		<-ctx.Done()
		s.interrupted = context.Cause(ctx) != context.Canceled
	})
	return nil
}

// Guards against a process that ends, with all that its sound duties do, because one
// duty panics again and again: it ended after five panics within a minute. A host with a
// duty that cannot run must not look sound either, and recovers once the duty runs.
func TestDutyThatKeepsPanickingLeavesOthersRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty, sound := &faultyService{panics: 20}, &soundService{}
		k := newKernel()
		k.Register("faulty", faulty)
		k.Register("sound", sound)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Minute)
		defer cancel()
		assert.NilError(t, k.Provision())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx, time.Second) }()
		time.Sleep(6 * time.Second)
		assert.Assert(t, !sound.kernelContext.Failing(), "three panics are no reason to refuse clients")
		time.Sleep(10 * time.Second)
		assert.Assert(t, sound.kernelContext.Failing())
		time.Sleep(5 * time.Minute)
		assert.Assert(t, sound.kernelContext.Failing(), "the duty still panics at each start")
		assert.Assert(t, faulty.runs.Load() < 20, "%d starts: restarts do not become rarer", faulty.runs.Load())
		select {
		case err := <-ended:
			t.Fatalf("the process ended: %v", err)
		default:
		}
		time.Sleep(10 * time.Minute)
		assert.Equal(t, faulty.runs.Load(), int64(21))
		assert.Assert(t, !sound.kernelContext.Failing(), "the duty runs again")
		assert.NilError(t, <-ended)
		assert.Assert(t, !sound.interrupted)
	})
}
