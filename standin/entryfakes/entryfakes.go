package entryfakes

import (
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// Set is one fake of each service that the operators' API looks up, but for
// the metrics.
type Set struct {
	State       *State
	Membership  *Membership
	Peers       *Peers
	Rights      *Rights
	Jobs        *Jobs
	Maintenance *Maintenance
	Dispatcher  *Dispatcher
	Hosts       *Hosts
}

// NewSet returns fakes for an entry host of a name.
func NewSet(name string, clock services.Clock) *Set {
	self := services.Identity{Name: name, Zone: "klang", Incarnation: 1}
	return &Set{
		State:       NewState(clock),
		Membership:  &Membership{Identity: self, members: []services.Identity{self}},
		Peers:       &Peers{},
		Rights:      &Rights{},
		Jobs:        &Jobs{},
		Maintenance: &Maintenance{},
		Dispatcher:  &Dispatcher{},
		Hosts:       &Hosts{},
	}
}

// Register registers the fakes under the names of the services.
func (s *Set) Register(k *kernel.Kernel) {
	k.Register(services.NameState, s.State)
	k.Register(services.NameMembership, s.Membership)
	k.Register(services.NamePeers, s.Peers)
	k.Register(services.NameRights, s.Rights)
	k.Register(services.NameJobs, s.Jobs)
	k.Register(services.NameMaintenance, s.Maintenance)
	k.Register(services.NameDispatch, s.Dispatcher)
	k.Register(services.NameHosts, s.Hosts)
}
