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

// Guards against a second run of a non-idempotent request, an attempt past
// the deadline, and endless put-backs.
func TestPolicyNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := History{Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)}
		now, b := start, &Budget{}
		for step := 0; ; step++ {
			assert.Assert(t, step <= maxPutBacks+maxAttempts, "the attempts have no bound")
			h.Attempts++
			f := failureGenerator().Draw(t, "failure")
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			d := Decide(h, f, b, now)
			if d.Action == GiveUp {
				return
			}
			assert.Assert(t, f.NotRun || h.Idempotent, "repeats a request that may have run")
			assert.Assert(t, now.Before(h.Deadline), "repeats past the deadline")
			if d.Action == Requeue {
				h.Attempts--
				h.Requeues++
			}
		}
	})
}

// Guards against retry storms: the budget never gives more than a tenth of the
// successes and three a second beyond its cap.
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

// Guards against a budget that starves queues with little work.
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
