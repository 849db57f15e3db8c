package fleetplatform

import (
	"strings"
	"time"
)

// Zones of the stand-in. SecondZone has the executors whose identifier ends with an odd
// digit, FirstZone the others.
const (
	FirstZone  = "z1"
	SecondZone = "z2"
)

// EvacuateLimit is the time after a confirmed request from which nothing may start in a
// zone (evacuate-ms).
const EvacuateLimit = 5 * time.Second

// ZoneOf returns the zone of an executor.
func ZoneOf(id string) string {
	if id != "" && strings.ContainsRune("13579", rune(id[len(id)-1])) {
		return SecondZone
	}
	return FirstZone
}

// Evacuate writes the row that requests the evacuation of a zone, and returns when the
// store had confirmed it.
func (f *Fleet) Evacuate(zone string) time.Time {
	f.Store.Put("op", "", "evacuate/"+zone, struct{}{})
	return time.Now()
}

// TakeBack removes the row.
func (f *Fleet) TakeBack(zone string) { f.Store.Remove("op", "", "evacuate/"+zone) }

// StartsIn returns the runs that executors of a zone started between two times. Starts
// that were carried out late do not count.
func StartsIn(runs []Run, zone string, from, to time.Time) []Run {
	var started []Run
	for _, r := range runs {
		if ZoneOf(r.Executor) == zone && !r.Late && r.Start.After(from) && r.Start.Before(to) {
			started = append(started, r)
		}
	}
	return started
}
