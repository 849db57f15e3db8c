package admin_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// TestHostOperations guards against an operation that reaches the wrong method
// of the maintenance service or forwards invalid fields.
func TestHostOperations(t *testing.T) {
	f := newFixtureWithDocument(t)
	ctx := t.Context()
	_, err := f.client.Drain(ctx, withKey(sitiKey, &wirev1.DrainRequest{ChangeId: "1", Host: "s1", Cause: "reboot"}))
	assert.NilError(t, err)
	_, err = f.client.Return(ctx, withKey(sitiKey, &wirev1.ReturnRequest{ChangeId: "2", Host: "s1"}))
	assert.NilError(t, err)
	_, err = f.client.Move(ctx, withKey(sitiKey, &wirev1.MoveRequest{ChangeId: "3", Host: "s1", ToPool: "quotes"}))
	assert.NilError(t, err)
	_, err = f.client.StartWave(ctx, withKey(sitiKey, &wirev1.StartWaveRequest{Id: "w1", Pool: "quotes", MaxParallel: 2, MaxFailed: 1}))
	assert.NilError(t, err)
	_, err = f.client.StopWave(ctx, withKey(sitiKey, &wirev1.StopWaveRequest{ChangeId: "4", Id: "w1"}))
	assert.NilError(t, err)

	_, err = f.client.Drain(ctx, withKey(sitiKey, &wirev1.DrainRequest{ChangeId: "5", Host: "s1", Cause: "whim"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	_, err = f.client.Move(ctx, withKey(sitiKey, &wirev1.MoveRequest{ChangeId: "6", Host: "s1", ToPool: "nowhere"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	_, err = f.client.StartWave(ctx, withKey(sitiKey, &wirev1.StartWaveRequest{Id: "w2", Pool: "quotes", MaxFailed: 1}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	assert.DeepEqual(t, f.Maintenance.Calls(), []string{"drain s1", "return s1", "move s1", "start w1", "stop w1"})

	f.Maintenance.SetError(fault.New(&fault.NotRun, fault.ReasonAvailabilityBudget, "grant", "quotes", "1 of at most 1 hosts are out"))
	_, err = f.client.Drain(ctx, withKey(sitiKey, &wirev1.DrainRequest{ChangeId: "7", Host: "s2"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition))
	assert.Equal(t, refusal(t, err).Outcome, "not-run")
}

// TestLists guards against lists that omit entries or mix them up.
func TestLists(t *testing.T) {
	f := newFixtureWithDocument(t)
	ctx := t.Context()
	f.Hosts.List = fleet.HostList{Hosts: []fleet.Host{{Name: "s2", Kind: "backend-server", Zone: "klang", Phase: "live"}}}
	_, err := f.State.Change(ctx, revision.Change{ID: "ledger", Updates: []revision.Update{
		{Part: services.PartHostsPrefix + "00", Data: []byte(`{"s1":"quotes","s2":"quotes"}`)},
		{Part: services.PartLedger, Data: []byte(`{"out":{"s2":{"host":"s2","pool":"quotes","step":"draining","cause":"drain","wave":"w"}},"waves":{"w":{"id":"w","pool":"quotes","maxParallel":1}}}`)},
	}})
	assert.NilError(t, err)
	hosts, err := f.client.ListHostStatus(ctx, withKey(joaoKey, &wirev1.ListHostStatusRequest{Pool: "quotes"}))
	assert.NilError(t, err)
	assert.Equal(t, len(hosts.Msg.Hosts), 2)
	assert.Equal(t, hosts.Msg.Hosts[0].Phase, "missing")
	assert.Equal(t, hosts.Msg.Hosts[1].Step, string(budget.StepDraining))
	waves, err := f.client.ListWaves(ctx, withKey(joaoKey, &wirev1.ListWavesRequest{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, waves.Msg.Waves[0].Out, []string{"s2"})

	f.Rights.SetUsage(services.RightsUsage{Team: "sales", Held: 7, Used: 3, FleetHeld: 12})
	f.Peers.TeamLoads = []services.TeamLoad{{Host: "e2", Team: "sales", Running: 4}, {Host: "e3", Team: "sales", Running: 1}}
	teams, err := f.client.ListTeams(ctx, withKey(joaoKey, &wirev1.ListTeamsRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, teams.Msg.Teams[0].FleetRunning, int32(8))
	f.Dispatcher.QueueStatuses = []services.QueueStatus{{Queue: "quotes", Waiting: 5, Running: 2}}
	queues, err := f.client.ListQueues(ctx, withKey(joaoKey, &wirev1.ListQueuesRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, queues.Msg.Queues[0].Waiting, int32(5))
	f.Jobs.Statuses = []services.JobStatus{{ID: "j1", Queue: "quotes"}, {ID: "j2", Queue: "quotes"}, {ID: "j3", Queue: "x"}}
	jobs, err := f.client.ListJobs(ctx, withKey(joaoKey, &wirev1.ListJobsRequest{Queue: "quotes", Limit: 1}))
	assert.NilError(t, err)
	assert.Equal(t, len(jobs.Msg.Jobs), 1)
	_, err = f.client.ListJobs(ctx, withKey(joaoKey, &wirev1.ListJobsRequest{Queue: "no"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	refusals, err := f.client.ListRefusals(ctx, withKey(joaoKey, &wirev1.ListRefusalsRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, refusals.Msg.Refusals[0].Step, "list jobs")
	_, err = f.client.ListRefusals(ctx, connect.NewRequest(&wirev1.ListRefusalsRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
}

// TestGaugesAreServed guards against a gauge that is missing from /metrics.
func TestGaugesAreServed(t *testing.T) {
	f := newFixtureWithDocument(t)
	f.Rights.SetUsage(services.RightsUsage{Team: "sales", Held: 7, Used: 3})
	want := []string{
		"fuchsiafront_revision_in_force 1",
		"fuchsiafront_currency_age_seconds 0",
		`fuchsiafront_rights_held{team="sales"} 7`,
		`fuchsiafront_rights_used{team="sales"} 3`,
		`fuchsiafront_hosts_out_of_service{pool="quotes"} 0`,
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get(f.url + "/metrics")
		if err != nil {
			return poll.Error(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		for _, line := range want {
			if !strings.Contains(string(text), line) {
				return poll.Continue("missing %s", line)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// TestReadyzReportsReadiness guards against callers that are sent to a host
// that is draining, and against a health check that fails in the meantime.
func TestReadyzReportsReadiness(t *testing.T) {
	f := newFixture(t)
	for _, ready := range []bool{false, true, false} {
		f.service.SetReady(ready)
		want := http.StatusServiceUnavailable
		if ready {
			want = http.StatusOK
		}
		for path, status := range map[string]int{"/readyz": want, "/healthz": http.StatusOK} {
			resp, err := http.Get(f.url + path)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, status, "GET %s with ready=%v", path, ready)
		}
	}
}
