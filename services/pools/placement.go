package pools

import (
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// placementMeters holds the metrics of the tasks whose duration depends on the rack.
type placementMeters struct {
	dataRackTasks, rackSensitiveTasks tally.Counter
	nearStarts, awayStarts            tally.Counter
}

func newPlacementMeters(scope tally.Scope) placementMeters {
	tagged := func(name, tag, value string) tally.Counter {
		return scope.Tagged(map[string]string{tag: value}).Counter(name)
	}
	return placementMeters{
		dataRackTasks:      tagged("placement_tasks_submitted_total", "preference", "data-rack"),
		rackSensitiveTasks: tagged("placement_tasks_submitted_total", "preference", "rack-sensitive"),
		nearStarts:         tagged("placement_starts_total", "place", "near"),
		awayStarts:         tagged("placement_starts_total", "place", "away"),
	}
}

// record adds the counts of a plan since they were last taken.
func (m *placementMeters) record(c poolplan.PlacementCounts) {
	m.dataRackTasks.Inc(c.DataRackTasks)
	m.rackSensitiveTasks.Inc(c.RackSensitiveTasks)
	m.nearStarts.Inc(c.NearStarts)
	m.awayStarts.Inc(c.AwayStarts)
}
