package budget

import (
	"maps"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Bound names a bound of a pool as it is spelled in the document.
type Bound string

// The bounds of a pool's availability budget.
const (
	BoundPool  Bound = "maxUnavailable"
	BoundZone  Bound = "maxUnavailablePerZone"
	BoundRacks Bound = "maxRacksOut"
)

// location is the availability zone and rack of a host. Rack names need to be
// unique only within their availability zone. The zero value means unknown.
type location struct {
	zone fleet.AvailabilityZone
	rack string
}

// usage counts the hosts of one pool that are unavailable.
type usage struct {
	total int
	zones map[fleet.AvailabilityZone]int
	racks map[location]int
	// unknownLocation counts unavailable hosts that are missing from the list
	// and whose location was never recorded. They count against every zone,
	// and each as a separate rack.
	unknownLocation int
}

func newUsage() *usage {
	return &usage{zones: make(map[fleet.AvailabilityZone]int), racks: make(map[location]int)}
}

func (u *usage) add(at location, n int) {
	u.total += n
	if at.zone == "" {
		u.unknownLocation += n
		return
	}
	u.zones[at.zone] += n
	u.racks[at] += n
	if u.racks[at] == 0 {
		delete(u.racks, at)
	}
}

// exceededBound returns the first bound of p that u exceeds. Every zone is
// checked, not only that of the requested host, so that a zone over its bound
// because of failures also blocks grants in the other zones of the pool.
func (u *usage) exceededBound(p document.Pool) (bound Bound, zone fleet.AvailabilityZone, limit, resulting int, ok bool) {
	if u.total > p.MaxUnavailable {
		return BoundPool, "", p.MaxUnavailable, u.total, true
	}
	if limit := p.MaxUnavailablePerZone; limit > 0 {
		for _, zone := range slices.Sorted(maps.Keys(u.zones)) {
			if n := u.zones[zone] + u.unknownLocation; n > limit {
				return BoundZone, zone, limit, n, true
			}
		}
	}
	if racks := len(u.racks) + u.unknownLocation; p.MaxRacksOut > 0 && racks > p.MaxRacksOut {
		return BoundRacks, "", p.MaxRacksOut, racks, true
	}
	return "", "", 0, 0, false
}
