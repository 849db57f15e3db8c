package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/services"
)

// Guards against work for the executor of a machine that was ordered away: the registry
// lists that executor for some seconds, and its cordon was lifted as soon as the list
// showed the machine elsewhere, or while the list was older than the order.
func TestMovedMachineStaysCordonedInItsFormerPool(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New(Settings{Host: "h"}, func() time.Time { return start })
	s.departures[departure{"m", "a"}] = start
	s.movesInProgress["m"] = moveInProgress{"idle", start}
	listed := func(pool string, state services.MachineState) []services.Machine {
		return []services.Machine{{Name: "m", Pool: pool, State: state}}
	}
	cordoned := func(after time.Duration, list []services.Machine) bool {
		return len(s.departedMachines(start.Add(after), list)["a"]) > 0
	}
	assert.Assert(t, cordoned(100*time.Millisecond, listed("a", services.MachineUp)), "the list is older than the order")
	assert.Assert(t, cordoned(500*time.Millisecond, listed("idle", services.MachineMoving)))
	delete(s.movesInProgress, "m")
	assert.Assert(t, cordoned(2*time.Second, listed("idle", services.MachineUp)))
	s.movesInProgress["m"] = moveInProgress{"a", start.Add(3 * time.Second)}
	assert.Assert(t, cordoned(3*time.Second, listed("idle", services.MachineUp)))
	assert.Assert(t, !cordoned(5*time.Second, listed("a", services.MachineUp)), "it is in service there again")
	delete(s.movesInProgress, "m")
	assert.Assert(t, !cordoned(departureTime+time.Millisecond, listed("idle", services.MachineUp)))
}

// Guards against a wave that takes a machine which stays cordoned in its former pool for
// one that it is emptying, and empties it in its new pool beyond the limit there.
func TestMovedMachineIsNotCordonedInItsNewPool(t *testing.T) {
	s := New(Settings{Host: "h"}, func() time.Time { return time.Unix(1000, 0) })
	s.departures[departure{"m", "a"}] = time.Unix(1000, 0)
	var cordons poolCordons
	cordons.record.Machines = []string{"m", "n"}
	s.cordons["a"] = cordons
	assert.DeepEqual(t, s.cordonedMachines(), map[string]bool{"n": true})
}

// Guards against a wave that does not see that it empties a machine, because the machine
// has left the same pool and come back a short time ago.
func TestReturnedMachineCountsAsCordoned(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Host: "h"}, func() time.Time { return now })
	s.departures[departure{"m", "a"}] = now
	var cordons poolCordons
	cordons.record.Machines = []string{"m"}
	s.cordons["a"] = cordons
	s.departedMachines(now.Add(4*time.Second), []services.Machine{{Name: "m", Pool: "a", State: services.MachineUp}})
	assert.DeepEqual(t, s.cordonedMachines(), map[string]bool{"m": true})
}
