package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

type standbyCatalogs struct{ services.Catalogs }

func (standbyCatalogs) Catalog() *catalog.Catalog {
	return catalog.New(1, nil, []catalog.Service{{Name: "pool"}, {Name: "spare", Standby: true}}, nil)
}

func (standbyCatalogs) Evacuations() evacuation.Set { return evacuation.Set{} }

// lastSummary keeps what was published.
type lastSummary struct {
	services.PoolSummaries
	published []services.PublishedSummary
}

func (l *lastSummary) PublishSummary(p services.PublishedSummary) bool {
	l.published = append(l.published, p)
	return true
}

// Guards against refusals although machines are in standby or on their way, against
// machines that are down counting as capacity, and against a summary in each round.
func TestStandbyCapacity(t *testing.T) {
	now, summaries := time.Unix(0, 0), new(lastSummary)
	s := New(Settings{PublishStandby: true}, func() time.Time { return now })
	s.catalogs, s.summaries = standbyCatalogs{}, summaries
	s.poolOwnership.RenewalVersion = 3
	machine := func(name, pool string, state services.MachineState, milliCPU int64) services.Machine {
		return services.Machine{Name: name, Pool: pool, State: state, Capacity: fleet.Resources{MilliCPU: milliCPU}}
	}
	s.movesInProgress["ordered"] = moveInProgress{}
	list := []services.Machine{
		machine("up", "spare", services.MachineUp, 1), machine("down", "spare", services.MachineDown, 10), machine("busy", "pool", services.MachineUp, 100),
		machine("ordered", "spare", services.MachineUp, 1000), machine("moving", "pool", services.MachineMoving, 10_000),
	}
	s.publishStandby(now, list)
	s.publishStandby(now, list)
	assert.Equal(t, len(summaries.published), 1)
	assert.Equal(t, summaries.published[0].Summary.StandbyMilliCPU, int64(11_001))
}
