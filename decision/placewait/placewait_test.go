package placewait

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawEnds(t *rapid.T) []End {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) End {
		return End{
			Median:       time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "median")),
			LogDeviation: rapid.Float64Range(0, 1.5).Draw(t, "deviation"),
			Age:          time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")),
		}
	}), 0, 40).Draw(t, "ends")
}

func drawRequest(t *rapid.T) *Request {
	left := time.Duration(rapid.Int64Range(-int64(5*time.Second), int64(40*time.Second)).Draw(t, "left"))
	allowance := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "allowance"))
	return &Request{
		Remaining:    time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "remaining")),
		LogDeviation: rapid.Float64Range(0, 1.5).Draw(t, "deviation"),
		Factor:       rapid.SampledFrom([]float64{0, 1, 1.5, 2, 3}).Draw(t, "factor"),
		Openings:     rapid.IntRange(0, 12).Draw(t, "openings"),
		Ahead:        rapid.IntRange(0, 12).Draw(t, "ahead"),
		AwayDelay:    time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "awayDelay")),
		IdleShare:    rapid.Float64Range(0, 1).Draw(t, "idleShare"),
		Deadlines:    []time.Duration{left, left + 2*allowance},
		Group:        rapid.Bool().Draw(t, "group"),
	}
}

// Guards against waits that cost more than they can save, and against waits after which a
// task misses an objective that it would have met by a start elsewhere.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		d := Decide(r, NewSupply(drawEnds(t)))
		if d.Action == StartHere {
			assert.Equal(t, d, Decision{})
			return
		}
		away := time.Duration(float64(r.Remaining) * r.Factor)
		assert.Assert(t, d.Until > 0 && d.Gain > 0)
		assert.Equal(t, d.Action == Prepare, r.Group)
		assert.Assert(t, float64(d.Until)*(1+r.IdleShare) <= float64(away-r.Remaining)+1)
		for _, deadline := range r.Deadlines {
			assert.Assert(t, away > deadline || d.Until+r.AwayDelay+away <= deadline, "misses %v", deadline)
		}
	})
}

// Guards against a wait that is begun because more runs occupy the rack or fewer others
// wait for it being taken for less room.
func TestLessRoomIsNoReasonToWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, ends := drawRequest(t), drawEnds(t)
		more := Decide(r, NewSupply(ends))
		r.Ahead++
		fewer := Decide(r, NewSupply(ends))
		assert.Assert(t, fewer.Gain <= more.Gain+time.Microsecond, "%v after %v", fewer, more)
	})
}

// Guards against waits where the placement does not matter, or where the rack is lost and
// no run there will make room.
func TestNothingToWaitFor(t *testing.T) {
	soon := []End{{Median: time.Second, LogDeviation: 0.1, Age: 950 * time.Millisecond}}
	r := Request{Remaining: 4 * time.Second, LogDeviation: 0.5, Factor: 1.5, Openings: 1}
	assert.Equal(t, Decide(&r, NewSupply(soon)).Action, Wait)
	assert.Equal(t, Decide(&r, NewSupply(nil)).Action, StartHere)
	r.Factor = 1
	assert.Equal(t, Decide(&r, NewSupply(soon)).Action, StartHere)
}

// Guards against treating an unsure estimate of an end like a sure one: runs of 2 s that
// have run for 1.9 s end soon only if that is known.
func TestUnsureEndsAreWaitedForLess(t *testing.T) {
	r := Request{Remaining: time.Second, LogDeviation: 0.5, Factor: 1.5, Openings: 1}
	supply := func(deviation float64) *Supply {
		return NewSupply([]End{{Median: 2 * time.Second, LogDeviation: deviation, Age: 1900 * time.Millisecond}})
	}
	assert.Equal(t, Decide(&r, supply(0.05)).Action, Wait)
	assert.Equal(t, Decide(&r, supply(1.2)).Action, StartHere)
}

// Guards against a gang that holds a machine idle for longer than it gains, while others
// could use it: two members of 1 s, the ends of whose predecessors are due in 0.7 s.
func TestIdleMachinesCount(t *testing.T) {
	ends := []End{{Median: time.Second, LogDeviation: 0.1, Age: 300 * time.Millisecond}, {Median: time.Second, LogDeviation: 0.1, Age: 300 * time.Millisecond}}
	r := Request{Remaining: time.Second, LogDeviation: 0.1, Factor: 2, Openings: 2, Group: true}
	assert.Equal(t, Decide(&r, NewSupply(ends)).Action, Prepare)
	r.IdleShare = 1
	assert.Equal(t, Decide(&r, NewSupply(ends)).Action, StartHere)
}

// BenchmarkDecide measures a decision about a rack of 8 machines with 20 runs each.
func BenchmarkDecide(b *testing.B) {
	var ends []End
	for i := range 160 {
		ends = append(ends, End{Median: time.Second, LogDeviation: 0.5, Age: time.Duration(i) * 10 * time.Millisecond})
	}
	r := Request{Remaining: time.Second, LogDeviation: 0.5, Factor: 3, Openings: 1, Deadlines: []time.Duration{2 * time.Second, 5 * time.Second}}
	for b.Loop() {
		Decide(&r, NewSupply(ends))
	}
}
