package pools

import (
	"context"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

// registryView is the planner's copy of the registry of executors. It is read
// whole once and then follows the changes: with 540 executors a complete read is
// four times as large as the changes of registryInterval.
type registryView struct {
	executors map[string]services.RegisteredExecutor
	// version is that of the last change; zero if all entries must be read.
	version   int64
	inFlight  bool
	readAt    time.Time
	appliedAt time.Time
}

// registryApplyInterval is the longest time between uses of an unchanged registry.
// A plan may have dropped an executor that another process answered for.
const registryApplyInterval = time.Second

// readRegistry requests the registry, or what has changed in it.
func (p *planner) readRegistry() {
	if p.registry.inFlight || len(p.pools) == 0 || p.now.Sub(p.registry.readAt) < registryInterval {
		return
	}
	p.registry.inFlight, p.registry.readAt = true, p.now
	p.sendShared(registryCall{p.registry.version})
}

// registryCall reads the changes after a version, or all entries if it is zero.
type registryCall struct{ after int64 }

type registryDone struct {
	registryCall
	changes services.RegistryChanges
	err     error
}

func (c registryCall) run(ctx context.Context, s *Service) event {
	read := s.registry.ListExecutors
	if c.after > 0 {
		read = func(ctx context.Context) (services.RegistryChanges, error) {
			return s.registry.ExecutorChanges(ctx, c.after)
		}
	}
	changes, err := read(ctx)
	return registryDone{c, changes, err}
}

func (c registryCall) notMade() event {
	return registryDone{c, services.RegistryChanges{}, errBacklogFull}
}

func (e registryDone) handle(p *planner) {
	v := &p.registry
	v.inFlight = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		p.s.log.Debug().Err(e.err).Dur("age", p.now.Sub(v.readAt)).Msg("registry not read; keeping the list in force")
	case e.changes.VersionExpired:
		p.s.log.Info().Int64("version", e.after).Msg("store no longer has the changes since this version; reading the whole registry")
		v.version = 0
	case v.apply(e.after, e.changes) || p.now.Sub(v.appliedAt) >= registryApplyInterval:
		v.appliedAt = p.now
		p.listIncarnations()
		for _, m := range p.pools {
			if m.loaded {
				p.guardPool(m.ref(), func() { p.applyRegistry(m) })
			}
		}
	}
}

// apply applies changes, or all entries if after is zero, and reports whether more
// than heartbeats has changed.
func (v *registryView) apply(after int64, c services.RegistryChanges) bool {
	changed := after == 0
	if after == 0 {
		v.executors = make(map[string]services.RegisteredExecutor, len(c.Executors))
	}
	for _, x := range c.Executors {
		old, known := v.executors[x.ID]
		changed = changed || !known || !sameButHeartbeat(old, x)
		v.executors[x.ID] = x
	}
	for _, id := range c.Removed {
		_, known := v.executors[id]
		changed = changed || known
		delete(v.executors, id)
	}
	v.version = max(v.version, c.Version)
	return changed
}

// sameButHeartbeat reports whether two entries differ at most in what each
// heartbeat changes.
func sameButHeartbeat(a, b services.RegisteredExecutor) bool {
	return a.Service == b.Service && a.StartedMs == b.StartedMs && a.Machine == b.Machine && a.Address == b.Address && a.Zone == b.Zone &&
		a.Draining == b.Draining && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// listIncarnations lists the executors of all pools. An entry for a service that is
// not configured comes from another writer and must not end the runs of an
// executor whose address it names.
func (p *planner) listIncarnations() {
	p.incarnations = p.incarnations[:0]
	for _, x := range p.registry.executors {
		if _, configured := p.catalog.Services[x.Service]; configured {
			p.incarnations = append(p.incarnations, x.Executor)
		}
	}
}

// applyRegistry passes the registered executors to a pool's plan.
func (p *planner) applyRegistry(m *managedPool) {
	if p.registry.executors == nil {
		return
	}
	var listed []poolplan.Executor
	for _, id := range slices.Sorted(maps.Keys(p.registry.executors)) {
		x := p.registry.executors[id]
		if x.Service != m.name {
			continue
		}
		info := x.Executor
		info.Cordoned, info.Leaving = m.cordoned[x.Machine], m.leaving[x.Machine]
		listed = append(listed, info)
	}
	m.plan.SetExecutors(p.now, listed)
	m.plan.EndReplaced(p.now, p.incarnations)
}
