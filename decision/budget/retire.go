package budget

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// maxRetirementsPerChange bounds the retirements of one change. 770 replaced hosts a
	// day need one in two minutes; a fault in the list that passes every
	// other bound is noticed before it has cost many hosts their pool.
	maxRetirementsPerChange = 4
	// toleratedMissingRack is the number of missing hosts, one rack, that is still
	// taken for hosts that were replaced.
	toleratedMissingRack = 4
	// toleratedMissingDivisor bounds the missing hosts to one part in toleratedMissingDivisor. Of
	// 377 hosts in a zone about one is replaced in 30 min, and a part of 18
	// is far above that and far below a zone that is cut off.
	toleratedMissingDivisor = 20
	// smallGroupMissingDivisor bounds them to one part in smallGroupMissingDivisor where a rack is
	// a large part of the hosts.
	smallGroupMissingDivisor = 2
)

// toleratedMissing returns how many of hosts may be missing at once before a
// partition or a broken list is the likelier cause than replaced hosts.
func toleratedMissing(hosts int) int {
	return min(max(toleratedMissingRack, hosts/toleratedMissingDivisor), hosts/smallGroupMissingDivisor)
}

// hostCensus counts the hosts that the list has and those that it lacks. Hosts
// that were taken out of service on purpose do not count as missing.
type hostCensus struct {
	listedByZone, missingByZone map[fleet.AvailabilityZone]int
	// missingUnknownZone counts missing hosts whose zone is not known or not recorded
	// yet. They count against every zone.
	missingUnknownZone        int
	totalListed, totalMissing int
}

// isMissingFailed reports whether o is a failed host that the list lacks.
func isMissingFailed(o LedgerEntry, listed bool) bool { return o.Cause == CauseFailed && !listed }

// takeCensus counts hosts, and the missing ones among those that are assigned.
func takeCensus(hosts []fleet.Host, assigned Assignments, out map[string]LedgerEntry) (hostCensus, map[string]bool) {
	c := hostCensus{listedByZone: make(map[fleet.AvailabilityZone]int), missingByZone: make(map[fleet.AvailabilityZone]int)}
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		c.listedByZone[h.Zone]++
		c.totalListed++
	}
	for host := range assigned {
		o, entered := out[host]
		if listed[host] || entered && o.Cause != CauseFailed {
			continue
		}
		c.totalMissing++
		if o.Zone == "" {
			c.missingUnknownZone++
			continue
		}
		c.missingByZone[o.Zone]++
	}
	return c, listed
}

// likelyReplaced reports whether a host that is missing in zone may be taken as
// replaced. The list may be cut short over all zones, so that the whole list
// is held to the same bound as each zone. The zone of a host that was never
// listed since the entry hosts started is not known and is never trusted.
func (c hostCensus) likelyReplaced(zone fleet.AvailabilityZone) bool {
	if zone == "" || c.totalMissing > toleratedMissing(c.totalListed+c.totalMissing) {
		return false
	}
	missing := c.missingByZone[zone] + c.missingUnknownZone
	return missing <= toleratedMissing(c.listedByZone[zone]+missing)
}

// Absences is how long one process has seen failed hosts missing from lists
// that it could trust. The zero value is ready for use. An Absences belongs to
// one goroutine.
type Absences struct {
	asOf         time.Time
	missingSince map[string]time.Time
}

// Observe takes in a list with the assignments and the ledger in force. The absence of a
// host starts anew when the list has it, when the lists of its zone could not
// be trusted, so that hosts coming back after an outage have the whole time,
// and when no list was read for MaxHostListAge.
func (a *Absences) Observe(hosts *fleet.HostList, assigned Assignments, ledger *Ledger) {
	if hosts.AsOf.IsZero() {
		return
	}
	before := a.missingSince
	if hosts.AsOf.Sub(a.asOf) > MaxHostListAge {
		before = nil
	}
	a.asOf = hosts.AsOf
	a.missingSince = make(map[string]time.Time)
	count, listed := takeCensus(hosts.Hosts, assigned, ledger.Entries)
	for host, o := range ledger.Entries {
		if !isMissingFailed(o, listed[host]) {
			continue
		}
		since, known := before[host]
		if !known || !count.likelyReplaced(o.Zone) {
			since = hosts.AsOf
		}
		a.missingSince[host] = since
	}
}

// missingFor returns for how long host was missing without a break.
func (a *Absences) missingFor(host string) time.Duration {
	since, known := a.missingSince[host]
	if !known {
		return 0
	}
	return a.asOf.Sub(since)
}

// Retire takes hosts that were missing for at least after out of the ledger
// and out of their pools, at most maxRetirementsPerChange of them, and returns their names.
// It retires nothing in a zone where so many hosts are missing that a
// partition or a broken list is the likelier cause.
func (d *Draft) Retire(a *Absences, after time.Duration) []string {
	if d.hostListStale() {
		return nil
	}
	count, listed := takeCensus(d.snapshot.Hosts.Hosts, d.snapshot.Assignments, d.ledger.Entries)
	var retired []string
	for _, host := range d.HostsInLedger() {
		o := d.ledger.Entries[host]
		if len(retired) == maxRetirementsPerChange {
			break
		}
		if !isMissingFailed(o, listed[host]) || !count.likelyReplaced(o.Zone) || a.missingFor(host) < after {
			continue
		}
		d.retire(o)
		retired = append(retired, host)
	}
	return retired
}

// retire takes a missing host's pool together with its entry. Should it come
// back, it is assigned as a new host.
func (d *Draft) retire(o LedgerEntry) {
	d.assigned[o.Host] = NoPool
	d.removeEntry(o)
}
