package budget

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// maxRetirementsPerChange limits the retirements in one change. 770
	// replaced hosts a day need one every two minutes. The limit is low so that
	// a fault in the host list that passes every other bound is noticed before
	// many hosts lose their pool.
	maxRetirementsPerChange = 4
	// toleratedMissingRack is the number of missing hosts, one rack, that are
	// still presumed replaced.
	toleratedMissingRack = 4
	// toleratedMissingDivisor limits the missing hosts to this fraction of all
	// (1/20). Of 377 hosts in a zone about one is replaced in 30 min; 18 missing
	// hosts are far above that and far below the outage of a zone.
	toleratedMissingDivisor = 20
	// smallGroupMissingDivisor limits them to this fraction (1/2) where a rack
	// is a large part of the hosts.
	smallGroupMissingDivisor = 2
)

// toleratedMissing returns how many of hosts may be missing at once before a
// network partition or an incomplete list is a more likely cause than
// replacement.
func toleratedMissing(hosts int) int {
	return min(max(toleratedMissingRack, hosts/toleratedMissingDivisor), hosts/smallGroupMissingDivisor)
}

// hostCensus counts the hosts in the host list and those missing from it. Hosts
// that were taken out of service on purpose do not count as missing.
type hostCensus struct {
	listedByZone, missingByZone map[fleet.AvailabilityZone]int
	// missingUnknownZone counts missing hosts whose zone is unknown or not yet
	// recorded. They count against every zone.
	missingUnknownZone        int
	totalListed, totalMissing int
}

// isMissingFailed reports whether e is a failed host missing from the list.
func isMissingFailed(e LedgerEntry, listed bool) bool { return e.Cause == CauseFailed && !listed }

// takeCensus counts hosts, and the assigned hosts that are missing from them.
func takeCensus(hosts []fleet.Host, assigned Assignments, out map[string]LedgerEntry) (hostCensus, map[string]bool) {
	c := hostCensus{listedByZone: make(map[fleet.AvailabilityZone]int), missingByZone: make(map[fleet.AvailabilityZone]int)}
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		c.listedByZone[h.Zone]++
		c.totalListed++
	}
	for host := range assigned {
		e, inLedger := out[host]
		if listed[host] || inLedger && e.Cause != CauseFailed {
			continue
		}
		c.totalMissing++
		if e.Zone == "" {
			c.missingUnknownZone++
			continue
		}
		c.missingByZone[e.Zone]++
	}
	return c, listed
}

// likelyReplaced reports whether a host that is missing in zone may be presumed
// replaced. The same bound applies to the whole list as to each zone, because a
// truncated list may lack hosts of all zones. A host that was never listed since
// the entry hosts started has no known zone and is never presumed replaced.
func (c hostCensus) likelyReplaced(zone fleet.AvailabilityZone) bool {
	if zone == "" || c.totalMissing > toleratedMissing(c.totalListed+c.totalMissing) {
		return false
	}
	missing := c.missingByZone[zone] + c.missingUnknownZone
	return missing <= toleratedMissing(c.listedByZone[zone]+missing)
}

// Absences records how long one process has seen failed hosts missing from
// plausible host lists. The zero value is ready for use. An Absences must be
// used by one goroutine only.
type Absences struct {
	asOf         time.Time
	missingSince map[string]time.Time
}

// Observe updates the absences from a host list, the assignments and the ledger
// in force. The absence of a host restarts when the list contains it, when too
// many hosts are missing for it to be presumed replaced (hosts that return after
// an outage then have the full time), and when no list was read for
// MaxHostListAge.
func (a *Absences) Observe(hosts *fleet.HostList, assigned Assignments, ledger *Ledger) {
	if hosts.AsOf.IsZero() {
		return
	}
	previous := a.missingSince
	if hosts.AsOf.Sub(a.asOf) > MaxHostListAge {
		previous = nil
	}
	a.asOf = hosts.AsOf
	a.missingSince = make(map[string]time.Time)
	census, listed := takeCensus(hosts.Hosts, assigned, ledger.Entries)
	for host, e := range ledger.Entries {
		if !isMissingFailed(e, listed[host]) {
			continue
		}
		since, known := previous[host]
		if !known || !census.likelyReplaced(e.Zone) {
			since = hosts.AsOf
		}
		a.missingSince[host] = since
	}
}

// missingFor returns how long host has been missing without interruption.
func (a *Absences) missingFor(host string) time.Duration {
	since, known := a.missingSince[host]
	if !known {
		return 0
	}
	return a.asOf.Sub(since)
}

// Retire removes hosts that were missing for at least after from the ledger and
// from their pools, at most maxRetirementsPerChange of them, and returns their
// names. It retires no host in a zone where so many are missing that a network
// partition or an incomplete list is the more likely cause.
func (d *Draft) Retire(a *Absences, after time.Duration) []string {
	if d.hostListStale() {
		return nil
	}
	census, listed := takeCensus(d.snapshot.Hosts.Hosts, d.snapshot.Assignments, d.ledger.Entries)
	var retired []string
	for _, host := range d.HostsInLedger() {
		e := d.ledger.Entries[host]
		if len(retired) == maxRetirementsPerChange {
			break
		}
		if !isMissingFailed(e, listed[host]) || !census.likelyReplaced(e.Zone) || a.missingFor(host) < after {
			continue
		}
		d.retire(e)
		retired = append(retired, host)
	}
	return retired
}

// retire removes a missing host's pool together with its entry. If it returns,
// it is assigned as a new host.
func (d *Draft) retire(e LedgerEntry) {
	d.assigned[e.Host] = NoPool
	d.removeEntry(e)
}
