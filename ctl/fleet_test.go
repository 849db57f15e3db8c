package ctl_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	fleetJob    = "00000000000000aa"
	fleetTenant = "tenant"
)

// newFleet returns a platform with one running job, the owner of its pool, and a
// division of the tenant's limit.
func newFleet(t *testing.T) *fleetplatform.Fleet {
	t.Helper()
	fleet := fleetplatform.Start(2, time.Second)
	t.Cleanup(fleet.Close)
	fleet.Configure(3, "jobs.example", "/q/", "secret-key")
	put := func(key services.RecordKey, value []byte, err error) {
		assert.NilError(t, err)
		fleet.Store.PutBytes(key.Table, key.Part, key.Key, value)
	}
	spec := &workload.Spec{ID: fleetJob, Queue: catalog.Origin{Name: "queue"}, Tenant: fleetTenant, AcceptedAt: time.UnixMilli(1_780_000_000_000), Steps: []workload.Step{{Count: 2}, {Count: 1, After: []int{0}}}}
	value, err := jobrecord.EncodeSpec(spec)
	put(jobrecord.JobKey(fleet.Service, fleetJob), value, err)
	value, err = jobrecord.EncodeProgress(&workload.Progress{
		State: workload.Running, Done: []workload.TaskName{{Index: 1}}, Failures: map[workload.TaskName]workload.Failures{{Index: 0}: {Count: 1, Attempts: []int{1}}},
	})
	put(jobrecord.ProgressKey(fleet.Service, fleetJob, 0), value, err)
	value, err = json.Marshal(jobrecord.OwnerRecord{Holder: "edge-1", Term: 4, Renewals: 7})
	put(jobrecord.OwnerKey(fleet.Service), value, err)
	value, err = json.Marshal(jobrecord.StatusRecord{Term: 4, PendingRecord: jobrecord.PendingRecord{Pending: map[string]int{"queue": 5}}, DemandMilliCPU: 2500, CapacityMilliCPU: 8000})
	put(jobrecord.StatusKey(fleet.Service), value, err)
	put(jobrecord.LimitKey(fleetTenant), fmt.Appendf(nil, `{"pools":{%q:{"MilliCPU":3000}},"reservations":{%q:{"Need":{"MilliCPU":4000},"SinceMs":1780000000000}}}`, fleet.Service, fleet.Service), nil)
	return fleet
}

// Guards against fleet commands that do not work while no entry host answers.
func TestFleetCommandsReadTheStore(t *testing.T) {
	fleet := newFleet(t)
	t.Setenv("FUCHSIAFRONT_STORE", fleet.Address())
	t.Setenv("FUCHSIAFRONT_MACHINES", fleet.Address())
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"configuration"}, []string{"queue", "tenant", "VERSION  3"}},
		{[]string{"owners"}, []string{"edge-1  4", services.MachineManagementPool}},
		{[]string{"pools"}, []string{"2.5", "8", "5"}},
		{[]string{"executors"}, []string{"m-", "r1-1"}},
		{[]string{"machines"}, []string{"MACHINE"}},
		{[]string{"waves"}, []string{"AT_ONCE"}},
		{[]string{"limits"}, []string{"tenant", "since  2026-"}},
		{[]string{"jobs", "queue"}, []string{fleetJob, "running  1", "3"}},
		{[]string{"job", fleetJob}, []string{"owner  edge-1", "0.0", "0.1", "[0]"}},
	} {
		status, out, errs := run(append([]string{"fleet"}, c.args...)...)
		assert.Equal(t, status, 0, "%v: %s", c.args, errs)
		for _, want := range c.want {
			assert.Check(t, is.Contains(strings.Join(strings.Fields(out), "  "), want), "%v", c.args)
		}
		status, out, errs = run(append([]string{"--json", "fleet"}, c.args...)...)
		assert.Equal(t, status, 0, "%v: %s", c.args, errs)
		assert.Check(t, json.Valid([]byte(out)), "%v: %s", c.args, out)
		assert.Check(t, !strings.Contains(out, "secret-key"), "%v printed a key", c.args)
	}
}

// Guards against a result in place of an error for an unknown job or queue, a
// store that does not answer, or an invalid address.
func TestFleetCommandsFail(t *testing.T) {
	fleet := newFleet(t)
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"--store", fleet.Address(), "job", "00000000000000bb"}, 1, "no pool"},
		{[]string{"--store", fleet.Address(), "jobs", "other"}, 1, "no queue"},
		{[]string{"--store", "nowhere", "owners"}, 2, "--store"},
		{[]string{"--store", fleet.Address(), "machines"}, 2, "--machines"},
		{[]string{"--store", "127.0.0.1:1", "owners"}, 1, "platform-down"},
	} {
		status, _, errs := run(append([]string{"--timeout", "2s", "fleet"}, c.args...)...)
		assert.Check(t, is.Equal(status, c.status), "%v: %s", c.args, errs)
		assert.Check(t, is.Contains(errs, c.want), "%v", c.args)
	}
}
