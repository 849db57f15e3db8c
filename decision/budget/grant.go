package budget

import (
	"fmt"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Request asks to take one host out of service.
type Request struct {
	Host  string
	Cause Cause
	// Wave is the wave on whose behalf the request is made, if any.
	Wave string
	// MoveTo is the target pool when Cause is CauseMove.
	MoveTo string
}

// Refusal is the error of a rejected decision. For fault.ReasonAvailabilityBudget it names
// the bound, its limit and the count that would result (Resulting).
type Refusal struct {
	Reason    fault.Reason
	Host      string
	Pool      string
	Bound     Bound
	Zone      fleet.AvailabilityZone
	Limit     int
	Resulting int
	Detail    string
}

// Error returns the refusal as text.
func (r *Refusal) Error() string {
	if r.Reason != fault.ReasonAvailabilityBudget {
		return fmt.Sprintf("host %q: %s", r.Host, r.Detail)
	}
	where := fmt.Sprintf("pool %q", r.Pool)
	if r.Zone != "" {
		where += fmt.Sprintf(", availability zone %q", r.Zone)
	}
	return fmt.Sprintf("host %q: %s of %s is %d, but the count would become %d", r.Host, r.Bound, where, r.Limit, r.Resulting)
}

func refuse(reason fault.Reason, host, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Host: host, Detail: fmt.Sprintf(format, args...)}
}

// Grant takes a host out of service if this does not exceed the budget of its
// pool, and adds its entry at StepDraining. A host that is already counted as
// unavailable (leaving without a grant) is not counted again, but is refused
// like any other while a bound of its pool is exceeded.
func (d *Draft) Grant(r Request) (LedgerEntry, *Refusal) {
	h, p, refusal := d.checkEligibility(r)
	if refusal != nil {
		return LedgerEntry{}, refusal
	}
	at := location{h.Zone, h.Rack}
	u := d.usage[p.Name]
	added := !d.isUnavailable(r.Host)
	if added {
		u.add(at, 1)
	}
	if bound, zone, limit, resulting, exceeded := u.exceededBound(p.Pool); exceeded {
		if added {
			u.add(at, -1)
		}
		return LedgerEntry{}, &Refusal{Reason: fault.ReasonAvailabilityBudget, Host: r.Host, Pool: p.Name, Bound: bound, Zone: zone, Limit: limit, Resulting: resulting}
	}
	e := LedgerEntry{
		Host: r.Host, Pool: p.Name, Zone: h.Zone, Rack: h.Rack,
		Cause: r.Cause, Step: StepDraining, Wave: r.Wave, MoveTo: r.MoveTo,
		Since: d.snapshot.Now, GrantedAt: d.snapshot.Now,
	}
	d.putEntry(e)
	d.sections[p.section] = true
	return e, nil
}

// checkEligibility returns the listed host and its pool, or a refusal for a
// reason other than the budget.
func (d *Draft) checkEligibility(r Request) (*fleet.Host, declaredPool, *Refusal) {
	var none declaredPool
	if d.hostListStale() {
		return nil, none, refuse(fault.ReasonStaleHostList, r.Host,
			"the host list is older than %v", MaxHostListAge)
	}
	if e, out := d.ledger.Entries[r.Host]; out {
		return nil, none, refuse(fault.ReasonHostAlreadyOut, r.Host, "already out of service (%s, %s)", e.Cause, e.Step)
	}
	h, ok := d.listed[r.Host]
	if !ok {
		return nil, none, refuse(fault.ReasonUnknownHost, r.Host, "not in the host list")
	}
	name, ok := d.Pool(r.Host)
	if !ok {
		return nil, none, refuse(fault.ReasonUnassignedHost, r.Host, "assigned to no pool yet")
	}
	p, ok := d.pools[name]
	if !ok {
		return nil, none, refuse(fault.ReasonUnknownPool, r.Host, "its pool %q is not declared", name)
	}
	if r.Cause == CauseMove {
		if refusal := d.checkMoveTarget(r, h, name); refusal != nil {
			return nil, none, refusal
		}
	}
	return h, p, nil
}

func (d *Draft) checkMoveTarget(r Request, h *fleet.Host, from string) *Refusal {
	to, ok := d.pools[r.MoveTo]
	if !ok {
		return refuse(fault.ReasonUnknownPool, r.Host, "target pool %q is not declared", r.MoveTo)
	}
	if to.Kind != h.Kind {
		return refuse(fault.ReasonWrongHostKind, r.Host, "a %s cannot move to pool %q of %s hosts", h.Kind, r.MoveTo, to.Kind)
	}
	if r.MoveTo == from {
		return refuse(fault.ReasonHostInService, r.Host, "already in pool %q", from)
	}
	d.sections[to.section] = true
	return nil
}

func (d *Draft) putEntry(e LedgerEntry) {
	d.ledger.Entries[e.Host] = e
	d.changed = true
}
