package ctl

import (
	"cmp"
	"fmt"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// whereView is the explanation of where a job would be placed.
type whereView struct {
	Queue  string `json:"Queue"`
	Pool   string `json:"Pool"`
	Tenant string `json:"Tenant"`
	Steps  int    `json:"Steps"`
	Tasks  int    `json:"Tasks"`
	// Refusals are the reasons for which an entry host would refuse the job.
	Refusals []whereRefusal `json:"Refusals"`
	// The rest is missing if the job would be refused.
	Owner        *whereOwner     `json:"Owner,omitempty"`
	Room         *whereRoom      `json:"Room,omitempty"`
	Placement    *placementView  `json:"Placement,omitempty"`
	ExpectedWait *whereWait      `json:"ExpectedWait,omitempty"`
	Load         *whereLoad      `json:"Load,omitempty"`
	Executors    []whereExecutor `json:"Executors,omitempty"`
	Facts        []factView      `json:"Facts"`
	Notes        []string        `json:"Notes,omitempty"`
}

type whereRefusal struct {
	Reason string `json:"Reason"`
	Detail string `json:"Detail"`
}

// States of the owner of a pool.
const (
	ownerRenewing = "renewing"
	ownerSilent   = "silent"
	ownerReleased = "released"
	ownerAbsent   = "absent"
)

// whereOwner is the owner of the pool. AgeMs is the longest time since its last renewal
// if it is renewing, and the shortest if it is silent.
type whereOwner struct {
	Holder string  `json:"Holder"`
	Term   int     `json:"Term"`
	State  string  `json:"State"`
	AgeMs  float64 `json:"AgeMs"`
}

// whereRoom is a tenant's capacity in the pool.
type whereRoom struct {
	Used     fleet.Resources `json:"Used"`
	Allotted fleet.Resources `json:"Allotted"`
	// Obtainable is the allotment that the owner can get without other pools giving up
	// theirs.
	Obtainable fleet.Resources `json:"Obtainable"`
	Maximum    fleet.Resources `json:"Maximum"`
}

// whereLoad is the load of the pool. DemandMilliCPU is that of the tasks that run or could
// start, and PendingJobs the number of jobs without a started task.
type whereLoad struct {
	DemandMilliCPU   int64 `json:"DemandMilliCPU"`
	CapacityMilliCPU int64 `json:"CapacityMilliCPU"`
	PendingJobs      int   `json:"PendingJobs"`
}

// placementView is where the first step of the job would be placed.
type placementView struct {
	Tasks  int  `json:"Tasks"`
	Placed int  `json:"Placed"`
	Gang   bool `json:"Gang"`
	// PlacedIfEnlarged is the number that is placed once the owner has enlarged the
	// tenant's allotment as far as it can get, if that would be more.
	PlacedIfEnlarged int `json:"PlacedIfEnlarged,omitempty"`
	// Wait is why the other tasks wait; empty if all are placed.
	Wait string `json:"Wait"`
	// Never is why no task would start in the pool as it is, even if nothing ran there.
	Never string `json:"Never,omitempty"`
}

// whereWait is how long the first step is expected to wait. Ms is negative if that is
// not known.
type whereWait struct {
	Ms    float64 `json:"Ms"`
	Basis string  `json:"Basis"`
}

type whereExecutor struct {
	Executor string          `json:"Executor"`
	Machine  string          `json:"Machine"`
	Zone     string          `json:"Zone"`
	Rack     string          `json:"Rack"`
	Free     fleet.Resources `json:"Free"`
	// Placed is the number of tasks that would start here.
	Placed int `json:"Placed"`
	// Obstacle is why the first task may not start here, and Cost that of the task if
	// it may. The lowest cost is chosen.
	Obstacle string `json:"Obstacle,omitempty"`
	Cost     int64  `json:"Cost"`
}

// factView is one fact that the explanation depends on.
type factView struct {
	Fact    string `json:"Fact"`
	Version int64  `json:"Version"`
	// AgeMs is the time since it was read.
	AgeMs float64 `json:"AgeMs"`
	State string  `json:"State"`
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (v *whereView) refuse(reason fault.Reason, detail string) {
	v.Refusals = append(v.Refusals, whereRefusal{string(reason), detail})
}

func (v *whereView) refuseTenant(tenant string) {
	if tenant == "" {
		v.refuse(fault.ReasonNoKey, "the queue is not public; --tenant names the tenant")
		return
	}
	v.refuse(fault.ReasonWrongKey, "the configuration has no tenant of this name")
}

func newWhereExecutor(e *poolplan.Executor, free fleet.Resources) whereExecutor {
	return whereExecutor{Executor: e.ID, Machine: e.Machine, Zone: e.Zone, Rack: e.Rack, Free: free}
}

// view returns the tenant's capacity, or nil for a job without tenant.
func (t *tenantRoom) view() *whereRoom {
	if t.tenant == nil {
		return nil
	}
	return &whereRoom{Used: t.used, Allotted: t.allotted, Obtainable: t.obtainable, Maximum: t.tenant.Maximum}
}

// waitUnknown is whereWait.Ms if the wait is not known.
const waitUnknown = -1

// expectedWait estimates the wait of the first step from the published load of the pool.
// The durations of the work that waits are not published, so that of the step stands for
// them.
func expectedWait(v *whereView, step *workload.Step) *whereWait {
	excess := v.Load.DemandMilliCPU - v.Load.CapacityMilliCPU
	switch {
	case v.Placement.Never != "":
		return &whereWait{waitUnknown, "the step cannot start in the pool as it is"}
	case v.Owner.State != ownerRenewing:
		return &whereWait{waitUnknown, "no owner places work"}
	case v.Placement.Wait == "" && excess <= 0:
		return &whereWait{0, "the first step starts now"}
	case v.Placement.PlacedIfEnlarged == v.Placement.Tasks:
		return &whereWait{waitUnknown, "the tasks start once the owner has enlarged the tenant's allotment"}
	case excess <= 0 || v.Load.CapacityMilliCPU <= 0 || step.Estimate <= 0:
		return &whereWait{waitUnknown, "not known from the load of the pool"}
	}
	wait := float64(step.Estimate) * float64(excess) / float64(v.Load.CapacityMilliCPU)
	return &whereWait{milliseconds(time.Duration(wait)), "demand above the capacity, if its tasks last as long as those of the step"}
}

// newLoadView returns the load that the owner of the pool publishes.
func newLoadView(status *jobrecord.StatusRecord) *whereLoad {
	load := &whereLoad{DemandMilliCPU: status.DemandMilliCPU, CapacityMilliCPU: status.CapacityMilliCPU}
	for _, jobs := range status.Pending {
		load.PendingJobs += jobs
	}
	return load
}

// printTable prints the explanation.
func (v *whereView) printTable(r printRow) {
	r("QUEUE", v.Queue)
	r("POOL", cmp.Or(v.Pool, "-"))
	r("TENANT", cmp.Or(v.Tenant, "-"))
	r("JOB", fmt.Sprintf("%d steps, %d tasks", v.Steps, v.Tasks))
	for _, refusal := range v.Refusals {
		r("REFUSED", refusal.Reason, refusal.Detail)
	}
	if v.Placement != nil {
		v.printPlacement(r)
	}
	r("FACT", "VERSION", "AGE_MS", "STATE")
	for _, f := range v.Facts {
		r(f.Fact, f.Version, f.AgeMs, f.State)
	}
	for _, note := range v.Notes {
		r("NOTE", note)
	}
}

func (v *whereView) printPlacement(r printRow) {
	r("OWNER", cmp.Or(v.Owner.Holder, "-"), "term", v.Owner.Term, v.Owner.State, v.Owner.ageText())
	r("FIRST_STEP", fmt.Sprintf("%d of %d tasks placed", v.Placement.Placed, v.Placement.Tasks), "waits for", cmp.Or(v.Placement.Wait, "-"))
	if v.Placement.Never != "" {
		r("NEVER", v.Placement.Never, "no task starts in this pool even if nothing else runs")
	}
	r("LOAD", fmt.Sprintf("demand of %g cores on %g, %d jobs pending", cores(v.Load.DemandMilliCPU), cores(v.Load.CapacityMilliCPU), v.Load.PendingJobs))
	r("EXPECTED_WAIT", v.ExpectedWait.text(), v.ExpectedWait.Basis)
	if v.Room != nil {
		r("CAPACITY", "CPU", "MEMORY_MB", "ACCELERATORS")
		printResources(r, "used", v.Room.Used)
		printResources(r, "allotted", v.Room.Allotted)
		printResources(r, "obtainable", v.Room.Obtainable)
		printResources(r, "maximum", v.Room.Maximum)
	}
	r("EXECUTOR", "MACHINE", "ZONE", "RACK", "FREE_CPU", "FREE_MEMORY_MB", "FREE_ACCELERATORS", "PLACED", "COST", "REASON")
	for i := range v.Executors {
		e := &v.Executors[i]
		r(e.Executor, cmp.Or(e.Machine, "-"), cmp.Or(e.Zone, "-"), cmp.Or(e.Rack, "-"), cores(e.Free.MilliCPU), e.Free.MemoryBytes>>20, e.Free.Accelerators, e.Placed, e.costText(), e.reason())
	}
}

func printResources(r printRow, name string, amounts fleet.Resources) {
	r(name, cores(amounts.MilliCPU), amounts.MemoryBytes>>20, amounts.Accelerators)
}

func (o *whereOwner) ageText() string {
	switch o.State {
	case ownerRenewing:
		return fmt.Sprintf("renewed at most %g ms ago", o.AgeMs)
	case ownerSilent:
		return fmt.Sprintf("not renewed for at least %g ms", o.AgeMs)
	}
	return ""
}

func (w *whereWait) text() string {
	if w.Ms < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%g ms", w.Ms)
}

func (e *whereExecutor) costText() string {
	if e.Obstacle != "" {
		return "-"
	}
	return fmt.Sprint(e.Cost)
}

// reason tells why the executor is chosen or not.
func (e *whereExecutor) reason() string {
	switch {
	case e.Placed > 0:
		return "chosen"
	case e.Obstacle != "":
		return e.Obstacle
	}
	return "may run the task"
}
