package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/settings"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// fleetCommands read the users' platform without calling an entry host, so that
// they work while all entry hosts are down.
type fleetCommands struct {
	Store    string `arg:"--store,env:FUCHSIAFRONT_STORE" help:"address of the platform's store" placeholder:"IP:PORT" unit:"address" range:"an IP address and a port"`
	Machines string `arg:"--machines,env:FUCHSIAFRONT_MACHINES" help:"address of the platform's list of machines" placeholder:"IP:PORT" unit:"address" range:"an IP address and a port; needed by machines"`

	Configuration *fleetConfigurationCommand `arg:"subcommand:configuration" help:"the configuration in the store: queues, services and tenants"`
	Owners        *fleetOwnersCommand        `arg:"subcommand:owners" help:"which entry host owns which pool"`
	Pools         *fleetPoolsCommand         `arg:"subcommand:pools" help:"the status of the pools that their owners publish"`
	Executors     *fleetExecutorsCommand     `arg:"subcommand:executors" help:"the registry of executors"`
	ListMachines  *fleetMachinesCommand      `arg:"subcommand:machines" help:"the list of machines"`
	Waves         *fleetWavesCommand         `arg:"subcommand:waves" help:"maintenance waves and their progress"`
	Evacuations   *fleetEvacuationsCommand   `arg:"subcommand:evacuations" help:"evacuated availability zones, what still runs there and what delays completion"`
	Limits        *fleetLimitsCommand        `arg:"subcommand:limits" help:"the division of the tenants' limits among the pools"`
	Jobs          *fleetJobsCommand          `arg:"subcommand:jobs" help:"jobs of a queue"`
	Where         *fleetWhereCommand         `arg:"subcommand:where" help:"where a job would be placed now, and why"`
	Job           *fleetJobCommand           `arg:"subcommand:job" help:"one job as recorded in the store"`
}

// platformReadCommand is embedded in commands that call the platform and no entry
// host.
type platformReadCommand struct{}

func (platformReadCommand) offline()                {}
func (platformReadCommand) check(*settings.Checker) {}

type fleetConfigurationCommand struct{ platformReadCommand }
type fleetOwnersCommand struct{ platformReadCommand }
type fleetPoolsCommand struct{ platformReadCommand }
type fleetExecutorsCommand struct{ platformReadCommand }
type fleetMachinesCommand struct{ platformReadCommand }
type fleetWavesCommand struct{ platformReadCommand }
type fleetLimitsCommand struct{ platformReadCommand }

type fleetJobsCommand struct {
	platformReadCommand
	Queue string `arg:"positional,required" help:"name of the queue" placeholder:"QUEUE" unit:"name" range:"the name of a queue"`
	Open  bool   `arg:"--open" help:"list only jobs that have not ended"`
}

type fleetJobCommand struct {
	platformReadCommand
	ID string `arg:"positional,required" help:"identifier of the job" placeholder:"JOB" unit:"identifier" range:"as in the path of the client's call"`
}

// check rejects invalid addresses.
func (f *fleetCommands) check(k *settings.Checker) {
	if f == nil {
		return
	}
	if _, err := netip.ParseAddrPort(f.Store); err != nil {
		k.Reject("--store", f.Store)
	}
	if _, err := netip.ParseAddrPort(f.Machines); err != nil && (f.Machines != "" || f.ListMachines != nil) {
		k.Reject("--machines", f.Machines)
	}
}

// openPlatform returns a client of the platform named in the settings, and ctx
// limited by --timeout.
func (s *session) openPlatform(ctx context.Context) (context.Context, context.CancelFunc, *platform.Adapter) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	return ctx, cancel, platform.NewReader(s.settings.Fleet.Store, s.settings.Fleet.Machines)
}

// withConfiguration calls use with the platform's configuration and waves.
func (s *session) withConfiguration(ctx context.Context, use func(context.Context, *platform.Adapter, services.OperatorState) error) error {
	ctx, cancel, a := s.openPlatform(ctx)
	defer cancel()
	state, err := a.ReadOperatorState(ctx)
	if err != nil {
		return err
	}
	if state.Catalog == nil {
		return newExitError(exitFailed, "read configuration", "the store holds no readable configuration")
	}
	return use(ctx, a, state)
}

