package budget

import (
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// MaxHostListAge is the age of the host list beyond which nothing is granted
// and no failure or recovery is recorded.
const MaxHostListAge = 30 * time.Second

// maxStoredOperations is how many operator requests a ledger remembers.
const maxStoredOperations = 128

// maxEndedWaves is how many ended waves a ledger keeps for display.
const maxEndedWaves = 16

// Snapshot is the state that a decision is made from. Document, Assignments and
// Ledger are of one revision; none is modified.
type Snapshot struct {
	Document    *document.Document
	Assignments Assignments
	Ledger      *Ledger
	// Hosts is the host list as this process last read it; Now is on the
	// same clock as its AsOf.
	Hosts *fleet.HostList
	Now   time.Time
}

// Draft is the next ledger in the making. Decisions taken on it see each
// other; none takes effect before the draft is committed on condition that
// the parts it was made from are unchanged. A Draft belongs to one goroutine.
type Draft struct {
	snapshot Snapshot
	declared []declaredPool
	pools    map[string]declaredPool
	listed   map[string]*fleet.Host
	usage    map[string]*usage

	ledger   Ledger
	changed  bool
	assigned Assignments
	sections map[string]bool
}

// NoPool in Outcome.Assigned means that a host is retired.
const NoPool = ""

// Outcome is what a draft changes.
type Outcome struct {
	// Ledger is the new content, nil when it is unchanged.
	Ledger *Ledger
	// Assigned are the hosts that get a pool or another one, or that lose
	// theirs (NoPool).
	Assigned Assignments
	// Sections are the document sections that the decisions rest on.
	Sections []string
}

// Empty reports whether there is nothing to commit.
func (o Outcome) Empty() bool { return o.Ledger == nil && len(o.Assigned) == 0 }

// NewDraft returns a draft that equals b. Its cost is linear in the number of
// hosts.
func NewDraft(b Snapshot) *Draft {
	if b.Hosts == nil {
		b.Hosts = &fleet.HostList{}
	}
	if b.Ledger == nil {
		b.Ledger = &Ledger{}
	}
	d := &Draft{
		snapshot: b,
		declared: declaredPools(b.Document),
		pools:    make(map[string]declaredPool),
		listed:   make(map[string]*fleet.Host, len(b.Hosts.Hosts)),
		usage:    make(map[string]*usage),
		ledger:   b.Ledger.clone(),
		assigned: make(Assignments),
		sections: make(map[string]bool),
	}
	for _, p := range d.declared {
		d.pools[p.Name] = p
		d.usage[p.Name] = newUsage()
	}
	for i := range b.Hosts.Hosts {
		d.listed[b.Hosts.Hosts[i].Name] = &b.Hosts.Hosts[i]
	}
	d.countUsage()
	return d
}

// countUsage counts each unavailable host once: through its entry in the
// ledger if it has one, else through the host list.
func (d *Draft) countUsage() {
	for _, o := range d.ledger.Entries {
		d.adjustUsage(o.Pool, location{o.Zone, o.Rack}, 1)
	}
	for host, pool := range d.snapshot.Assignments {
		if _, out := d.ledger.Entries[host]; out {
			continue
		}
		h, ok := d.listed[host]
		switch {
		case !ok:
			d.adjustUsage(pool, location{}, 1)
		case h.Phase != fleet.PhaseLive:
			d.adjustUsage(pool, location{h.Zone, h.Rack}, 1)
		}
	}
	d.countUnassigned()
}

// countUnassigned counts unavailable hosts without a pool against the pool
// that would adopt them, because another process may assign them before the
// draft is committed.
func (d *Draft) countUnassigned() {
	for i := range d.snapshot.Hosts.Hosts {
		h := &d.snapshot.Hosts.Hosts[i]
		if _, has := d.snapshot.Assignments[h.Name]; has || h.Phase == fleet.PhaseLive {
			continue
		}
		if p, ok := initialPool(d.declared, *h); ok {
			d.adjustUsage(p.Name, location{h.Zone, h.Rack}, 1)
		}
	}
}

func (d *Draft) adjustUsage(pool string, at location, n int) {
	if u, ok := d.usage[pool]; ok {
		u.add(at, n)
	}
}

// isUnavailable reports whether host is already counted as unavailable.
func (d *Draft) isUnavailable(host string) bool {
	if _, out := d.ledger.Entries[host]; out {
		return true
	}
	h, ok := d.listed[host]
	return !ok || h.Phase != fleet.PhaseLive
}

// hostListStale reports whether the host list is too old to decide from.
func (d *Draft) hostListStale() bool {
	asOf := d.snapshot.Hosts.AsOf
	return asOf.IsZero() || d.snapshot.Now.Sub(asOf) > MaxHostListAge
}

// Pool returns the pool of host in the draft; ok is false when it has none.
func (d *Draft) Pool(host string) (pool string, ok bool) {
	if pool, ok = d.assigned[host]; ok {
		return pool, pool != NoPool
	}
	pool, ok = d.snapshot.Assignments[host]
	return pool, ok
}

// LedgerEntry returns host's entry in the draft.
func (d *Draft) LedgerEntry(host string) (LedgerEntry, bool) {
	o, ok := d.ledger.Entries[host]
	return o, ok
}

// HostsInLedger returns the hosts in the ledger in alphabetical order.
func (d *Draft) HostsInLedger() []string { return slices.Sorted(maps.Keys(d.ledger.Entries)) }

// WaveIDs returns the identifiers of the waves in alphabetical order.
func (d *Draft) WaveIDs() []string { return slices.Sorted(maps.Keys(d.ledger.Waves)) }

// WaveHostsOut returns the number of hosts of a wave that are out and have not
// failed.
func (d *Draft) WaveHostsOut(id string) int {
	n := 0
	for _, o := range d.ledger.Entries {
		if o.Wave == id && o.Cause != CauseFailed {
			n++
		}
	}
	return n
}

// AssignedHostCount returns the number of hosts assigned to pool.
func (d *Draft) AssignedHostCount(pool string) int {
	n := 0
	for host := range d.snapshot.Assignments {
		if in, _ := d.Pool(host); in == pool {
			n++
		}
	}
	return n
}

// Wave returns a wave of the draft.
func (d *Draft) Wave(id string) (Wave, bool) {
	w, ok := d.ledger.Waves[id]
	return w, ok
}

// UnavailableCount returns the number of hosts of pool counted as unavailable.
func (d *Draft) UnavailableCount(pool string) int {
	if u, ok := d.usage[pool]; ok {
		return u.total
	}
	return 0
}

// ListedHost returns host's entry in the host list.
func (d *Draft) ListedHost(host string) (fleet.Host, bool) {
	h, ok := d.listed[host]
	if !ok {
		return fleet.Host{}, false
	}
	return *h, true
}

// RecordOperation records the identifier of an operator's request and reports false
// when it was recorded before, so that the request has taken effect.
func (d *Draft) RecordOperation(changeID string) bool {
	if slices.Contains(d.ledger.Operations, changeID) {
		return false
	}
	d.ledger.Operations = append(d.ledger.Operations, changeID)
	if extra := len(d.ledger.Operations) - maxStoredOperations; extra > 0 {
		d.ledger.Operations = d.ledger.Operations[extra:]
	}
	d.changed = true
	return true
}

// Outcome returns what has changed. The draft must not be used afterwards.
func (d *Draft) Outcome() Outcome {
	o := Outcome{
		Assigned: d.assigned,
		Sections: slices.Sorted(maps.Keys(d.sections)),
	}
	if d.changed {
		o.Ledger = &d.ledger
	}
	return o
}

// clone copies the maps and the top-level slice. Slices inside waves are
// shared and replaced, never modified.
func (l *Ledger) clone() Ledger {
	next := Ledger{Entries: maps.Clone(l.Entries), Waves: maps.Clone(l.Waves), Operations: slices.Clone(l.Operations)}
	if next.Entries == nil {
		next.Entries = make(map[string]LedgerEntry)
	}
	if next.Waves == nil {
		next.Waves = make(map[string]Wave)
	}
	return next
}
