package ctl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// placementFacts is what the store holds about the placement of a job.
type placementFacts struct {
	catalog   *catalog.Catalog
	owner     *whereOwner
	status    jobrecord.StatusRecord
	executors []poolplan.ExecutorUse
	// unknownUse has the executors about which the owner has published nothing.
	unknownUse []poolplan.Executor
	tenant     tenantRoom
	// evacuated has the availability zones that the operator has asked to evacuate.
	evacuated map[string]bool
	facts     []factView
	notes     []string
}

// obstacleUseUnknown is why nothing is said about placing work on an executor: the owner
// has not published its use.
const obstacleUseUnknown = "use-unknown"

// placementReader reads the facts of one pool.
type placementReader struct {
	adapter *platform.Adapter
	pool    string
	// ownerReadAt is when the owner's record was read first.
	ownerReadAt time.Time
	reads       []factRead
}

// factRead is a fact with the time at which it was read.
type factRead struct {
	factView
	at time.Time
}

func (r *placementReader) note(fact string, version int64, state string) {
	r.reads = append(r.reads, factRead{factView{Fact: fact, Version: version, State: state}, time.Now()})
}

// readPlacementFacts reads everything that placement in the job's pool depends on.
func readPlacementFacts(ctx context.Context, a *platform.Adapter, c *catalog.Catalog, job *placedJob) (*placementFacts, error) {
	r := &placementReader{adapter: a, pool: job.queue.Service, ownerReadAt: time.Now()}
	f := &placementFacts{catalog: c}
	owner, ownerVersion, err := readRecord[jobrecord.OwnerRecord](ctx, a, jobrecord.OwnerKey(r.pool))
	if err != nil {
		return nil, err
	}
	if err := r.readStatus(ctx, f); err != nil {
		return nil, err
	}
	if err := r.readExecutors(ctx, f); err != nil {
		return nil, err
	}
	if err := r.readTenant(ctx, f, job); err != nil {
		return nil, err
	}
	if f.owner, err = r.observeOwner(ctx, owner, ownerVersion); err != nil {
		return nil, err
	}
	f.addNotes()
	for _, read := range r.reads {
		read.AgeMs = milliseconds(time.Since(read.at))
		f.facts = append(f.facts, read.factView)
	}
	return f, nil
}

func (r *placementReader) readStatus(ctx context.Context, f *placementFacts) error {
	status, version, err := readRecord[jobrecord.StatusRecord](ctx, r.adapter, jobrecord.StatusKey(r.pool))
	if err != nil {
		return err
	}
	f.status = status
	r.note("status of the pool", version, fmt.Sprintf("published in term %d", status.Term))
	return nil
}

