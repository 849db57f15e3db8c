// Package standin defines the interfaces of the stand-in, which tests and trials
// use in place of the platform, backend servers and workers. Its parts are kernel
// services, like those of the product.
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

// Operation is an operation of the platform on a host.
type Operation string

// Operations on hosts.
const (
	OperationDrain  Operation = "drain"
	OperationReboot Operation = "reboot"
	OperationReturn Operation = "return"
)

// Execution is one run of a request or task, as recorded by the backend server or
// worker that ran it. End is zero while it runs.
type Execution struct {
	RequestID string
	Team      string
	Queue     string
	Server    string
	Start     time.Time
	End       time.Time
	// Job is set for a task of a worker. RequestID is then the job's ID, and
	// Team and Queue are empty.
	Job bool
}

// ErrBusy is returned by operations that need an idle host.
var ErrBusy = errors.New("the host is in use")

// Fleet is the set of stand-in backend servers and workers. Methods may be
// used concurrently.
type Fleet interface {
	// ListHosts returns the host list as it was lag ago.
	ListHosts(lag time.Duration) []fleet.Host
	Operate(op Operation, host string) error
	SetFaults(host string, set faults.Set) error
	Executions() []Execution
	// PeakByTeam returns the highest number of concurrent executions of each team.
	PeakByTeam() map[string]int
}
