package waitestimate

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Job is what the estimate depends on of a job that is submitted.
type Job struct {
	ID, Tenant, Queue string
	Priority          int
	SlackFactor       float64
	LatencyTarget     time.Duration
	Steps             []workload.Step
	// Scheduled jobs start at times of their own.
	Scheduled bool
	// RefusedFor is the time since the job was first refused; zero if it was not.
	RefusedFor time.Duration
}

// bounded reports whether the job has an objective and an end, and takes capacity that is
// counted. The time that a step without an estimate takes is not known, nor when a job of a
// queue without objective loses its value.
func (j *Job) bounded() bool {
	if j.Scheduled || j.SlackFactor <= 0 && j.LatencyTarget <= 0 {
		return false
	}
	counted := false
	for i := range j.Steps {
		if j.Steps[i].Service || j.Steps[i].Estimate <= 0 {
			return false
		}
		counted = counted || j.Steps[i].Demand().MilliCPU > 0
	}
	return counted
}

// Estimate is when a job submitted now is expected to start and to end, measured from
// now.
type Estimate struct {
	StartsAfter, EndsAfter time.Duration
	// Objective is the time within which the job has its full value.
	Objective time.Duration
	// BeyondShare is set if the job's tenant has spent its share.
	BeyondShare bool
	// SlackAtBest is the time from the job's end to the end of its value if the
	// estimates are wrong by their known error in the job's favor. It is negative if
	// the job has no value even then.
	SlackAtBest time.Duration
	// path is the critical path.
	path time.Duration
}

// OnTime reports whether the job is expected to end within its objective.
func (e *Estimate) OnTime() bool { return e.EndsAfter <= e.Objective }

// newEstimate estimates from a summary and the capacity of the standby pool. It returns
// false if there is no capacity to estimate with.
func newEstimate(s *Summary, standbyMilliCPU int64, j *Job) (Estimate, bool) {
	reachable := float64(s.UsedMilliCPU+s.FreeMilliCPU+standbyMilliCPU) / 1000
	if reachable <= 0 {
		return Estimate{}, false
	}
	durations := s.Durations[j.Queue]
	path := CriticalPath(j.Steps, 0, func(st *workload.Step) time.Duration { return durations.Expected(st.Estimate) })
	e := Estimate{path: path, BeyondShare: s.ShareSpent[j.Tenant], Objective: j.objective(path)}
	running, preceding := s.running(standbyMilliCPU), s.Preferred.UpTo(j.Priority)
	wait := func() time.Duration { return timeOf(preceding.Plus(running), reachable) }
	switch {
	case e.BeyondShare:
		preceding = preceding.Plus(s.Other.UpTo(j.Priority)).Plus(s.beyondBefore(j))
	case wait()+path > e.Objective:
		// The job would be late, and then late jobs come before it, as they are older.
		preceding = preceding.Plus(s.Other.UpTo(j.Priority))
	}
	e.StartsAfter = wait()
	e.EndsAfter = e.StartsAfter + path
	e.SlackAtBest = slackAtBest(j, path, durations.deviation(), scaled(e.StartsAfter, math.Exp(-sumDeviation(preceding.Plus(running).Tasks))))
	return e, true
}

// running is the rest of the runs that end before something else can start: none of it
// counts while there is room.
func (s *Summary) running(standbyMilliCPU int64) Amount {
	if s.FreeMilliCPU > 0 || standbyMilliCPU > 0 {
		return Amount{}
	}
	return s.Running
}

// beyondBefore returns the work beyond the share that precedes a job of a tenant that has
// spent its share. The work of another tenant counts up to that of the job's own, so that
// a tenant that sends far more than others bears the cost itself.
func (s *Summary) beyondBefore(j *Job) Amount {
	own := s.Beyond[j.Tenant].UpTo(j.Priority)
	var sum Amount
	for _, w := range s.Beyond {
		a := w.UpTo(j.Priority)
		if a.CoreMs > own.CoreMs {
			a = own
		}
		sum = sum.Plus(a)
	}
	return sum
}

// objective returns the time within which the job has its full value, given its critical
// path.
func (j *Job) objective(path time.Duration) time.Duration {
	return scaled(path, j.SlackFactor) + j.LatencyTarget
}

// slackAtBest returns the time from the job's end to the end of its value, after the
// shortest wait that is likely and with the critical path longer or shorter by one
// deviation. The objective grows with the path, so that a longer one usually is in the
// job's favor.
func slackAtBest(j *Job, path time.Duration, deviation float64, wait time.Duration) time.Duration {
	best := time.Duration(math.MinInt64)
	for _, d := range []float64{deviation, -deviation} {
		likely := scaled(path, math.Exp(d))
		best = max(best, WorthlessFactor*j.objective(likely)-wait-likely)
	}
	return best
}

// maxWait bounds estimates, so that no sum of durations overflows.
const maxWait = time.Hour

// timeOf returns how long a number of cores takes for an amount of work.
func timeOf(work Amount, cores float64) time.Duration {
	ms := min(work.CoreMs/cores, float64(maxWait.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond))
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
