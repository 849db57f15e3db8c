// Package budget decides which hosts may be taken out of service without
// exceeding the availability budget of any pool, rack or availability zone,
// and assigns each host to a pool.
//
// It does no I/O. Callers commit its results on condition that the state
// revision it decided from is unchanged.
package budget

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Assignments maps host names to pool names. A host has at most one entry and
// so belongs to exactly one pool once assigned.
type Assignments map[string]string

// Step is the phase of a host's maintenance, from draining to its return.
type Step string

// Steps of a host in the ledger. A host without an entry is in service.
const (
	StepDraining    Step = "draining"
	StepMaintenance Step = "maintenance"
	StepReturning   Step = "returning"
)

// Cause is the reason why a host is out of service.
type Cause string

// Causes of an entry in the ledger.
const (
	CauseDrain  Cause = "drain"
	CauseReboot Cause = "reboot"
	CauseMove   Cause = "move"
	CauseFailed Cause = "failed"
)

// LedgerEntry records one host that is out of service or being drained.
type LedgerEntry struct {
	Host   string                 `json:"host"`
	Pool   string                 `json:"pool"`
	Zone   fleet.AvailabilityZone `json:"zone"`
	Rack   string                 `json:"rack"`
	Cause  Cause                  `json:"cause"`
	Step   Step                   `json:"step"`
	Wave   string                 `json:"wave,omitempty"`
	MoveTo string                 `json:"moveTo,omitempty"`
	// Since is the wall-clock time at which Step began, used only for display
	// and for step deadlines.
	Since time.Time `json:"since"`
	// GrantedAt is the wall-clock time of the grant. The time out of service
	// that determines the parallelism of a wave is measured from it.
	GrantedAt time.Time `json:"granted"`
}

// Wave is one maintenance wave over the hosts of a pool.
type Wave struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// Pending lists the hosts not yet started, in the planned order.
	Pending []string `json:"pending,omitempty"`
	Done    []string `json:"done,omitempty"`
	Failed  []string `json:"failed,omitempty"`
	// MaxParallel limits how many hosts this wave takes out at once.
	MaxParallel int `json:"maxParallel"`
	// MaxFailed is the number of failures at which the wave stops.
	MaxFailed int `json:"maxFailed"`
	// StopReason is empty unless the wave was stopped.
	StopReason string `json:"stopped,omitempty"`
	// MeanOutOfService is the moving average of the time that hosts of this
	// wave were out of service, ShortestOutOfService the minimum. Both are zero
	// until the first host is done. They are stored so that any process can
	// continue the wave from the ledger alone.
	MeanOutOfService     time.Duration `json:"meanOut,omitempty"`
	ShortestOutOfService time.Duration `json:"bestOut,omitempty"`
}

// Ended reports whether the wave has stopped or has no host left to start.
// Hosts of the wave may still be out.
func (w Wave) Ended() bool { return w.StopReason != "" || len(w.Pending) == 0 }

// Ledger lists every host that is out of service and all waves in progress. It
// is a single part of the shared state, so that grants are serialised.
type Ledger struct {
	Entries map[string]LedgerEntry `json:"out"`
	Waves   map[string]Wave        `json:"waves,omitempty"`
	// Operations holds the change identifiers of the latest operator requests,
	// oldest first, to detect repeated requests. The state part itself keeps
	// only its last 16 changes, which maintenance steps fill within minutes.
	Operations []string `json:"operations,omitempty"`
}
