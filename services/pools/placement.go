package pools

import (
	"time"

	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// placementMeters holds the metrics of the tasks whose duration depends on the rack.
type placementMeters struct {
	dataRackTasks, rackSensitiveTasks   tally.Counter
	nearStarts, awayStarts              tally.Counter
	waitsBegun, waitsNear, waitsGivenUp tally.Counter
	waitTime                            tally.Histogram
}

func newPlacementMeters(scope tally.Scope) placementMeters {
	tagged := func(name, tag, value string) tally.Counter {
		return scope.Tagged(map[string]string{tag: value}).Counter(name)
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return placementMeters{
		dataRackTasks:      tagged("placement_tasks_submitted_total", "preference", "data"),
		rackSensitiveTasks: tagged("placement_tasks_submitted_total", "preference", "group"),
		nearStarts:         tagged("placement_starts_total", "place", "near"),
		awayStarts:         tagged("placement_starts_total", "place", "away"),
		waitsBegun:         tagged("placement_waits_total", "step", "begun"),
		waitsNear:          tagged("placement_waits_total", "step", "near"),
		waitsGivenUp:       tagged("placement_waits_total", "step", "given-up"),
		waitTime:           scope.Histogram("placement_wait_seconds", buckets),
	}
}

// record adds the counts of a plan since they were last taken.
func (m *placementMeters) record(c poolplan.PlacementCounts) {
	m.dataRackTasks.Inc(c.DataRackTasks)
	m.rackSensitiveTasks.Inc(c.RackSensitiveTasks)
	m.nearStarts.Inc(c.NearStarts)
	m.awayStarts.Inc(c.AwayStarts)
	m.waitsBegun.Inc(c.WaitsBegun)
	m.waitsNear.Inc(c.WaitsEndedNear)
	m.waitsGivenUp.Inc(c.WaitsGivenUp)
	for _, waited := range c.WaitTimes {
		m.waitTime.RecordDuration(waited)
	}
}
