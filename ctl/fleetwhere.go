package ctl

import (
	"cmp"
	"context"
	"os"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/settings"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// fleetWhereCommand explains where a job would be placed. It reads the store only.
type fleetWhereCommand struct {
	platformReadCommand
	File   string `arg:"positional,required" help:"job as a client would send it" placeholder:"FILE" unit:"file name" range:"a readable file with the body of a job submission"`
	Queue  string `arg:"--queue,required" help:"name of the queue" placeholder:"QUEUE" unit:"name" range:"the name of a queue"`
	Tenant string `arg:"--tenant" help:"name of the tenant" placeholder:"TENANT" unit:"name" range:"the name of a tenant; not needed for public queues"`
}

func (c *fleetWhereCommand) check(k *settings.Checker) {
	requireArgument(k, "FILE", c.File)
	requireArgument(k, "--queue", c.Queue)
}

func (c *fleetWhereCommand) run(ctx context.Context, s *session) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return newExitError(exitUsage, "read job", "%w", err)
	}
	return s.withConfiguration(ctx, func(ctx context.Context, a *platform.Adapter, state services.OperatorState) error {
		view := &whereView{Queue: c.Queue, Tenant: c.Tenant}
		readAt := time.Now()
		if job := c.admit(view, state.Catalog, body); job != nil {
			facts, err := readPlacementFacts(ctx, a, state.Catalog, job)
			if err != nil {
				return err
			}
			facts.noteEvacuations(state.Evacuations)
			view.explain(job, facts)
		}
		configuration := factView{Fact: "configuration", Version: state.Catalog.Version, AgeMs: milliseconds(time.Since(readAt)), State: "read"}
		view.Facts = append([]factView{configuration}, view.Facts...)
		return s.out.print(view, view.printTable)
	})
}

// placedJob is a job that would be accepted.
type placedJob struct {
	spec  *workload.Spec
	queue *catalog.Queue
}

// explainedID is the identifier under which a job is explained. It is recorded nowhere.
const explainedID = "0000000000000000"

// admit returns the job as an entry host would accept it now, or records in view why it
// would refuse it.
func (c *fleetWhereCommand) admit(view *whereView, configuration *catalog.Catalog, body []byte) *placedJob {
	queue, ok := configuration.Queue(c.Queue)
	if !ok {
		view.refuse(fault.ReasonUnknownQueue, "the configuration has no queue of this name")
		return nil
	}
	view.Pool = queue.Service
	tenant := c.Tenant
	if _, known := configuration.Tenants[tenant]; !queue.Public && !known {
		view.refuseTenant(tenant)
	}
	if queue.Public {
		// The key of a call to a public queue is not read.
		tenant = ""
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		view.refuse(fault.ReasonOf(err), err.Error())
		return nil
	}
	spec.ID, spec.Queue, spec.Tenant, spec.AcceptedAt = explainedID, queue.Origin(), tenant, time.Now()
	record, err := jobrecord.EncodeSpec(spec)
	switch {
	case err != nil:
		view.refuse(fault.ReasonMalformed, err.Error())
	case len(record) > jobrecord.MaxRecordBytes:
		view.refuse(fault.ReasonBodyTooLarge, "the record of the job is larger than the store accepts")
	}
	view.Tenant, view.Steps, view.Tasks = tenant, len(spec.Steps), taskCount(spec)
	if len(view.Refusals) > 0 {
		return nil
	}
	return &placedJob{spec, queue}
}

func taskCount(spec *workload.Spec) int {
	n := 0
	for i := range spec.Steps {
		n += spec.Steps[i].Count * spec.Occurrences()
	}
	return n
}

// explain fills the view from what the store holds.
func (v *whereView) explain(job *placedJob, f *placementFacts) {
	v.Owner = f.owner
	v.Facts = f.facts
	v.Notes = f.notes
	q := poolplan.Query{
		Catalog: f.catalog, Spec: job.spec, Executors: f.executors, Evacuated: f.evacuated,
		Limits: map[string]fleet.Resources{job.spec.Tenant: f.tenant.allotted},
		Used:   map[string]fleet.Resources{job.spec.Tenant: f.tenant.used},
	}
	x := poolplan.Explain(time.Now(), q)
	v.Room = f.tenant.view()
	v.Placement = newPlacementView(&job.spec.Steps[0], &x)
	v.Executors = executorViews(&x, f)
	if len(x.Starts) < v.Placement.Tasks && f.tenant.tenant != nil {
		enlarged := q
		enlarged.Limits = map[string]fleet.Resources{job.spec.Tenant: f.tenant.obtainable}
		v.Placement.PlacedIfEnlarged = len(poolplan.Explain(time.Now(), enlarged).Starts)
	}
	if job.queue.Advice == nil {
		// Who may run a step that needs advice is not known before it is asked.
		empty := poolplan.Explain(time.Now(), q.InEmptyPool())
		v.Placement.setNever(&empty)
	}
	if f.owner.State != ownerRenewing {
		v.placeNothing("owner-" + f.owner.State)
	}
	v.Load = newLoadView(&f.status)
	v.ExpectedWait = expectedWait(v, &job.spec.Steps[0])
}

// placeNothing records that no task is placed now, for a reason that concerns the whole
// pool.
func (v *whereView) placeNothing(reason string) {
	v.Placement.Placed, v.Placement.Wait = 0, reason
	for i := range v.Executors {
		v.Executors[i].Placed = 0
	}
}

// newPlacementView returns where the first step would be placed.
func newPlacementView(step *workload.Step, x *poolplan.Explanation) *placementView {
	return &placementView{Tasks: step.Count, Placed: len(x.Starts), Wait: x.Wait, Gang: step.Gang}
}

// setNever records that not even an empty pool would start any task.
func (p *placementView) setNever(empty *poolplan.Explanation) {
	if len(empty.Starts) > 0 {
		return
	}
	p.Never = empty.Wait
	if common := commonObstacle(empty.Options); common != "" {
		p.Never = common
	}
}

// commonObstacle returns the obstacle that all executors have, or "".
func commonObstacle(options []poolplan.Option) string {
	common := ""
	for i, o := range options {
		if i > 0 && string(o.Obstacle) != common {
			return ""
		}
		common = string(o.Obstacle)
	}
	return common
}

// executorViews returns the executors, the chosen ones first and then those with the
// lowest cost.
func executorViews(x *poolplan.Explanation, f *placementFacts) []whereExecutor {
	placed := make(map[string]int)
	for _, id := range x.Starts {
		placed[id]++
	}
	uses := make(map[string]*poolplan.ExecutorUse, len(f.executors))
	for i := range f.executors {
		uses[f.executors[i].ID] = &f.executors[i]
	}
	views := make([]whereExecutor, 0, len(x.Options)+len(f.unknownUse))
	for _, o := range x.Options {
		u := uses[o.Executor]
		free := u.Capacity.Sub(u.Used).Sub(u.Reserved)
		view := newWhereExecutor(&u.Executor, free)
		view.Placed, view.Cost, view.Obstacle = placed[o.Executor], o.Cost, string(o.Obstacle)
		views = append(views, view)
	}
	slices.SortStableFunc(views, func(a, b whereExecutor) int {
		return cmp.Or(cmp.Compare(b.Placed, a.Placed), cmp.Compare(a.Obstacle, b.Obstacle), cmp.Compare(a.Cost, b.Cost))
	})
	for i := range f.unknownUse {
		view := newWhereExecutor(&f.unknownUse[i], fleet.Resources{})
		view.Obstacle = obstacleUseUnknown
		views = append(views, view)
	}
	return views
}
