// Package fleet defines the nouns of the domain that several packages share.
package fleet

import "time"

// AvailabilityZone names a failure domain with its own entry hosts, backend
// servers and workers.
type AvailabilityZone string

// HostKind tells what a host runs.
type HostKind string

// The kinds of hosts in the platform's host list.
const (
	KindWorker        HostKind = "worker"
	KindBackendServer HostKind = "backend-server"
)

// HostPhase is the platform's view of a host.
type HostPhase string

// Phases of a host in the platform's host list.
const (
	PhaseLive    HostPhase = "live"
	PhaseLeaving HostPhase = "leaving"
	PhaseFailed  HostPhase = "failed"
)

// Resources are amounts of processors (in thousandths), memory (bytes) and
// accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU" yaml:"milliCPU"`
	MemoryBytes  int64 `json:"memoryBytes" yaml:"memoryBytes"`
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at or under free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryBytes <= free.MemoryBytes && r.Accelerators <= free.Accelerators
}

// DominantShare returns the largest fraction of total that r takes in any
// dimension (dominant resource fairness, Ghodsi et al., NSDI 2011).
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.MilliCPU, total.MilliCPU)
	share = max(share, fraction(r.MemoryBytes, total.MemoryBytes))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Host is one entry of the platform's host list.
type Host struct {
	Name     string           `json:"name"`
	Kind     HostKind         `json:"kind"`
	Zone     AvailabilityZone `json:"zone"`
	Rack     string           `json:"rack"`
	Address  string           `json:"address"`
	Phase    HostPhase        `json:"phase"`
	Slots    int              `json:"slots"`
	Capacity Resources        `json:"capacity"`
}

// HostList is a copy of the platform's list. AsOf is the time, on the reader's
// clock, at which the read started; the list itself lags behind by an unknown
// amount.
type HostList struct {
	Hosts []Host
	AsOf  time.Time
}

// QueueClass orders work within a pool.
type QueueClass string

// Classes of queues, most urgent first.
const (
	ClassUrgent      QueueClass = "urgent"
	ClassInteractive QueueClass = "interactive"
	ClassBatch       QueueClass = "batch"
)
