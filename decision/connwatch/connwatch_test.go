package connwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against closing the connection of a long request: while it runs, it
// holds a slot, so no report shows the server idle between its arrival and its
// answer. Other requests and probes come and go at any times.
func TestLongRequestIsNeverSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Monitor
		transit := rapid.IntRange(0, 200).Draw(t, "transit")
		runs := rapid.IntRange(0, 30000).Draw(t, "runs")
		c := Connection{Busy: true, LastProgress: start}
		arrival, answer := transit, 2*transit+runs
		for now := rapid.IntRange(-500, 1000).Draw(t, "first"); now < answer; now += rapid.IntRange(1, 1500).Draw(t, "step") {
			sent := now - rapid.IntRange(0, transit).Draw(t, "reportTransit")
			holds := sent >= arrival && sent < arrival+runs
			others := rapid.IntRange(0, 1).Draw(t, "others")
			used := others
			if holds {
				used++
			}
			w.Report(used, at(now))
			assert.Assert(t, !w.IsSilent(c, at(now)), "closed at %d ms, answer due at %d ms", now, answer)
		}
	})
}

// Guards against a silent connection that is kept although its server says
// that nothing runs, with probes alone and with frequent other replies, which
// show the server idle also before the request.
func TestSilentConnectionIsFound(t *testing.T) {
	for _, c := range []struct{ reportEvery, found int }{{0, 1500}, {50, 1000}} {
		var w Monitor
		conns := []Connection{{Busy: true, LastProgress: start}, {Busy: false, LastProgress: start}}
		found := -1
		for now := -500; now <= 3000 && found < 0; now += 50 {
			probe := w.StartProbeIfDue(conns, at(now))
			if probe || c.reportEvery > 0 && now%c.reportEvery == 0 {
				w.Report(0, at(now))
			}
			if w.IsSilent(conns[0], at(now)) {
				found = now
			}
			assert.Assert(t, !w.IsSilent(conns[1], at(now)), "an idle connection is no suspect")
		}
		assert.Equal(t, found, c.found)
	}
}

// Guards against reports that the server sent before the request arrived.
func TestReportBeforeArrivalProvesNothing(t *testing.T) {
	var w Monitor
	c := Connection{Busy: true, LastProgress: start}
	w.Report(0, at(10))
	w.Report(0, at(270))
	assert.Assert(t, !w.IsSilent(c, at(1100)))
}

// Guards against closing connections of a server that is slow as a whole and
// answers nothing.
func TestSlowServerAloneIsNotSilent(t *testing.T) {
	var w Monitor
	c := Connection{Busy: true, LastProgress: start}
	w.Report(0, at(-100))
	w.Report(0, at(100))
	assert.Assert(t, !w.IsSilent(c, at(60000)))
}
