package budget

import (
	"maps"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Bound names one bound of a pool, as the document spells it.
type Bound string

// The bounds of a pool's availability budget.
const (
	BoundPool  Bound = "maxUnavailable"
	BoundZone  Bound = "maxUnavailablePerZone"
	BoundRacks Bound = "maxRacksOut"
)

// location is where a host stands. Rack names need to be unique only within
// their availability zone. The zero place is unknown.
type location struct {
	zone fleet.AvailabilityZone
	rack string
}

// usage counts the hosts of one pool that are unavailable.
type usage struct {
	total int
	zones map[fleet.AvailabilityZone]int
	racks map[location]int
	// unknownLocation counts unavailable hosts whose place is not known: hosts that
	// are missing from the list and were never recorded. They count against
	// every zone, and each as a rack of its own.
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

// exceededBound returns the first bound of p that does not hold for u. Every zone is
// checked, not only the one of the host asked for, so that a zone pushed over
// its bound by failures blocks grants in the other zones of the pool too.
func (u *usage) exceededBound(p document.Pool) (b Bound, zone fleet.AvailabilityZone, limit, would int, ok bool) {
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
