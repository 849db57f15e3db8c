// Package measure simulates the demand of docs/design.md section 1.2 against the
// decision packages to evaluate their decisions, and measures how their cost
// grows with the size of the fleet.
//
// A replay runs in one goroutine on a virtual clock; the same seed reproduces it
// exactly.
package measure

import (
	"fmt"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// slotsPerServer is the number of slots of a backend server.
const slotsPerServer = 8

// workerPool is the pool that holds all workers.
const workerPool = "workers"

// rackHosts is the number of hosts in a rack.
const rackHosts = 4

// deployment describes the fleet and the client accounts of one deployment.
type deployment struct {
	zones      []fleet.AvailabilityZone
	sparePool  string
	entryHosts int
	workers    int
	spareHosts int
	// servers is the number of backend servers of each service.
	servers []int
	teams   []account
}

// account is a client account: its fraction of the demand, share and limit.
type account struct {
	name           string
	class          fleet.QueueClass
	demandFraction float64
	share          float64
	limit          int
}

func deploymentByName(name string) (deployment, error) {
	switch name {
	case ShareWeighted:
		return deployment{
			zones: []fleet.AvailabilityZone{"klang", "shah-alam", "penang"}, sparePool: "office",
			entryHosts: 8, workers: 52, spareHosts: 4, servers: []int{8, 10, 12, 9, 11},
			teams: []account{
				{"a", fleet.ClassInteractive, 0.36, 3, 40},
				{"b", fleet.ClassInteractive, 0.28, 3, 32},
				{"c", fleet.ClassInteractive, 0.12, 2, 24},
				{"d", fleet.ClassInteractive, 0.10, 2, 24},
				{"e", fleet.ClassUrgent, 0.04, 1, 24},
				{"f", fleet.ClassBatch, 0.10, 1, 24},
			},
		}, nil
	case BufferWeighted:
		return deployment{
			zones: []fleet.AvailabilityZone{"porto-alegre", "florianopolis", "curitiba"}, sparePool: "apoio",
			entryHosts: 6, workers: 48, spareHosts: 4, servers: []int{12, 8, 9, 10, 8},
			teams: []account{
				{"a", fleet.ClassInteractive, 0.44, 2, 48},
				{"b", fleet.ClassInteractive, 0.20, 2, 28},
				{"c", fleet.ClassInteractive, 0.14, 2, 24},
				{"d", fleet.ClassInteractive, 0.06, 1, 16},
				{"e", fleet.ClassUrgent, 0.04, 1, 24},
				{"f", fleet.ClassBatch, 0.12, 1, 24},
			},
		}, nil
	}
	return deployment{}, fmt.Errorf("unknown deployment %q; known deployments: %v", name, DeploymentNames())
}

// serviceNames holds the name of each service, which is also that of its pool.
var serviceNames = []string{"service-1", "service-2", "service-3", "service-4", "service-5"}

func serviceName(i int) string { return serviceNames[i] }

// document returns a configuration that declares the pools and their
// availability budgets.
func (d deployment) document() *document.Document {
	var s document.Section
	for i, n := range d.servers {
		s.Pools = append(s.Pools, document.Pool{
			Name: serviceName(i), Kind: fleet.KindBackendServer,
			MaxUnavailable: max(2, n/4), MaxUnavailablePerZone: 2,
		})
	}
	s.Pools = append(s.Pools,
		document.Pool{Name: d.sparePool, Kind: fleet.KindBackendServer, Spare: true, MaxUnavailable: d.spareHosts},
		document.Pool{Name: workerPool, Kind: fleet.KindWorker, MaxUnavailable: d.workers / 4, MaxRacksOut: 4},
	)
	return &document.Document{Sections: map[string]document.Section{"pools": s}}
}

// startTimeout returns how long a caller waits for its request to start.
func (a account) startTimeout() time.Duration {
	if a.class == fleet.ClassBatch {
		return 30 * time.Second
	}
	return 6 * time.Second
}
