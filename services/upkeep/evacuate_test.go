package upkeep

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// evacuatingCatalogs has a pool, a standby pool and the evacuated zone a.
type evacuatingCatalogs struct {
	services.Catalogs
	evacuated bool
}

func (evacuatingCatalogs) Catalog() *catalog.Catalog {
	return catalog.New(1, nil, []catalog.Service{{Name: "pool"}, {Name: "standby", Standby: true}}, nil)
}

func (c evacuatingCatalogs) Evacuations() evacuation.Set {
	return evacuation.Set{}.WithChanges([]evacuation.Request{{Zone: "a", Version: 1, TakenBack: !c.evacuated}})
}

// Guards against machines that are moved to a pool which cannot use them, because their
// zone is evacuated, and against a pool that is short of machines and gets none, because
// those in the zone count.
func TestMachinesOfEvacuatedZoneNeitherMoveNorCount(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		s := New(Settings{OrdersPerSecond: 100}, time.Now)
		s.log, s.catalogs = zerolog.Nop(), evacuatingCatalogs{evacuated: evacuated}
		s.statuses["pool"] = jobrecord.StatusRecord{DemandMilliCPU: 1500}
		machine := func(name, pool, zone string) services.Machine {
			return services.Machine{Name: name, Pool: pool, Zone: zone, State: services.MachineUp, Capacity: fleet.Resources{MilliCPU: 1000}}
		}
		list := []services.Machine{machine("p1", "pool", "a"), machine("p2", "pool", "a"), machine("s1", "standby", "a"), machine("s2", "standby", "b"), machine("s3", "standby", "b")}
		moves := s.planMoves(time.Now(), list, upkeep.Plan{}).Moves
		if !evacuated {
			assert.Equal(t, len(moves), 0, "the pool has what it needs")
			continue
		}
		assert.DeepEqual(t, moves, []sizing.Move{{Machine: "s2", From: "standby", To: "pool"}, {Machine: "s3", From: "standby", To: "pool"}})
	}
}

// Guards against waits that are estimated with standby machines of an evacuated zone, which
// no pool gets.
func TestStandbyCapacityLeavesOutEvacuatedZone(t *testing.T) {
	s := New(Settings{}, time.Now)
	s.catalogs = evacuatingCatalogs{evacuated: true}
	machine := func(zone string, milliCPU int64) services.Machine {
		return services.Machine{Name: zone, Pool: "standby", Zone: zone, State: services.MachineUp, Capacity: fleet.Resources{MilliCPU: milliCPU}}
	}
	assert.Equal(t, s.standbyMilliCPU([]services.Machine{machine("a", 1), machine("b", 10)}), int64(10))
}
