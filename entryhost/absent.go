package entryhost

import (
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// Services that the operators' API looks up and that have no implementation
// yet. Each is removed when its implementation is registered in its place.

type absent struct{}

func (absent) Provision(*kernel.Context) error { return nil }

type absentPeers struct{ absent }

func (absentPeers) Status() []services.PeerStatus { return nil }
func (absentPeers) Loads() []services.TeamLoad    { return nil }
func (absentPeers) SetLoads([]services.TeamLoad)  {}
func (absentPeers) SetLeavingHosts([]string)      {}
