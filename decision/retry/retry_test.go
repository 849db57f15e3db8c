package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fault"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func failureGenerator() *rapid.Generator[Failure] {
	reasons := []fault.Reason{fault.ReasonNoSlots, fault.ReasonLeaving, fault.ReasonConnectFailed, fault.ReasonConnectionLost,
		fault.ReasonConnectionStalled, fault.ReasonWrongReply, fault.ReasonDeadline, fault.ReasonRingFull}
	return rapid.Custom(func(t *rapid.T) Failure {
		if rapid.IntRange(0, 9).Draw(t, "kind") > 0 {
			return Failure{NotRun: true, Reason: fault.ReasonNoSlots}
		}
		return Failure{NotRun: rapid.Bool().Draw(t, "notRun"), Reason: rapid.SampledFrom(reasons).Draw(t, "reason")}
	})
}

// TestPolicyNeverRepeatsWhatMayHaveRun guards against a second run of a
// non-idempotent request, an attempt past the deadline, and endless requeues.
func TestPolicyNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := History{Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)}
		now, b := start, &Budget{}
		for step := 0; ; step++ {
			assert.Assert(t, step <= maxRequeues+maxAttempts, "the number of attempts exceeds its limit")
			h.Attempts++
			f := failureGenerator().Draw(t, "failure")
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			d := Decide(h, f, b, now)
			if d.Action == GiveUp {
				return
			}
			assert.Assert(t, f.NotRun || h.Idempotent, "repeated a request that may have run")
			assert.Assert(t, now.Before(h.Deadline), "repeated a request past its deadline")
			if d.Action == Requeue {
				h.Attempts--
				h.Requeues++
			}
		}
	})
}

// TestBudgetBoundsRetries guards against retry storms: beyond its initial
// tokens, the budget never allows more retries than a tenth of the successes
// plus three per second.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, b := start, &Budget{}
		successes, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes++
			} else if b.take(now) {
				retries++
			}
			bound := tokensPerSecond + tokensPerSuccess*float64(successes) + tokensPerSecond*now.Sub(start).Seconds()
			assert.Assert(t, float64(retries) <= bound+1e-9, "%d retries, bound %v", retries, bound)
		}
	})
}

// TestBudgetGivesThreeASecond guards against a budget that denies retries to
// queues with few requests.
func TestBudgetGivesThreeASecond(t *testing.T) {
	now, b := start, &Budget{}
	for second := range 20 {
		for i := range 3 {
			assert.Assert(t, b.take(now), "second %d, retry %d", second, i)
		}
		assert.Assert(t, !b.take(now))
		now = now.Add(time.Second)
	}
}