// readRecords reads one record of each pool and returns their views.
func readRecords[T, V any](ctx context.Context, a *platform.Adapter, pools []string, key func(string) services.RecordKey, view func(pool string, value T, version int64) V) ([]V, error) {
	var views []V
	for _, pool := range pools {
		value, version, err := readRecord[T](ctx, a, key(pool))
		if err != nil {
			return nil, err
		}
		views = append(views, view(pool, value, version))
	}
	return views, nil
}

// readRecord reads one record of the store, and returns zero values if it is
// missing.
func readRecord[T any](ctx context.Context, a *platform.Adapter, key services.RecordKey) (value T, version int64, err error) {
	page, err := a.Scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key.Key {
		return value, 0, err
	}
	if err := json.Unmarshal(page.Records[0].Value, &value); err != nil {
		return value, 0, newExitError(exitFailed, "read record", "%s/%s: %w", key.Part, key.Key, err)
	}
	return value, page.Records[0].Version, nil
}

func (*fleetConfigurationCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(_ context.Context, _ *platform.Adapter, state services.OperatorState) error {
		return s.out.printConfiguration(state.Catalog)
	})
}

// printConfiguration prints a configuration without the tenants' keys, which are
// secret.
func (o *output) printConfiguration(c *catalog.Catalog) error {
	for name, t := range c.Tenants {
		t.Keys = nil
		c.Tenants[name] = t
	}
	return o.print(c, func(r printRow) {
		r("QUEUE", "POOL", "PRIORITY", "ATTEMPTS", "TARGET")
		for _, q := range c.Queues {
			r(q.Name, q.Service, q.Priority, q.MaxAttempts, q.LatencyTarget)
		}
		r("TENANT", "WEIGHT", "CPU", "MEMORY_MB", "ACCELERATORS")
		for _, name := range slices.Sorted(maps.Keys(c.Tenants)) {
			t := c.Tenants[name]
			r(name, t.Weight, cores(t.Maximum.MilliCPU), t.Maximum.MemoryBytes>>20, t.Maximum.Accelerators)
		}
		r("VERSION", c.Version)
	})
}

func cores(milli int64) float64 { return float64(milli) / 1000 }

// ownerView is the owner of one pool.
type ownerView struct {
	Pool string `json:"Pool"`
	jobrecord.OwnerRecord
	Version int64 `json:"Version"`
}

func (*fleetOwnersCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		pools := append(slices.Sorted(maps.Keys(state.Catalog.Services)), services.MachineManagementPool)
		owners, err := readRecords(ctx, a, pools, jobrecord.OwnerKey, func(pool string, owner jobrecord.OwnerRecord, version int64) ownerView {
			return ownerView{pool, owner, version}
		})
		if err != nil {
			return err
		}
		return s.out.print(owners, func(r printRow) {
			r("POOL", "OWNER", "TERM", "RENEWALS", "RELEASED", "VERSION")
			for _, o := range owners {
				r(o.Pool, cmp.Or(o.Holder, "-"), o.Term, o.Renewals, o.Released, o.Version)
			}
		})
	})
}

// poolView is what the owner of one pool publishes.
type poolView struct {
	Pool string `json:"Pool"`
	jobrecord.StatusRecord
}

func (*fleetPoolsCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		names := slices.Sorted(maps.Keys(state.Catalog.Services))
		pools, err := readRecords(ctx, a, names, jobrecord.StatusKey, func(pool string, status jobrecord.StatusRecord, _ int64) poolView {
			return poolView{pool, status}
		})
		if err != nil {
			return err
		}
		return s.out.print(pools, func(r printRow) {
			r("POOL", "TERM", "DEMAND", "CAPACITY", "MACHINES", "EMPTY", "PENDING")
			for _, p := range pools {
				pending := 0
				for _, n := range p.Pending {
					pending += n
				}
				r(p.Pool, p.Term, cores(p.DemandMilliCPU), cores(p.CapacityMilliCPU), len(p.Machines), len(p.EmptyMachines), pending)
			}
		})
	})
}

func (*fleetExecutorsCommand) run(ctx context.Context, s *session) error {
	ctx, cancel, a := s.openPlatform(ctx)
	defer cancel()
	registry, err := a.ListExecutors(ctx)
	if err != nil {
		return err
	}
	return s.out.print(registry.Executors, func(r printRow) {
		r("EXECUTOR", "POOL", "MACHINE", "ZONE", "RACK", "ADDRESS", "CPU", "DRAINING")
		for _, e := range registry.Executors {
			r(e.ID, e.Service, e.Machine, e.Zone, e.Rack, e.Address, cores(e.Capacity.MilliCPU), e.Draining)
		}
	})
}

