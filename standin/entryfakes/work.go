package entryfakes

import (
	"context"
	"sync"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// baseService provides the method Provision of all fakes.
type baseService struct{}

// Provision implements kernel.Service.
func (baseService) Provision(*kernel.Context) error { return nil }

// Membership is a fake of services.Membership.
type Membership struct {
	baseService
	Identity services.Identity

	mu           sync.Mutex
	members      []services.Identity
	endedMembers []string
}

// SetMembers sets the members that the platform lists.
func (m *Membership) SetMembers(members ...services.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = members
}

// Self implements services.Membership.
func (m *Membership) Self() services.Identity { return m.Identity }

// CheckMayUseRights implements services.Membership.
func (m *Membership) CheckMayUseRights(time.Time) error { return nil }

// CheckMayAcceptChanges implements services.Membership.
func (m *Membership) CheckMayAcceptChanges() error { return nil }

// Members implements services.Membership.
func (m *Membership) Members() []services.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// ReceiveConfirmation implements services.Membership.
func (m *Membership) ReceiveConfirmation(services.Identity) {}

// ReceiveMembers implements services.Membership.
func (m *Membership) ReceiveMembers([]services.Identity) {}

// DeclareEnded implements services.MemberEnder.
func (m *Membership) DeclareEnded(_ context.Context, _, member string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedMembers = append(m.endedMembers, member)
	return nil
}

// EndedMembers returns the members that were declared as ended.
func (m *Membership) EndedMembers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endedMembers
}

// Peers is a fake of services.Peers.
type Peers struct {
	baseService
	TeamLoads []services.TeamLoad

	mu       sync.Mutex
	statuses []services.PeerStatus
}

// SetStatus sets the last reports of the peers.
func (p *Peers) SetStatus(statuses ...services.PeerStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses = statuses
}

// Status implements services.Peers.
func (p *Peers) Status() []services.PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses
}

// Loads implements services.Peers.
func (p *Peers) Loads() []services.TeamLoad { return p.TeamLoads }

// SetLoads implements services.Peers.
func (p *Peers) SetLoads([]services.TeamLoad) {}

// SetLeavingHosts implements services.Peers.
func (p *Peers) SetLeavingHosts([]string) {}

// Rights is a fake of services.Rights that grants nothing.
type Rights struct {
	baseService
	mu    sync.Mutex
	usage []services.RightsUsage
}

// SetUsage sets what Usage returns.
func (r *Rights) SetUsage(use ...services.RightsUsage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage = use
}

// Acquire implements services.Rights.
func (r *Rights) Acquire(_ context.Context, team string, _ int) error {
	return fault.New(&fault.NotRun, fault.ReasonTeamLimit, "acquire right", team, "the fake grants no right")
}

// Release implements services.Rights.
func (r *Rights) Release(string, int) {}

// SetWaiting implements services.Rights.
func (r *Rights) SetWaiting(string, int) {}

// WatchFreedRights implements services.Rights.
func (r *Rights) WatchFreedRights(string) services.FreedRing { return nil }

// Usage implements services.Rights.
func (r *Rights) Usage() []services.RightsUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// Jobs is a fake of services.Jobs that only lists jobs.
type Jobs struct {
	baseService
	services.Jobs
	Statuses []services.JobStatus
}

// List implements services.Jobs.
func (j *Jobs) List(_ context.Context, queue string, limit int) ([]services.JobStatus, error) {
	var found []services.JobStatus
	for _, job := range j.Statuses {
		if job.Queue == queue && len(found) < limit {
			found = append(found, job)
		}
	}
	return found, nil
}

// Maintenance is a fake of services.Maintenance that records its calls.
type Maintenance struct {
	baseService
	mu    sync.Mutex
	calls []string
	err   error
}

// Calls returns the calls so far, as "operation host".
func (m *Maintenance) Calls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// SetError makes all later calls return err.
func (m *Maintenance) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

func (m *Maintenance) record(call string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, call)
	return m.err
}

// Drain implements services.Maintenance.
func (m *Maintenance) Drain(_ context.Context, _, host string, cause budget.Cause) (budget.LedgerEntry, error) {
	return budget.LedgerEntry{Host: host, Cause: cause, Step: budget.StepDraining}, m.record("drain " + host)
}

// Return implements services.Maintenance.
func (m *Maintenance) Return(_ context.Context, _, host string) error {
	return m.record("return " + host)
}

// Move implements services.Maintenance.
func (m *Maintenance) Move(_ context.Context, _, host, toPool string) (budget.LedgerEntry, error) {
	return budget.LedgerEntry{Host: host, Cause: budget.CauseMove, MoveTo: toPool}, m.record("move " + host)
}

// StartWave implements services.Maintenance.
func (m *Maintenance) StartWave(_ context.Context, w budget.Wave) (budget.Wave, error) {
	return w, m.record("start " + w.ID)
}

// StopWave implements services.Maintenance.
func (m *Maintenance) StopWave(_ context.Context, _, id, _ string) error {
	return m.record("stop " + id)
}

// Dispatcher is a fake of services.Dispatcher that refuses all requests.
type Dispatcher struct {
	baseService
	QueueStatuses []services.QueueStatus
}

// Submit implements services.Dispatcher.
func (d *Dispatcher) Submit(context.Context, *services.Request) (*services.Reply, error) {
	return nil, fault.New(&fault.NotRun, fault.ReasonNoBackendServer, "submit", "", "the fake runs nothing")
}

// Queues implements services.Dispatcher.
func (d *Dispatcher) Queues() []services.QueueStatus { return d.QueueStatuses }

// Hosts is a fake of services.Hosts.
type Hosts struct {
	baseService
	List fleet.HostList
}

// Hosts implements services.Hosts.
func (h *Hosts) Hosts() *fleet.HostList { return &h.List }

// ReportLeaving implements services.Hosts.
func (h *Hosts) ReportLeaving(string) {}
