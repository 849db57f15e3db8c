package connwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLongRequestIsNeverSilent guards against closing the connection of a long
// request: while it runs, it holds a slot, so no report shows the server idle
// between its arrival and its answer. Other requests and probes occur at random
// times.
func TestLongRequestIsNeverSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Monitor
		transit := rapid.IntRange(0, 200).Draw(t, "transit")
		duration := rapid.IntRange(0, 30000).Draw(t, "runs")
		c := Connection{Busy: true, LastProgress: start}
		arrival, answer := transit, 2*transit+duration
		for now := rapid.IntRange(-500, 1000).Draw(t, "first"); now < answer; now += rapid.IntRange(1, 1500).Draw(t, "step") {
			sent := now - rapid.IntRange(0, transit).Draw(t, "reportTransit")
			holdsSlot := sent >= arrival && sent < arrival+duration
			otherRequests := rapid.IntRange(0, 1).Draw(t, "others")
			used := otherRequests
			if holdsSlot {
				used++
			}
			m.Report(used, at(now))
			assert.Assert(t, !m.IsSilent(c, at(now)), "closed at %d ms, answer due at %d ms", now, answer)
		}
	})
}

// TestSilentConnectionIsFound guards against a silent connection that is kept
// although its server reports that nothing runs, both with probes alone and
// with frequent other replies, which also show the server idle before the
// request.
func TestSilentConnectionIsFound(t *testing.T) {
	for _, c := range []struct{ reportEvery, found int }{{0, 1500}, {50, 1000}} {
		var m Monitor
		conns := []Connection{{Busy: true, LastProgress: start}, {Busy: false, LastProgress: start}}
		found := -1
		for now := -500; now <= 3000 && found < 0; now += 50 {
			probe := m.StartProbeIfDue(conns, at(now))
			if probe || c.reportEvery > 0 && now%c.reportEvery == 0 {
				m.Report(0, at(now))
			}
			if m.IsSilent(conns[0], at(now)) {
				found = now
			}
			assert.Assert(t, !m.IsSilent(conns[1], at(now)), "an idle connection is reported silent")
		}
		assert.Equal(t, found, c.found)
	}
}

// TestReportBeforeArrivalProvesNothing guards against closing a connection
// because of reports that the server sent before the request arrived.
func TestReportBeforeArrivalProvesNothing(t *testing.T) {
	var m Monitor
	c := Connection{Busy: true, LastProgress: start}
	m.Report(0, at(10))
	m.Report(0, at(270))
	assert.Assert(t, !m.IsSilent(c, at(1100)))
}

// TestSlowServerAloneIsNotSilent guards against closing connections of a server
// that answers nothing because it is slow.
func TestSlowServerAloneIsNotSilent(t *testing.T) {
	var m Monitor
	c := Connection{Busy: true, LastProgress: start}
	m.Report(0, at(-100))
	m.Report(0, at(100))
	assert.Assert(t, !m.IsSilent(c, at(60000)))
}
