package budget

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// maxRetired bounds the retirements of one change. 770 replaced hosts a
	// day need one in two minutes; a fault in the list that passes every
	// other bound is noticed before it has cost many hosts their pool.
	maxRetired = 4
	// missingRack is the number of missing hosts, one rack, that is still
	// taken for hosts that were replaced.
	missingRack = 4
	// missingShare bounds the missing hosts to one part in missingShare. Of
	// 377 hosts in a zone about one is replaced in 30 min, and a part of 18
	// is far above that and far below a zone that is cut off.
	missingShare = 20
	// missingSmall bounds them to one part in missingSmall where a rack is
	// a large part of the hosts.
	missingSmall = 2
)

// tolerated returns how many of hosts may be missing at once before a
// partition or a broken list is the likelier cause than replaced hosts.
func tolerated(hosts int) int {
	return min(max(missingRack, hosts/missingShare), hosts/missingSmall)
}

// census counts the hosts that the list has and those that it lacks. Hosts
// that were taken out of service on purpose do not count as missing.
type census struct {
	listed, missing map[fleet.AvailabilityZone]int
	// unknown counts missing hosts whose zone is not known or not recorded
	// yet. They count against every zone.
	unknown               int
	allListed, allMissing int
}

// retirable reports whether o is a failed host that the list lacks.
func retirable(o Out, listed bool) bool { return o.Cause == CauseFailed && !listed }

// takeCensus counts hosts, and the missing ones among those that are assigned.
func takeCensus(hosts []fleet.Host, assigned Assignments, out map[string]Out) (census, map[string]bool) {
	c := census{listed: make(map[fleet.AvailabilityZone]int), missing: make(map[fleet.AvailabilityZone]int)}
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		c.listed[h.Zone]++
		c.allListed++
	}
	for host := range assigned {
		o, entered := out[host]
		if listed[host] || entered && o.Cause != CauseFailed {
			continue
		}
		c.allMissing++
		if o.Zone == "" {
			c.unknown++
			continue
		}
		c.missing[o.Zone]++
	}
	return c, listed
}

// trusts reports whether a host that is missing in zone may be taken as
// replaced. The list may be cut short over all zones, so that the whole list
// is held to the same bound as each zone. The zone of a host that was never
// listed since the entry hosts started is not known and is never trusted.
func (c census) trusts(zone fleet.AvailabilityZone) bool {
	if zone == "" || c.allMissing > tolerated(c.allListed+c.allMissing) {
		return false
	}
	missing := c.missing[zone] + c.unknown
	return missing <= tolerated(c.listed[zone]+missing)
}

// Absences is how long one process has seen failed hosts missing from lists
// that it could trust. The zero value is ready for use. An Absences belongs to
// one goroutine.
type Absences struct {
	asOf  time.Time
	since map[string]time.Time
}

// Observe takes in a list with the assignments and the ledger in force. The absence of a
// host starts anew when the list has it, when the lists of its zone could not
// be trusted, so that hosts coming back after an outage have the whole time,
// and when no list was read for MaxHostListAge.
func (a *Absences) Observe(hosts *fleet.HostList, assigned Assignments, ledger *Ledger) {
	if hosts.AsOf.IsZero() {
		return
	}
	before := a.since
	if hosts.AsOf.Sub(a.asOf) > MaxHostListAge {
		before = nil
	}
	a.asOf = hosts.AsOf
	a.since = make(map[string]time.Time)
	count, listed := takeCensus(hosts.Hosts, assigned, ledger.Out)
	for host, o := range ledger.Out {
		if !retirable(o, listed[host]) {
			continue
		}
		since, known := before[host]
		if !known || !count.trusts(o.Zone) {
			since = hosts.AsOf
		}
		a.since[host] = since
	}
}

// absent returns for how long host was missing without a break.
func (a *Absences) absent(host string) time.Duration {
	since, known := a.since[host]
	if !known {
		return 0
	}
	return a.asOf.Sub(since)
}

// Retire takes hosts that were missing for at least after out of the ledger
// and out of their pools, at most maxRetired of them, and returns their names.
// It retires nothing in a zone where so many hosts are missing that a
// partition or a broken list is the likelier cause.
func (d *Draft) Retire(a *Absences, after time.Duration) []string {
	if d.stale() {
		return nil
	}
	count, listed := takeCensus(d.basis.Hosts.Hosts, d.basis.Assignments, d.ledger.Out)
	var retired []string
	for _, host := range d.OutHosts() {
		o := d.ledger.Out[host]
		if len(retired) == maxRetired {
			break
		}
		if !retirable(o, listed[host]) || !count.trusts(o.Zone) || a.absent(host) < after {
			continue
		}
		d.retire(o)
		retired = append(retired, host)
	}
	return retired
}

// retire takes a missing host's pool together with its entry. Should it come
// back, it is assigned as a new host.
func (d *Draft) retire(o Out) {
	d.assigned[o.Host] = NoPool
	d.remove(o)
}
