// Package budget decides which hosts may leave service, so that the
// availability budget of each pool, rack and availability zone holds, and to
// which pool each host belongs.
//
// It is free of I/O. Callers commit its results conditionally on the revision
// of the state that it decided from.
package budget

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Assignments maps host names to pool names. A host has at most one entry and
// so belongs to exactly one pool once assigned.
type Assignments map[string]string

// Step is the position of a host on its way out of service and back.
type Step string

// Steps of a host that is in the ledger. A host without an entry is in
// service.
const (
	StepDraining    Step = "draining"
	StepMaintenance Step = "maintenance"
	StepReturning   Step = "returning"
)

// Cause tells why a host is out of service.
type Cause string

// Causes of an entry in the ledger.
const (
	CauseDrain  Cause = "drain"
	CauseReboot Cause = "reboot"
	CauseMove   Cause = "move"
	CauseFailed Cause = "failed"
)

// LedgerEntry is one host that is out of service or leaving it.
type LedgerEntry struct {
	Host   string                 `json:"host"`
	Pool   string                 `json:"pool"`
	Zone   fleet.AvailabilityZone `json:"zone"`
	Rack   string                 `json:"rack"`
	Cause  Cause                  `json:"cause"`
	Step   Step                   `json:"step"`
	Wave   string                 `json:"wave,omitempty"`
	MoveTo string                 `json:"moveTo,omitempty"`
	// Since is the wall-clock time of the last step, for display and for
	// step deadlines only.
	Since time.Time `json:"since"`
	// GrantedAt is the wall-clock time of the grant, from which a wave's pace
	// is measured.
	GrantedAt time.Time `json:"granted"`
}

// Wave is one maintenance wave over the hosts of a pool.
type Wave struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// Pending are hosts not yet started, in the planned order.
	Pending []string `json:"pending,omitempty"`
	Done    []string `json:"done,omitempty"`
	Failed  []string `json:"failed,omitempty"`
	// MaxParallel bounds the hosts out at once for this wave.
	MaxParallel int `json:"maxParallel"`
	// MaxFailed is the number of failures at which the wave stops.
	MaxFailed int `json:"maxFailed"`
	// StopReason holds the reason why the wave stopped, if it did.
	StopReason string `json:"stopped,omitempty"`
	// MeanOutOfService is the moving mean of the time that a host of this wave was
	// out, ShortestOutOfService the shortest; zero before the first host was done. They
	// are kept here so that a wave continues from the ledger alone.
	MeanOutOfService     time.Duration `json:"meanOut,omitempty"`
	ShortestOutOfService time.Duration `json:"bestOut,omitempty"`
}

// Ended reports whether the wave has stopped or has no host left to start.
// Hosts of the wave may still be out.
func (w Wave) Ended() bool { return w.StopReason != "" || len(w.Pending) == 0 }

// Ledger lists every host that is out of service and all waves under way. It
// is one part of the shared state, so that grants are serialised.
type Ledger struct {
	Entries map[string]LedgerEntry `json:"out"`
	Waves   map[string]Wave        `json:"waves,omitempty"`
	// Operations are the change identifiers of the latest operator requests,
	// oldest first. A part remembers only its last 16 changes, which hosts
	// stepping through maintenance use up within minutes.
	Operations []string `json:"operations,omitempty"`
}
