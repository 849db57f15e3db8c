// Package waitestimate estimates when a job submitted now would start and end, and
// decides whether it is refused because it could not end while it still has value.
//
// The owner of a pool makes a Summary of it; any host estimates from that. The package
// reads no clock.
package waitestimate

import (
	"math"
	"time"
)

// Summary is what the owner of a pool knows of its load. It is not changed once made.
type Summary struct {
	// At is when the summary was made.
	At time.Time
	// UsedMilliCPU is in use by tasks that end, and FreeMilliCPU is free, on executors
	// that accept work, in thousandths of a core. Service tasks are in neither.
	UsedMilliCPU, FreeMilliCPU int64
	// Running is the expected rest of the runs that use UsedMilliCPU.
	Running Amount
	// Preferred is the waiting work of jobs that are within their tenants' shares and
	// can be on time, and Other that of the remaining jobs that are on time or late.
	// Jobs without value, service tasks and tenants that wait for their limit are in
	// none of the three.
	Preferred, Other Work
	// Beyond is the waiting work beyond the share, by tenant.
	Beyond map[string]Work
	// ShareSpent has the tenants whose next job is beyond their share.
	ShareSpent map[string]bool
	// Durations has what was learned of the tasks, by queue.
	Durations map[string]Durations
	// StandbyMilliCPU is what the standby pool has. Only the summary of the owner of
	// the machines has it.
	StandbyMilliCPU int64
}

// Amount is an amount of work: the sum of the expected durations of tasks times their
// cores, in milliseconds of one core, and their number.
type Amount struct {
	CoreMs float64
	Tasks  int
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CoreMs + b.CoreMs, a.Tasks + b.Tasks} }

func (a Amount) valid() bool {
	return a.CoreMs >= 0 && !math.IsInf(a.CoreMs, 0) && a.Tasks >= 0
}

// Work is waiting work by the priority of its queue. Zero is served first.
type Work map[int]Amount

// UpTo returns the work that is served before a new job of a priority: all of a
// priority that is equal or comes first.
func (w Work) UpTo(priority int) Amount {
	var sum Amount
	for p, amount := range w {
		if p <= priority {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

// Add adds work of a priority.
func (w Work) Add(priority int, a Amount) { w[priority] = w[priority].Plus(a) }

func (w Work) valid() bool {
	for _, a := range w {
		if !a.valid() {
			return false
		}
	}
	return true
}

// Valid reports whether all amounts are possible.
func (s *Summary) Valid() bool {
	for _, w := range s.Beyond {
		if !w.valid() {
			return false
		}
	}
	return s.UsedMilliCPU >= 0 && s.FreeMilliCPU >= 0 && s.StandbyMilliCPU >= 0 && s.Running.valid() && s.Preferred.valid() && s.Other.valid()
}

// Waits reports whether any work waits.
func (s *Summary) Waits() bool { return len(s.Preferred)+len(s.Other)+len(s.Beyond) > 0 }
