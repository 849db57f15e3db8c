package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// whereResult is what the tests look at in the output of fleet where.
type whereResult struct {
	Refusals  []struct{ Reason string }
	Owner     struct{ State string }
	Placement struct {
		Placed           int
		Wait, Never      string
		PlacedIfEnlarged int
	}
	ExpectedWait struct{ Ms float64 }
	Executors    []struct {
		Executor, Obstacle string
		Placed             int
	}
	Facts []struct {
		Fact  string
		AgeMs float64
	}
}

// newPlacedFleet returns a platform with two executors of 4 cores each, on one of which
// 3 cores are used. The tenant uses tenantCPU of its 3 cores in the pool.
func newPlacedFleet(t *testing.T, tenantCPU int64) *fleetplatform.Fleet {
	t.Helper()
	fleet := newFleet(t)
	for _, id := range []string{"i-0", "i-1"} {
		fleet.Store.Put("servers", "", id, fleet.Executor(id).RegistryEntry(fleet.Service, fleet.ExecutorAddress(id), 0))
	}
	limit := jobrecord.LimitKey(fleetTenant)
	allotted := allotment.Row{Pools: allotment.Allotments{fleet.Service: {MilliCPU: 3000, MemoryBytes: 1 << 30}}}
	fleet.Store.Put(limit.Table, limit.Part, limit.Key, allotted)
	status := jobrecord.StatusRecord{
		Term: 4, DemandMilliCPU: 3000, CapacityMilliCPU: 8000,
		Machines: map[string]jobrecord.MachineUse{"m-i-0": {MilliCPU: 3000, Tasks: 2}, "m-i-1": {}},
		Tenants:  map[string]jobrecord.Amounts{fleetTenant: {MilliCPU: tenantCPU}},
	}
	key := jobrecord.StatusKey(fleet.Service)
	fleet.Store.Put(key.Table, key.Part, key.Key, status)
	return fleet
}

// renewOwner renews the record of the pool's owner until the test ends.
func renewOwner(t *testing.T, fleet *fleetplatform.Fleet) {
	t.Helper()
	stop, stopped := make(chan struct{}), make(chan struct{})
	key := jobrecord.OwnerKey(fleet.Service)
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for renewals := int64(8); ; renewals++ {
			fleet.Store.Put(key.Table, key.Part, key.Key, jobrecord.OwnerRecord{Holder: "edge-1", Term: 4, Renewals: renewals})
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// where runs fleet where for a job and returns its output as JSON and as a table.
func where(t *testing.T, fleet *fleetplatform.Fleet, job string, args ...string) (whereResult, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(file, []byte(job), 0o600))
	args = append([]string{"fleet", "--store", fleet.Address(), "where", file}, args...)
	status, table, errs := run(args...)
	assert.Equal(t, status, 0, errs)
	status, text, errs := run(append([]string{"--json"}, args...)...)
	assert.Equal(t, status, 0, errs)
	assert.Assert(t, !strings.Contains(table+text, "secret-key"), "a key was printed")
	var result whereResult
	assert.NilError(t, json.Unmarshal([]byte(text), &result))
	return result, strings.Join(strings.Fields(table), " ")
}

// Guards against an explanation that differs from what the owner of the pool would do, or
// that reads as a placement when there is none.
func TestWhereExplainsPlacement(t *testing.T) {
	const smallJob = `{"spec": "", "phases": [{"count": 1, "cpu": 2000, "mem-mb": 64, "estimate-ms": 100}]}`
	for name, c := range map[string]struct {
		job       string
		args      []string
		tenantCPU int64
		silent    bool
		evacuated string
		want      func(*testing.T, *whereResult)
		table     string
	}{
		"fits": {job: smallJob, want: func(t *testing.T, r *whereResult) {
			assert.Equal(t, r.Placement.Placed, 1)
			assert.Equal(t, r.Executors[0].Executor, "i-1")
			assert.Equal(t, r.Executors[1].Obstacle, "room")
			assert.Equal(t, r.Owner.State, "renewing")
			assert.Equal(t, r.ExpectedWait.Ms, 0.0)
			assert.Equal(t, len(r.Facts), 6)
		}, table: "i-1 m-i-1 z2 r1-1 4 8192 0 1 0 chosen"},
		"label that no executor has": {job: strings.Replace(smallJob, `"count"`, `"constraints": "big", "count"`, 1), want: func(t *testing.T, r *whereResult) {
			assert.Equal(t, r.Placement.Placed, 0)
			assert.Equal(t, r.Placement.Never, "label")
			assert.Equal(t, r.Executors[0].Obstacle, "label")
			assert.Equal(t, r.ExpectedWait.Ms, -1.0)
		}, table: "NEVER label"},
		"tenant at its limit": {job: smallJob, tenantCPU: 2000, want: func(t *testing.T, r *whereResult) {
			assert.Equal(t, r.Placement.Placed, 0)
			assert.Equal(t, r.Placement.Wait, "tenant-limit")
			assert.Equal(t, r.Placement.Never, "")
			assert.Equal(t, r.Placement.PlacedIfEnlarged, 1)
		}, table: "used 2 0 0 allotted 3 1024 0"},
		"evacuated zone": {job: smallJob, evacuated: "z2", want: func(t *testing.T, r *whereResult) {
			assert.Equal(t, r.Placement.Placed, 0)
			assert.Equal(t, obstacleOf(r, "i-1"), "zone-evacuated")
		}, table: "the owner has not published that it applies the evacuation of zone z2"},
		"silent owner": {job: smallJob, silent: true, want: func(t *testing.T, r *whereResult) {
			assert.Equal(t, r.Placement.Placed, 0)
			assert.Equal(t, r.Placement.Wait, "owner-silent")
			assert.Equal(t, r.Executors[0].Placed, 0)
		}, table: "term 4 silent not renewed for at least"},
		"unknown queue":      {job: smallJob, args: []string{"--queue", "other"}, want: refusedFor("unknown-queue"), table: "REFUSED unknown-queue"},
		"no tenant":          {job: smallJob, args: []string{"--tenant", ""}, want: refusedFor("no-key"), table: "REFUSED no-key"},
		"body without steps": {job: `{"phases": []}`, want: refusedFor("malformed"), table: "REFUSED malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newPlacedFleet(t, c.tenantCPU)
			if !c.silent {
				renewOwner(t, fleet)
			}
			if c.evacuated != "" {
				fleet.Evacuate(c.evacuated)
			}
			result, table := where(t, fleet, c.job, append([]string{"--queue", "queue", "--tenant", fleetTenant}, c.args...)...)
			c.want(t, &result)
			assert.Check(t, is.Contains(table, c.table))
			assert.Equal(t, fleet.Store.CommitCount(), 0, "the command wrote to the store")
		})
	}
}

// obstacleOf returns the obstacle of an executor.
func obstacleOf(r *whereResult, executor string) string {
	for i := range r.Executors {
		if r.Executors[i].Executor == executor {
			return r.Executors[i].Obstacle
		}
	}
	return "not listed"
}

// refusedFor checks that a job is refused for one reason and not placed.
func refusedFor(reason string) func(*testing.T, *whereResult) {
	return func(t *testing.T, r *whereResult) {
		assert.Equal(t, len(r.Refusals), 1)
		assert.Equal(t, r.Refusals[0].Reason, reason)
		assert.Equal(t, len(r.Executors), 0)
	}
}
