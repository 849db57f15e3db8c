package entryhost

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// Services that the operators' API looks up and that have no implementation
// yet. Each is removed when its implementation is registered in its place.

func absentFault(step, service string) error {
	return fault.New(&fault.NotRun, fault.ReasonUnsupported, step, "", "this entry host has no service %s", service)
}

type absent struct{}

func (absent) Provision(*kernel.Context) error { return nil }

type absentPeers struct{ absent }

func (absentPeers) Status() []services.PeerStatus { return nil }
func (absentPeers) Loads() []services.TeamLoad    { return nil }
func (absentPeers) SetLoads([]services.TeamLoad)  {}
func (absentPeers) SetLeavingHosts([]string)      {}

type absentRights struct{ absent }

func (absentRights) Acquire(context.Context, string, int) error {
	return absentFault("acquire right", services.NameRights)
}
func (absentRights) Release(string, int)             {}
func (absentRights) Waiting(string, int)             {}
func (absentRights) Freed(string) services.FreedRing { return nil }
func (absentRights) Use() []services.RightsUse       { return nil }

type absentJobs struct{ absent }

func (absentJobs) Submit(context.Context, string, string, services.JobSpec) (services.JobStatus, error) {
	return services.JobStatus{}, absentFault("submit job", services.NameJobs)
}
func (absentJobs) Status(context.Context, string, string) (services.JobStatus, error) {
	return services.JobStatus{}, absentFault("read job", services.NameJobs)
}
func (absentJobs) Result(context.Context, string, string) ([]byte, bool, error) {
	return nil, false, absentFault("read job result", services.NameJobs)
}
func (absentJobs) Cancel(context.Context, string, string) (services.JobStatus, error) {
	return services.JobStatus{}, absentFault("cancel job", services.NameJobs)
}
func (absentJobs) List(context.Context, string, int) ([]services.JobStatus, error) {
	return nil, absentFault("list jobs", services.NameJobs)
}

type absentMaintenance struct{ absent }

func (absentMaintenance) Drain(context.Context, string, string, budget.Cause) (budget.Out, error) {
	return budget.Out{}, absentFault("drain host", services.NameMaintenance)
}
func (absentMaintenance) Return(context.Context, string, string) error {
	return absentFault("return host", services.NameMaintenance)
}
func (absentMaintenance) Move(context.Context, string, string, string) (budget.Out, error) {
	return budget.Out{}, absentFault("move host", services.NameMaintenance)
}
func (absentMaintenance) StartWave(context.Context, budget.Wave) (budget.Wave, error) {
	return budget.Wave{}, absentFault("start wave", services.NameMaintenance)
}
func (absentMaintenance) StopWave(context.Context, string, string, string) error {
	return absentFault("stop wave", services.NameMaintenance)
}
