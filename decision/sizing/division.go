package sizing

// divisionHysteresisPercent is the part of its machines that a pool keeps above its
// allotment, so that small changes of the demand move no machines between pools
// that are both short.
const divisionHysteresisPercent = 10

// minDivisionHysteresis is the smallest number of machines that it keeps above. A tenth
// of a small pool is no machine.
const minDivisionHysteresis = 2

// divide allots the machines to the pools if their demand exceeds the fleet. The
// first pool to have a peak would otherwise keep all machines until its backlog is
// gone, although most of it is late by then.
//
// Work that can complete on time comes first, in proportion to the pools' demand of
// it; what is left is divided in proportion to the demand that is not covered yet. Machines that
// may not leave a pool count for it.
func divide(states []*poolState) {
	total, wanted := 0, 0
	for _, s := range states {
		total += s.machines
		if !s.Standby {
			wanted += max(s.wanted(), s.fixed)
		}
	}
	if wanted <= total {
		return
	}
	var pools []*poolState
	for _, s := range states {
		if s.Standby {
			s.allotted = 0
			continue
		}
		pools = append(pools, s)
	}
	left := allot(pools, total, func(s *poolState) int { return s.wantedOnTime() })
	allot(pools, left, func(s *poolState) int { return max(s.wanted()-s.allotted, 0) })
}

// wantedOnTime returns the part of wanted for work that can complete on time.
func (s *poolState) wantedOnTime() int {
	onTime := max((s.DemandMilliCPU-s.LateMilliCPU)*targetPercent/100, s.ForecastMilliCPU-s.LateMilliCPU, 0)
	return min(s.machinesFor(onTime), s.wanted())
}

// allot divides machines among the pools in proportion to demand. No pool gets more
// than it demands or, in its first allotment, less than it has fixed and keeps whatever
// its demand. It returns what is left.
func allot(pools []*poolState, machines int, demand func(*poolState) int) int {
	type claim struct {
		s            *poolState
		least, wants int
	}
	var open []claim
	for _, s := range pools {
		least := 0
		if s.allotted < 0 {
			s.allotted = 0
			least = max(s.fixed, min(s.machines, s.UsualMachines*minUsualPercent/100), 1)
		}
		open = append(open, claim{s, least, max(demand(s), least)})
	}
	// Pools whose proportional part is below their least number are settled first,
	// since they reduce what is left for the others.
	for settled := true; settled; {
		settled = false
		sum := 0
		for _, c := range open {
			sum += c.wants
		}
		if sum <= machines {
			break
		}
		var rest []claim
		for _, c := range open {
			if c.wants*machines < c.least*sum {
				c.s.allotted += c.least
				machines -= c.least
				settled = true
				continue
			}
			rest = append(rest, c)
		}
		open = rest
	}
	sum := 0
	for _, c := range open {
		sum += c.wants
	}
	available := max(machines, 0)
	for _, c := range open {
		n := c.wants
		if sum > available {
			n = c.wants * available / sum
		}
		c.s.allotted += n
		machines -= n
	}
	return max(machines, 0)
}
