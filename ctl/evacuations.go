package ctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// ownerObservationTime is the time between two reads of the owner records. An owner renews
// its record every 0.5 s, and is silent if it has not done so meanwhile.
const ownerObservationTime = 1500 * time.Millisecond

type fleetEvacuationsCommand struct{ platformReadCommand }

// evacuationView is the progress of the evacuation of one zone.
type evacuationView struct {
	Zone    string `json:"Zone"`
	Version int64  `json:"Version"`
	// Quiet is set if every owner applies the request and nothing runs in the zone.
	Quiet bool                 `json:"Quiet"`
	Pools []evacuationPoolView `json:"Pools"`
}

// evacuationPoolView is what the owner of one pool says of the zone.
type evacuationPoolView struct {
	Pool  string `json:"Pool"`
	Owner string `json:"Owner"`
	// Applied is set if the owner applies this version of the request.
	Applied bool `json:"Applied"`
	jobrecord.EvacuationStatus
	// Delays has what delays the completion; empty if the pool has left the zone.
	Delays []string `json:"Delays"`
}

// observedOwner is an owner record and whether it was renewed while it was observed.
type observedOwner struct {
	record  jobrecord.OwnerRecord
	renewed bool
}

func (*fleetEvacuationsCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		views := []evacuationView{}
		requests := evacuation.Set{}.WithChanges(state.Evacuations).Active()
		if len(requests) > 0 {
			pools := slices.Sorted(maps.Keys(state.Catalog.Services))
			owners, err := observeOwners(ctx, a, pools)
			if err != nil {
				return err
			}
			statuses, err := readRecords(ctx, a, pools, jobrecord.StatusKey, func(pool string, status jobrecord.StatusRecord, _ int64) poolView {
				return poolView{pool, status}
			})
			if err != nil {
				return err
			}
			for _, r := range requests {
				views = append(views, newEvacuationView(r, statuses, owners))
			}
		}
		return s.out.print(views, func(r printRow) { printEvacuations(r, views) })
	})
}

// observeOwners reads the owner records of pools twice.
func observeOwners(ctx context.Context, a *platform.Adapter, pools []string) (map[string]observedOwner, error) {
	owners := make(map[string]observedOwner, len(pools))
	versions := make(map[string]int64, len(pools))
	for round := range 2 {
		if round > 0 {
			services.Sleep(ctx, ownerObservationTime)
		}
		for _, pool := range pools {
			record, version, err := readRecord[jobrecord.OwnerRecord](ctx, a, jobrecord.OwnerKey(pool))
			if err != nil {
				return nil, err
			}
			owners[pool] = observedOwner{record, version > versions[pool]}
			versions[pool] = version
		}
	}
	return owners, nil
}

func newEvacuationView(r evacuation.Request, statuses []poolView, owners map[string]observedOwner) evacuationView {
	view := evacuationView{Zone: r.Zone, Version: r.Version, Quiet: true}
	for _, status := range statuses {
		p := newEvacuationPoolView(r, status, owners[status.Pool])
		view.Quiet = view.Quiet && len(p.Delays) == 0
		view.Pools = append(view.Pools, p)
	}
	return view
}

func newEvacuationPoolView(r evacuation.Request, status poolView, owner observedOwner) evacuationPoolView {
	p := evacuationPoolView{Pool: status.Pool, Owner: owner.record.Holder, Delays: []string{}}
	for _, e := range status.Evacuations {
		if e.Zone == r.Zone {
			p.EvacuationStatus = e
		}
	}
	p.Applied = status.Term == owner.record.Term && p.Version == r.Version
	delay := func(applies bool, format string, args ...any) {
		if applies {
			p.Delays = append(p.Delays, fmt.Sprintf(format, args...))
		}
	}
	switch {
	case owner.record.Holder == "" || owner.record.Released:
		delay(true, "owner unknown")
	case !owner.renewed:
		delay(true, "owner silent")
	}
	delay(!p.Applied, "request not applied")
	delay(p.WithoutRoom > 0, "%d service tasks without capacity elsewhere", p.WithoutRoom)
	delay(p.Silent > 0, "%d executors until their lease is over", p.Silent)
	delay(p.Unsettled > 0, "%d executors with unknown runs", p.Unsettled)
	delay(p.Tasks > 0 && p.Applied, "%d tasks run", p.Tasks)
	return p
}

func printEvacuations(r printRow, views []evacuationView) {
	r("ZONE", "VERSION", "QUIET", "POOL", "OWNER", "APPLIED", "TASKS", "SERVICES", "DELAYED_BY")
	for _, v := range views {
		for _, p := range v.Pools {
			r(v.Zone, v.Version, v.Quiet, p.Pool, cmp.Or(p.Owner, "-"), p.Applied, p.Tasks, p.ServiceTasks, cmp.Or(strings.Join(p.Delays, ", "), "-"))
		}
	}
}
