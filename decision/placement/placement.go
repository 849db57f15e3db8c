// Package placement decides which waiting jobs start on which workers of one
// pool, which jobs can never run there, and which running batch work is
// preempted by urgent work.
//
// It does no I/O. It knows only the free capacity given in its input; a worker
// may still refuse a start.
package placement

import (
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Worker is one worker of the pool.
type Worker struct {
	Name     string
	Zone     fleet.AvailabilityZone
	Rack     string
	Capacity fleet.Resources
	// Slots is the number of typical jobs that the worker's capacity holds;
	// zero means DefaultSlots.
	Slots int
	// ClosedReason tells why the worker gets no new work; empty if it is open.
	ClosedReason fault.Reason
}

// DefaultSlots applies to workers whose host list entry has no slots.
const DefaultSlots = 8

// Job is one waiting or running job.
type Job struct {
	ID         string
	Team       string
	Queue      string
	Class      fleet.QueueClass
	Size       fleet.Resources
	Idempotent bool
	// Avoid lists workers on which the job failed. They are used only when no
	// other worker of the pool can hold the job.
	Avoid []string
}

// Running is a job that occupies, or may occupy, capacity on a worker.
type Running struct {
	Job
	Worker string
	// ThrottlePercent is the percentage of its processors left to a throttled
	// job; zero means that it is not throttled.
	ThrottlePercent int
	// PreemptionPending is set when the job has already been asked to
	// checkpoint and stop.
	PreemptionPending bool
}

// Team is a team with waiting or running jobs.
type Team struct {
	Share float64
	// OtherUse is the team's use beyond the running jobs of the input.
	OtherUse fleet.Resources
	// Blocked teams start no jobs, because they have no right to run.
	Blocked bool
}

// Input is the state of one pool.
type Input struct {
	Workers []Worker
	Running []Running
	// Waiting lists the jobs of each team in order of arrival.
	Waiting []Job
	Teams   map[string]Team
}

// Start assigns a waiting job to a worker.
type Start struct {
	Job    string
	Worker string
	// FromReserve is set when the job uses capacity reserved for urgent work.
	FromReserve bool
}

// PreemptionKind is how capacity is taken from a running job or given back.
type PreemptionKind string

// Kinds of preemption.
const (
	// PreemptByCheckpoint stops an idempotent job after a checkpoint.
	PreemptByCheckpoint PreemptionKind = "checkpoint"
	// PreemptByThrottle leaves a job ThrottledPercent of its processors.
	PreemptByThrottle PreemptionKind = "throttle"
	// EndThrottle gives a throttled job all its processors back.
	EndThrottle PreemptionKind = "restore"
)

// ThrottledPercent is the percentage of its processors that a throttled job
// keeps.
const ThrottledPercent = 20

// Preemption changes the capacity of a running job.
type Preemption struct {
	Job    string
	Worker string
	Kind   PreemptionKind
	// For is the urgent job that needs the capacity; empty for EndThrottle.
	For string
}

// Refusal is a waiting job that does not start now.
type Refusal struct {
	Job    string
	Reason fault.Reason
}

// Decision is the result of Decide. Infeasible lists jobs that fit no worker
// of the pool even when it is empty; Refused lists jobs that were tried and fit
// on no worker now.
type Decision struct {
	Starts      []Start
	Preemptions []Preemption
	Infeasible  []Refusal
	Refused     []Refusal
}

// maxUnplacedPerTeam bounds the jobs of one team and class that are tried
// without success in one decision, so that a long queue of large jobs does not
// cost a full pass over the workers for each of them.
const maxUnplacedPerTeam = 16

// maxHolds bounds the workers that are kept clear for unplaced work of one
// class.
const maxHolds = 64

// classes lists the classes in the order in which they are served.
var classes = []fleet.QueueClass{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch}

// Decide chooses starts, class by class. Within a class the next start goes to
// the team with the least dominant share of the pool divided by its configured
// share (dominant resource fairness, Ghodsi et al., NSDI 2011).
func Decide(in Input) Decision {
	p := newPoolState(in.Workers, in.Running)
	usage := newTeamUsage(in, p.total)
	var d Decision
	for _, class := range classes {
		unplaced := startClass(&d, p, usage, in, class)
		if class == fleet.ClassUrgent {
			d.Preemptions = preemptFor(p, in.Running, unplaced)
		}
	}
	if len(d.Preemptions) == 0 {
		d.Preemptions = endThrottles(p, in.Running)
	}
	return d
}

// startClass starts what it can of one class and returns the jobs that fit on
// no worker. It always serves the team with the least weighted share. If its
// job fits nowhere, a worker is held for it and the job counts as use;
// otherwise smaller jobs of other teams and of less urgent classes would take
// all capacity as it becomes free.
func startClass(d *Decision, p *poolState, usage *teamUsage, in Input, class fleet.QueueClass) []Job {
	var unplaced []Job
	holds := 0
	queues := teamQueues(in, class, usage)
	for len(queues) > 0 {
		q := queues[0]
		if len(q.jobs) == 0 || q.unplacedCount >= maxUnplacedPerTeam {
			queues.pop()
			continue
		}
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		if !p.fitsEmptyWorker(j.Size) {
			d.Infeasible = append(d.Infeasible, Refusal{j.ID, fault.ReasonCannotRun})
			continue
		}
		w, fromReserve := p.chooseWorker(j)
		if w < 0 {
			if holds < maxHolds && p.holdWorkerFor(j) {
				holds++
				q.weightedShare = usage.add(j.Team, j.Size)
				queues.fix()
			}
			q.unplacedCount++
			unplaced = append(unplaced, j)
			d.Refused = append(d.Refused, Refusal{j.ID, fault.ReasonNoRoom})
			continue
		}
		p.allocate(w, j, j.Size)
		d.Starts = append(d.Starts, Start{j.ID, p.workers[w].Name, fromReserve})
		q.weightedShare = usage.add(j.Team, j.Size)
		queues.fix()
	}
	return unplaced
}
