package kernel

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

// Limits on the restarts of a duty that panics.
const (
	// restartDelay is the delay before a duty that panicked runs again.
	restartDelay = time.Second
	// maxPanics is the number of panics of one duty within panicWindow after which
	// the process stops, because what fails is not one message.
	maxPanics   = 5
	panicWindow = time.Minute
)

// AddRestartableDuty is AddDuty for a duty that can start again with nothing of
// what it knew: run drops the state that an earlier run may have left unfinished.
// After a panic, which is logged with its stack and counted in duty_panics_total,
// the duty runs again after restartDelay. A panic of a duty that was registered
// with AddDuty ends the process.
func (c *Context) AddRestartableDuty(name string, run func(context.Context)) {
	c.entry.duties = append(c.entry.duties, duty{name: name, run: run, restartable: true})
}

// supervise runs a restartable duty until it returns.
func (k *Kernel) supervise(ctx context.Context, d duty) {
	var panics []time.Time
	for {
		value := runRecovered(ctx, d)
		if value == nil {
			return
		}
		now := time.Now()
		k.log.Error().Str("duty", d.name).Str("panic", fmt.Sprint(value.value)).Bytes("stack", value.stack).Msg("duty panicked; running it again")
		k.scope.Tagged(map[string]string{"duty": d.name}).Counter("duty_panics_total").Inc(1)
		panics = append(panics, now)
		for now.Sub(panics[0]) > panicWindow {
			panics = panics[1:]
		}
		if len(panics) >= maxPanics {
			k.fail(Error.New("duty %s panicked %d times within %v: %v", d.name, len(panics), panicWindow, value.value))
		}
		timer := time.NewTimer(restartDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// fail makes Run stop the process. Only the first failure is kept.
func (k *Kernel) fail(err error) {
	select {
	case k.failures <- err:
	default:
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
