package kernel

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

// Limits on the restarts of a duty that panics.
const (
	// restartDelay is the delay before a duty that panicked runs again. It doubles
	// with each further panic of a series, up to maxRestartDelay.
	restartDelay    = time.Second
	maxRestartDelay = 30 * time.Second
	// maxRestartDoublings keeps the doubled delay within the range of its type.
	maxRestartDoublings = 8
	// seriesGap is the time without a panic that ends a series. It is longer than
	// maxRestartDelay, so that a duty that fails at each start stays in one.
	seriesGap = time.Minute
	// failingAfter is the number of panics of a series from which the process counts
	// as failing, because what fails is not one message.
	failingAfter = 5
)

// AddRestartableDuty is AddDuty for a duty that can start again with nothing of
// what it knew: run drops the state that an earlier run may have left unfinished.
// After a panic, which is logged with its stack and counted in duty_panics_total,
// the duty runs again after restartDelay, and ever later if it goes on to panic; the
// other duties are not affected. A panic of a duty that was registered with AddDuty
// ends the process.
func (c *Context) AddRestartableDuty(name string, run func(context.Context)) {
	c.entry.duties = append(c.entry.duties, duty{name: name, run: run, restartable: true})
}

// Failing reports whether a duty of the process has panicked again and again until
// less than a minute ago. It may be called from any goroutine.
func (c *Context) Failing() bool {
	until := c.kernel.failingUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// supervise runs a restartable duty until it returns.
func (k *Kernel) supervise(ctx context.Context, d duty) {
	series := 0
	var lastPanic time.Time
	for {
		value := runRecovered(ctx, d)
		if value == nil {
			return
		}
		now := time.Now()
		k.log.Error().Str("duty", d.name).Str("panic", fmt.Sprint(value.value)).Bytes("stack", value.stack).Msg("duty panicked; running it again")
		k.scope.Tagged(map[string]string{"duty": d.name}).Counter("duty_panics_total").Inc(1)
		if now.Sub(lastPanic) > seriesGap {
			series = 0
		}
		series++
		lastPanic = now
		delay := min(restartDelay<<min(series-1, maxRestartDoublings), maxRestartDelay)
		if series >= failingAfter {
			until := now.Add(seriesGap)
			k.failingUntil.Store(&until)
			k.log.Error().Str("duty", d.name).Int("panics", series).Dur("delay", delay).Msg("a duty keeps failing; this host takes no new clients")
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// recovered is a panic with the stack at which it arose.
type recovered struct {
	value any
	stack []byte
}

// runRecovered runs a duty and returns its panic, or nil if it returned.
func runRecovered(ctx context.Context, d duty) (r *recovered) {
	defer func() {
		if value := recover(); value != nil {
			r = &recovered{value, debug.Stack()}
		}
	}()
	d.run(ctx)
	return nil
}