// readExecutors reads the registry and the cordons, and joins them with the published use.
func (r *placementReader) readExecutors(ctx context.Context, f *placementFacts) error {
	registry, err := r.adapter.ListExecutors(ctx)
	if err != nil {
		return err
	}
	r.note("registry", registry.Version, "read")
	cordons, version, err := readRecord[jobrecord.CordonRecord](ctx, r.adapter, jobrecord.CordonsKey(r.pool))
	if err != nil {
		return err
	}
	r.note("cordons", version, fmt.Sprintf("version %d applied by the owner", f.status.CordonsVersion))
	cordoned, leaving := nameSet(cordons.Machines), nameSet(cordons.EvictServices)
	for _, registered := range registry.Executors {
		if registered.Service != r.pool {
			continue
		}
		e := registered.Executor
		e.Cordoned, e.Leaving = cordoned[e.Machine], leaving[e.Machine]
		use, published := f.status.Machines[e.Machine]
		if !published {
			f.unknownUse = append(f.unknownUse, e)
			continue
		}
		f.executors = append(f.executors, use.ExecutorUse(e))
	}
	return nil
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// tenantRoom is what a tenant may use and uses in a pool.
type tenantRoom struct {
	tenant         *catalog.Tenant
	used, allotted fleet.Resources
	// obtainable is the allotment that the owner can get for the first step without
	// other pools giving up theirs.
	obtainable fleet.Resources
}

func (r *placementReader) readTenant(ctx context.Context, f *placementFacts, job *placedJob) error {
	tenant, ok := f.catalog.Tenants[job.spec.Tenant]
	if !ok {
		return nil
	}
	row, version, err := readRecord[allotment.Row](ctx, r.adapter, jobrecord.LimitKey(tenant.Name))
	if err != nil {
		return err
	}
	r.note("division of the tenant's maximum", version, "read")
	amounts := f.status.Tenants[tenant.Name]
	used := amounts.Resources()
	step := &job.spec.Steps[0]
	want := used
	for range step.Count {
		want = want.Add(step.Size)
	}
	next := allotment.Next(tenant.Maximum, row, r.pool, allotment.Demand{Used: used, Want: want}, workPoolCount(f.catalog), time.Now().UnixMilli())
	f.tenant = tenantRoom{
		tenant: &tenant, used: used,
		allotted:   allotment.Effective(tenant.Maximum, row.Pools, r.pool),
		obtainable: allotment.Effective(tenant.Maximum, next.Pools, r.pool),
	}
	return nil
}

// workPoolCount returns the number of pools among which limits are divided.
func workPoolCount(c *catalog.Catalog) int {
	pools := make(map[string]bool)
	for i := range c.Queues {
		pools[c.Queues[i].Service] = true
	}
	return len(pools)
}

// ownerPollInterval is the time between reads of the owner's record.
const ownerPollInterval = 200 * time.Millisecond

// observeOwner waits until the owner renews its record or counts as silent, because the
// store does not tell when a record was written.
func (r *placementReader) observeOwner(ctx context.Context, owner jobrecord.OwnerRecord, version int64) (*whereOwner, error) {
	view := &whereOwner{Holder: owner.Holder, Term: owner.Term, State: ownerAbsent}
	switch {
	case version == 0:
	case owner.Released:
		view.State = ownerReleased
	default:
		next, renewed, err := r.awaitRenewal(ctx, version)
		if err != nil {
			return nil, err
		}
		switch {
		case !renewed:
			view.State = ownerSilent
		case next.Released:
			view.State = ownerReleased
		default:
			view.Holder, view.Term, view.State = next.Holder, next.Term, ownerRenewing
		}
	}
	view.AgeMs = milliseconds(time.Since(r.ownerReadAt))
	r.note("owner", version, view.State)
	return view, nil
}

// awaitRenewal reports whether the owner's record changes before its owner counts as
// silent.
func (r *placementReader) awaitRenewal(ctx context.Context, version int64) (jobrecord.OwnerRecord, bool, error) {
	for {
		next, nextVersion, err := readRecord[jobrecord.OwnerRecord](ctx, r.adapter, jobrecord.OwnerKey(r.pool))
		if err != nil || nextVersion != version {
			return next, err == nil, err
		}
		if time.Since(r.ownerReadAt) >= ownership.SilentAfter(r.adapter.ResponseTime()) {
			return next, false, nil
		}
		if !services.Sleep(ctx, ownerPollInterval) {
			return next, false, ctx.Err()
		}
	}
}

// noteEvacuations records the evacuated zones, and which of them the owner does not know
// of yet.
func (f *placementFacts) noteEvacuations(requests []evacuation.Request) {
	f.evacuated = make(map[string]bool)
	for _, request := range requests {
		if request.TakenBack {
			continue
		}
		f.evacuated[request.Zone] = true
		applied := func(e jobrecord.EvacuationStatus) bool { return e.Zone == request.Zone && e.Version == request.Version }
		if !slices.ContainsFunc(f.status.Evacuations, applied) {
			f.notes = append(f.notes, fmt.Sprintf("the owner has not published that it applies the evacuation of zone %s", request.Zone))
		}
	}
}

// addNotes adds what limits the meaning of the facts.
func (f *placementFacts) addNotes() {
	if f.status.Term != f.owner.Term {
		f.notes = append(f.notes, fmt.Sprintf("the status is that of term %d, and the owner has term %d", f.status.Term, f.owner.Term))
	}
	if len(f.status.Tenants) == 0 && hasTasks(&f.status) {
		f.notes = append(f.notes, "the owner publishes no use of memory and tenants, which count as zero: it runs an earlier version, or its status is too large")
	}
}

// hasTasks reports whether a status shows that something runs.
func hasTasks(status *jobrecord.StatusRecord) bool {
	for _, use := range status.Machines {
		if use.Tasks > 0 {
			return true
		}
	}
	return false
}