func (*fleetMachinesCommand) run(ctx context.Context, s *session) error {
	ctx, cancel, a := s.openPlatform(ctx)
	defer cancel()
	list, err := a.ListMachines(ctx)
	if err != nil {
		return err
	}
	return s.out.print(list, func(r printRow) {
		r("MACHINE", "POOL", "STATE", "ZONE", "EXECUTOR", "CPU")
		for _, m := range list {
			r(m.Name, m.Pool, m.State, m.Zone, cmp.Or(m.Executor, "-"), cores(m.Capacity.MilliCPU))
		}
	})
}

// waveView is one wave and its progress.
type waveView struct {
	services.MaintenanceWave
	Progress jobrecord.WaveRecord `json:"Progress"`
}

func (*fleetWavesCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		var views []waveView
		for _, w := range state.Waves {
			progress, _, err := readRecord[jobrecord.WaveRecord](ctx, a, jobrecord.WaveKey(w.Number))
			if err != nil {
				return err
			}
			views = append(views, waveView{w, progress})
		}
		return s.out.print(views, func(r printRow) {
			r("WAVE", "MACHINES", "AT_ONCE", "WITHIN", "BEGUN", "COMPLETED")
			for _, v := range views {
				r(v.Number, len(v.Machines), v.MaxDown, v.Duration, len(v.Progress.Done), v.Progress.Completed)
			}
		})
	})
}

// limitView is the division of one tenant's limit.
type limitView struct {
	Tenant string `json:"Tenant"`
	allotment.Row
}

func (*fleetLimitsCommand) run(ctx context.Context, s *session) error {
	ctx, cancel, a := s.openPlatform(ctx)
	defer cancel()
	records, _, err := services.ScanAll(ctx, a, services.RecordRange{Table: jobrecord.TableLimits, Part: jobrecord.PartLimits})
	if err != nil {
		return err
	}
	var views []limitView
	for i := range records {
		view := limitView{Tenant: records[i].Key}
		if err := json.Unmarshal(records[i].Value, &view.Row); err != nil {
			return newExitError(exitFailed, "read limit", "%s: %w", records[i].Key, err)
		}
		views = append(views, view)
	}
	return s.out.print(views, func(r printRow) {
		r("TENANT", "POOL", "CPU", "MEMORY_MB", "ACCELERATORS", "RESERVATION")
		for _, v := range views {
			for _, pool := range slices.Sorted(maps.Keys(v.Pools)) {
				p, reservation := v.Pools[pool], "-"
				if c, ok := v.Reservations[pool]; ok {
					reservation = "since " + time.UnixMilli(c.SinceMs).UTC().Format(time.RFC3339)
				}
				r(v.Tenant, pool, cores(p.MilliCPU), p.MemoryBytes>>20, p.Accelerators, reservation)
			}
		}
	})
}

func (c *fleetJobsCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		queue, ok := state.Catalog.Queue(c.Queue)
		if !ok {
			return newExitError(exitFailed, "list jobs", "no queue %q in version %d of the configuration", c.Queue, state.Catalog.Version)
		}
		jobs, err := readJobs(ctx, a, queue.Service)
		if err != nil {
			return err
		}
		jobs = slices.DeleteFunc(jobs, func(j jobView) bool { return j.Queue != c.Queue || c.Open && j.Ended() })
		return s.out.print(jobs, func(r printRow) {
			r("JOB", "TENANT", "ACCEPTED", "STATE", "DONE", "TASKS")
			for _, j := range jobs {
				r(j.ID, cmp.Or(j.Tenant, "-"), j.Accepted.UTC().Format(time.RFC3339Nano), j.State, j.Done, j.Tasks)
			}
		})
	})
}

func (c *fleetJobCommand) run(ctx context.Context, s *session) error {
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		for _, pool := range slices.Sorted(maps.Keys(state.Catalog.Services)) {
			job, err := readJob(ctx, a, pool, c.ID)
			if err != nil {
				return err
			}
			if job == nil {
				continue
			}
			owner, _, err := readRecord[jobrecord.OwnerRecord](ctx, a, jobrecord.OwnerKey(pool))
			if err != nil {
				return err
			}
			job.Owner, job.OwnerTerm = owner.Holder, owner.Term
			return s.out.print(job, job.printTable)
		}
		return newExitError(exitFailed, "read job", "no pool of version %d of the configuration holds %q", state.Catalog.Version, c.ID)
	})
}
