package calltime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a timeout outside its bounds, whatever the answers are.
func TestTimeoutStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimate
		for range rapid.IntRange(0, 40).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "answered") {
				e = e.Answered(time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "took")))
			} else {
				e = e.TimedOut()
			}
			assert.Assert(t, e.Timeout() >= MinTimeout && e.Timeout() <= MaxTimeout)
		}
	})
}

// Guards against a call that waits for seconds for an answer that was lost while
// the store answers within milliseconds.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	var e Estimate
	for range 20 {
		e = e.Answered(12 * time.Millisecond)
	}
	assert.Equal(t, e.Timeout(), MinTimeout)
}

// Guards against calls that are given up again and again although a slow store
// answers them: after few attempts the timeout is longer than its answers.
func TestTimeoutGrowsWithSlowStore(t *testing.T) {
	var e Estimate
	for range 20 {
		e = e.Answered(12 * time.Millisecond)
	}
	const slow = 1100 * time.Millisecond
	attempts := 0
	for e.Timeout() < slow {
		e = e.TimedOut()
		attempts++
	}
	assert.Assert(t, attempts <= 2)
	for range 4 {
		e = e.Answered(slow)
		assert.Assert(t, e.Timeout() > slow)
	}
}
