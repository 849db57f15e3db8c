// Package placement decides which waiting jobs start on which workers of one
// pool, which jobs can never run there, and which running batch work yields to
// urgent work.
//
// It is free of I/O. The room that it knows is what it is told; a worker may
// still refuse a start.
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
	// Slots divides the worker's capacity into the room of one typical job;
	// zero means DefaultSlots.
	Slots int
	// ClosedReason is the reason why the worker gets no new work, if there is one.
	ClosedReason fault.Reason
}

// DefaultSlots is used for workers whose host entry names no slots.
const DefaultSlots = 8

// Job is one waiting or running job.
type Job struct {
	ID         string
	Team       string
	Queue      string
	Class      fleet.QueueClass
	Size       fleet.Resources
	Idempotent bool
	// Avoid are workers on which the job failed. They are used only when no
	// other worker of the pool can hold the job.
	Avoid []string
}

// Running is a job that has, or may have, room on a worker.
type Running struct {
	Job
	Worker string
	// ThrottlePercent is the part of its processors left to a throttled job;
	// zero means that it is not throttled.
	ThrottlePercent int
	// PreemptionPending is set when the job is already asked to checkpoint and stop.
	PreemptionPending bool
}

// Team is a team with waiting or running jobs.
type Team struct {
	Share float64
	// OtherUse is the team's use outside the running jobs of the input.
	OtherUse fleet.Resources
	// Blocked teams get no start, because they have no right to run.
	Blocked bool
}

// Input is the state of one pool.
type Input struct {
	Workers []Worker
	Running []Running
	// Waiting are the jobs of each team in their order of arrival.
	Waiting []Job
	Teams   map[string]Team
}

// Start is a job that starts on a worker.
type Start struct {
	Job    string
	Worker string
	// FromReserve is set when the job uses room reserved for urgent work.
	FromReserve bool
}

// PreemptionKind is how running work makes room.
type PreemptionKind string

// Kinds of yield.
const (
	// PreemptByCheckpoint stops an idempotent job after a checkpoint.
	PreemptByCheckpoint PreemptionKind = "checkpoint"
	// PreemptByThrottle leaves a job ThrottledPercent of its processors.
	PreemptByThrottle PreemptionKind = "throttle"
	// EndThrottle ends a throttle.
	EndThrottle PreemptionKind = "restore"
)

// ThrottledPercent is the part of its processors that a throttled job keeps.
const ThrottledPercent = 20

// Preemption changes the room of a running job.
type Preemption struct {
	Job    string
	Worker string
	Kind   PreemptionKind
	// For is the urgent job that needs the room; empty for EndThrottle.
	For string
}

// Refusal is a waiting job that does not start now.
type Refusal struct {
	Job    string
	Reason fault.Reason
}

// Decision is what Decide returns. Never lists jobs that fit no worker of the
// pool even when it is empty; Refused lists jobs that were tried and found no
// room.
type Decision struct {
	Starts      []Start
	Preemptions []Preemption
	Infeasible  []Refusal
	Refused     []Refusal
}

// maxBlockedPerTeam bounds the jobs of one team and class that are tried
// without success in one decision, so that a long queue of large jobs costs
// no full pass for each of them.
const maxBlockedPerTeam = 16

// maxHolds bounds the workers that are kept clear for blocked work of one
// class.
const maxHolds = 64

// classes in the order in which they are served.
var classes = []fleet.QueueClass{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch}

// Decide chooses starts, class by class. Within a class the next start goes
// to the team with the least dominant use divided by its share (dominant
// resource fairness, Ghodsi et al., NSDI 2011).
func Decide(in Input) Decision {
	r := newPoolState(in.Workers, in.Running)
	u := newTeamUsage(in, r.total)
	var d Decision
	for _, class := range classes {
		blocked := startClass(&d, r, u, in, class)
		if class == fleet.ClassUrgent {
			d.Preemptions = preemptFor(r, in.Running, blocked)
		}
	}
	if len(d.Preemptions) == 0 {
		d.Preemptions = endThrottles(r, in.Running)
	}
	return d
}

// startClass starts what it can of one class and returns the jobs that found
// no room. The team that is served is always the least served one; when its
// job finds no room, a worker is held for it and the job counts as used, or
// smaller jobs of other teams and of less urgent classes would take every gap.
func startClass(d *Decision, r *poolState, u *teamUsage, in Input, class fleet.QueueClass) []Job {
	var blocked []Job
	holds := 0
	queues := teamQueues(in, class, u)
	for len(queues) > 0 {
		q := queues[0]
		if len(q.jobs) == 0 || q.blocked >= maxBlockedPerTeam {
			queues.pop()
			continue
		}
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		if !r.fitsEmptyWorker(j.Size) {
			d.Infeasible = append(d.Infeasible, Refusal{j.ID, fault.ReasonCannotRun})
			continue
		}
		w, reserved := r.chooseWorker(j)
		if w < 0 {
			if holds < maxHolds && r.holdWorkerFor(j) {
				holds++
				q.weightedShare = u.add(j.Team, j.Size)
				queues.fix()
			}
			q.blocked++
			blocked = append(blocked, j)
			d.Refused = append(d.Refused, Refusal{j.ID, fault.ReasonNoRoom})
			continue
		}
		r.allocate(w, j, j.Size)
		d.Starts = append(d.Starts, Start{j.ID, r.workers[w].Name, reserved})
		q.weightedShare = u.add(j.Team, j.Size)
		queues.fix()
	}
	return blocked
}
