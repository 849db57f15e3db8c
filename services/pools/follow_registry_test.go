package pools

import (
	"testing"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

func entry(id string, sequence int64, draining bool) services.RegisteredExecutor {
	return services.RegisteredExecutor{Service: testPool, Sequence: sequence, Executor: poolplan.Executor{ID: id, Address: "127.0.0.1:1", Draining: draining, ClockMs: 100 * sequence}}
}

// Guards against a copy of the registry that keeps an executor whose entry is gone
// or invalid, misses one that has changed, or is used again for each heartbeat.
func TestRegistryFollowsChanges(t *testing.T) {
	var v registryView
	assert.Assert(t, v.apply(0, services.RegistryChanges{Executors: []services.RegisteredExecutor{entry("a", 1, false), entry("b", 1, false)}, Version: 5}))
	assert.Assert(t, !v.apply(5, services.RegistryChanges{Executors: []services.RegisteredExecutor{entry("a", 2, false)}, Version: 6}), "a heartbeat counts as a change")
	assert.Equal(t, v.executors["a"].ClockMs, int64(200))
	assert.Assert(t, v.apply(6, services.RegistryChanges{Executors: []services.RegisteredExecutor{entry("a", 3, true)}, Version: 7}))
	assert.Assert(t, v.apply(7, services.RegistryChanges{Removed: []string{"b", "never-seen"}, Version: 8}))
	assert.Equal(t, len(v.executors), 1)
	assert.Equal(t, v.version, int64(8))
	assert.Assert(t, v.apply(0, services.RegistryChanges{Executors: []services.RegisteredExecutor{entry("c", 1, false)}, Version: 9}))
	assert.Equal(t, len(v.executors), 1, "entries from before a complete read were kept")
}
