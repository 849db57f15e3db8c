// Package standin defines the parts of the stand-in that tests and trials use
// in place of the platform, backend servers and workers. The parts are
// services of a kernel, like those of the product.
package standin

import (
	"errors"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/standin/faults"
)

// Names of the stand-in's services.
const (
	NamePlatform = "standin-platform"
	NameFleet    = "standin-fleet"
)

// Operation is what the platform does to a host.
type Operation string

// Operations on hosts.
const (
	OperationDrain  Operation = "drain"
	OperationReboot Operation = "reboot"
	OperationReturn Operation = "return"
)

// Execution is one run of a request or task, as the backend server or worker
// saw it. End is zero while it runs.
type Execution struct {
	RequestID string
	Team      string
	Queue     string
	Server    string
	Start     time.Time
	End       time.Time
	// Job is set for a task of a worker; RequestID is then the job's and
	// Team and Queue are empty.
	Job bool
}

// ErrBusy is returned by operations that need an idle host.
var ErrBusy = errors.New("the host is in use")

// Fleet is the set of stand-in backend servers and workers. Methods may be
// used concurrently.
type Fleet interface {
	// ListHosts returns the list as it was lag ago.
	ListHosts(lag time.Duration) []fleet.Host
	Operate(op Operation, host string) error
	SetFaults(host string, set faults.Set) error
	Executions() []Execution
	// PeakByTeam returns the highest number of executions of each team that
	// ran at once.
	PeakByTeam() map[string]int
}
