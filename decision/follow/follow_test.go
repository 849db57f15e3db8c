package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/calltime"
)

const (
	// callTimeout is the longest time after which a call is given up, beyond its wait.
	callTimeout = calltime.MaxTimeout
	// tick is the resolution of the simulation.
	tick = 10 * time.Millisecond
)

// silence is a time in which the store answers nothing, neither then nor later.
type silence struct{ from, until time.Time }

type openCall struct {
	Call
	endsAt   time.Time
	answered bool
}

// Guards against a configuration, or a cancellation, that a process knows of only
// seconds after the store has become reachable again: a call that was sent just before
// was never answered, and the next one waited until it was given up, 3.25 s later.
func TestGapAfterSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.UnixMilli(1_000_000)
		response := time.Duration(rapid.IntRange(1, 70).Draw(rt, "response")) * tick
		var silences []silence
		at := start.Add(time.Second)
		for range rapid.IntRange(1, 5).Draw(rt, "silences") {
			at = at.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * tick)
			until := at.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "length")) * tick)
			silences = append(silences, silence{at, until})
			at = until
		}
		isSilent := func(t time.Time) bool {
			for _, s := range silences {
				if !t.Before(s.from) && t.Before(s.until) {
					return true
				}
			}
			return false
		}
		policy := rapid.SampledFrom([]Policy{Hedged, Single}).Draw(rt, "policy")
		f := New(policy)
		var open []openCall
		var heardAt time.Time
		for now := start; now.Before(at.Add(10 * time.Second)); now = now.Add(tick) {
			kept := open[:0]
			for _, c := range open {
				if now.Before(c.endsAt) {
					kept = append(kept, c)
					continue
				}
				f.Done(now, c.Number, c.answered)
			}
			open = kept
			if c, ok, again := f.Next(now, response); ok {
				// A call is lost if the store is silent when it arrives or when it is
				// answered.
				reply := now.Add(c.Wait + response)
				lost := isSilent(now) || isSilent(reply)
				endsAt := reply
				if lost {
					endsAt = now.Add(c.Wait + callTimeout)
				}
				open = append(open, openCall{c, endsAt, !lost})
				if !lost && !now.Before(at) && heardAt.IsZero() {
					// A change that had been made by then would be answered at once.
					heardAt = now.Add(response)
				}
			} else {
				assert.Assert(t, again.After(now))
			}
			assert.Assert(t, len(open) <= policy.MaxOpen)
		}
		assert.Assert(t, !heardAt.IsZero())
		bound := policy.MaxGap(callTimeout) + response + tick
		assert.Assert(t, heardAt.Sub(at) <= bound, "first answer %v after the last silence, want at most %v", heardAt.Sub(at), bound)
	})
}

// Guards against calls that are sent more often than necessary: a healthy store gets one
// each Wait, and one that refuses calls gets one each RetryDelay.
func TestCallsOfHealthyAndRefusingStore(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	f := New(Hedged)
	for range 10 {
		c, ok, _ := f.Next(now, 10*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, c.Wait, Hedged.Wait)
		_, ok, _ = f.Next(now.Add(Hedged.Wait+100*time.Millisecond), 10*time.Millisecond)
		assert.Assert(t, !ok)
		now = now.Add(Hedged.Wait + 10*time.Millisecond)
		f.Done(now, c.Number, true)
	}
	c, _, _ := f.Next(now, 10*time.Millisecond)
	f.Done(now, c.Number, false)
	_, ok, again := f.Next(now, 10*time.Millisecond)
	assert.Assert(t, !ok)
	assert.Equal(t, again.Sub(now), RetryDelay)
	c, ok, _ = f.Next(again, 10*time.Millisecond)
	assert.Assert(t, ok)
	assert.Assert(t, c.Doubtful)
	assert.Equal(t, c.Wait, time.Duration(0))
}

// Guards against calls for large answers that share the link of the host and all time
// out, as three calls for dozens of versions of the configuration did.
func TestSingleSendsOneCallAtATime(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	f := New(Single)
	c, ok, _ := f.Next(now, 10*time.Millisecond)
	assert.Assert(t, ok)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		_, ok, _ = f.Next(now, 10*time.Millisecond)
		assert.Assert(t, !ok)
	}
	f.Done(now, c.Number, false)
	_, ok, again := f.Next(now, 10*time.Millisecond)
	assert.Assert(t, !ok)
	c, ok, _ = f.Next(again, 10*time.Millisecond)
	assert.Assert(t, ok)
	assert.Assert(t, c.Doubtful)
}
