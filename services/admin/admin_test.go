package admin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/admin"
	"fuchsiafront.example/fuchsiafront/services/metrics"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// Presented keys of the operators in the tests.
var (
	bootstrapKey = keyring.Presented{Holder: "bootstrap", ID: "k1", Secret: "b00757a9"}
	sitiKey      = keyring.Presented{Holder: "siti", ID: "k1", Secret: "5171"}
	joaoKey      = keyring.Presented{Holder: "joao", ID: "k1", Secret: "70a0"}
)

const salt = "00ff"

// clock is a virtual clock.
type clock struct{ now atomic.Int64 }

func (c *clock) Now() time.Time          { return time.Unix(1_800_000_000, c.now.Load()) }
func (c *clock) Advance(d time.Duration) { c.now.Add(int64(d)) }

// fixture is the operators' API of one entry host with fakes behind it.
type fixture struct {
	*entryfakes.Set
	clock  *clock
	client fuchsiafrontv1connect.AdminServiceClient
	url    string
	log    *lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: &clock{}, log: &lockedBuffer{}}
	f.Set = entryfakes.NewSet("entry-1", f.clock.Now)
	measured, scope := metrics.New(zerolog.Nop())
	service := admin.New(admin.Settings{
		Address:     "127.0.0.1:0",
		Bootstrap:   document.Operator{Name: "bootstrap", Key: bootstrapKey.Store(salt), Sections: []string{"*"}, Hosts: true},
		KeyCurrency: 3 * time.Second,
	}, f.clock.Now)
	k := kernel.New(zerolog.New(f.log), scope)
	f.Register(k)
	k.Register(services.NameMetrics, measured)
	k.Register(services.NameAdmin, service)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { k.Stop(context.Background()) })
	f.url = "http://" + service.Address()
	f.client = fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, f.url)
	return f
}

func as[T any](key keyring.Presented, msg *T) *connect.Request[T] {
	r := connect.NewRequest(msg)
	r.Header().Set("Authorization", "Bearer "+key.Format())
	return r
}

func apply(f *fixture, key keyring.Presented, id string, changes ...*wirev1.SectionChange) (*wirev1.ApplyResponse, error) {
	resp, err := f.client.Apply(context.Background(), as(key, &wirev1.ApplyRequest{ChangeId: id, Changes: changes}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func section(t *testing.T, s document.Section, ifRevision uint64) *wirev1.SectionChange {
	t.Helper()
	text, err := yamldoc.Encode(s)
	assert.NilError(t, err)
	return &wirev1.SectionChange{Name: s.Name, IfRevision: ifRevision, Yaml: string(text)}
}

func refusal(t *testing.T, err error) *wirev1.AdminRefusal {
	t.Helper()
	var refused *connect.Error
	assert.Assert(t, is.ErrorType(err, refused))
	refused = err.(*connect.Error)
	for _, d := range refused.Details() {
		value, err := d.Value()
		assert.NilError(t, err)
		if r, ok := value.(*wirev1.AdminRefusal); ok {
			return r
		}
	}
	t.Fatalf("no AdminRefusal in %v", err)
	return nil
}

func salesSection(limit int) document.Section {
	return document.Section{
		Name:   "sales",
		Teams:  []document.Team{{Name: "sales", Share: 1, Limit: limit}},
		Queues: []document.Queue{{Name: "quotes", Team: "sales", Pool: "quotes", Class: "interactive"}},
	}
}

var poolsSection = document.Section{Name: "pools", Pools: []document.Pool{{Name: "quotes", Kind: "backend-server", MaxUnavailable: 1}}}

func operatorsSection() document.Section {
	return document.Section{Name: "operators", Operators: []document.Operator{
		{Name: "siti", Key: sitiKey.Store(salt), Sections: []string{"*"}, Hosts: true},
		{Name: "joao", Key: joaoKey.Store(salt), Sections: []string{"sales*"}},
	}}
}

// started returns a fixture with a document of three sections.
func started(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	resp, err := apply(f, bootstrapKey, "start", section(t, poolsSection, 0), section(t, salesSection(20), 0), section(t, operatorsSection(), 0))
	assert.NilError(t, err)
	assert.Equal(t, resp.Revision, uint64(1))
	return f
}

func salesLimit(f *fixture) int {
	team, _ := f.State.View().Document.Team("sales")
	return team.Limit
}

// TestRacingOperatorsLoseNoUpdate guards against two operators who start from
// the same revision and are both told that their change took effect.
func TestRacingOperatorsLoseNoUpdate(t *testing.T) {
	f := started(t)
	const racers = 16
	var accepted atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, racers)
	for i := range racers {
		wg.Go(func() {
			change := section(t, salesSection(100+i), 1)
			if _, errs[i] = apply(f, sitiKey, "race-"+string(rune('a'+i)), change); errs[i] == nil {
				accepted.Store(int64(100 + i))
			}
		})
	}
	wg.Wait()
	refused := 0
	for _, err := range errs {
		if err != nil {
			refused++
			assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeAborted))
			assert.Check(t, is.Contains(err.Error(), "revision 2"), "the conflict names the present revision")
		}
	}
	assert.Equal(t, refused, racers-1)
	assert.Equal(t, salesLimit(f), int(accepted.Load()))
	assert.Equal(t, f.State.Accepted(), 2)
}

// TestConflictNamesPresentRevision guards against a conflict that leaves the
// operator without the revision to start again from.
func TestConflictNamesPresentRevision(t *testing.T) {
	f := started(t)
	_, err := apply(f, sitiKey, "one", section(t, salesSection(30), 1))
	assert.NilError(t, err)
	_, err = apply(f, sitiKey, "two", section(t, salesSection(40), 1))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	r := refusal(t, err)
	assert.Equal(t, r.Outcome, "not-run")
	assert.Equal(t, len(r.Present), 1)
	assert.Equal(t, r.Present[0].Name, "sales")
	assert.Equal(t, r.Present[0].Revision, uint64(2))
	assert.Equal(t, salesLimit(f), 30)
}

// TestRacingSectionsStayValid guards against two changes of different
// sections, each valid by itself, that together leave a queue without a pool.
func TestRacingSectionsStayValid(t *testing.T) {
	f := started(t)
	_, err := apply(f, sitiKey, "drop queue", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Delete: true})
	assert.NilError(t, err)
	f.State.BeforeChange = func(c revision.Change) {
		if c.ID != "drop pool" {
			return
		}
		f.State.BeforeChange = nil
		_, err := apply(f, sitiKey, "queue again", section(t, salesSection(20), 0))
		assert.Check(t, err)
	}
	drop := &wirev1.SectionChange{Name: "pools", IfRevision: 1, Delete: true}
	_, err = apply(f, sitiKey, "drop pool", drop)
	assert.Equal(t, refusal(t, err).Reason, string(fault.ReasonBehind))
	assert.Equal(t, len(document.Validate(f.State.View().Document)), 0)
	_, err = apply(f, sitiKey, "drop pool", drop)
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, "the second try sees the queue")
}

// TestRepeatIsNotAppliedTwice guards against a submission, repeated after a
// lost reply, that undoes what another operator changed in between.
func TestRepeatIsNotAppliedTwice(t *testing.T) {
	f := started(t)
	f.State.LoseNextReply()
	_, err := apply(f, sitiKey, "lost", section(t, salesSection(30), 1))
	assert.Equal(t, refusal(t, err).Outcome, "unknown")
	_, err = apply(f, sitiKey, "other", section(t, salesSection(50), 2))
	assert.NilError(t, err)
	resp, err := apply(f, sitiKey, "lost", section(t, salesSection(30), 1))
	assert.NilError(t, err)
	assert.Assert(t, resp.RepeatedSubmission)
	assert.Equal(t, resp.Revision, uint64(2))
	assert.Equal(t, salesLimit(f), 50)
	assert.Equal(t, f.State.Accepted(), 3)
}

// TestSameTextChangesNothing guards against a revision for each run of a
// script that applies the same files.
func TestSameTextChangesNothing(t *testing.T) {
	f := started(t)
	resp, err := apply(f, sitiKey, "again", section(t, salesSection(20), 0))
	assert.NilError(t, err)
	assert.Assert(t, resp.Unchanged)
	assert.Equal(t, resp.Revision, uint64(1))
	assert.Equal(t, f.State.Accepted(), 1)
}

// TestDeletedSectionCanBeCreatedAgain guards against a part without data that
// blocks its name for ever.
func TestDeletedSectionCanBeCreatedAgain(t *testing.T) {
	f := started(t)
	_, err := apply(f, sitiKey, "delete", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Delete: true})
	assert.NilError(t, err)
	_, err = apply(f, sitiKey, "again", section(t, salesSection(5), 0))
	assert.NilError(t, err)
	assert.Equal(t, salesLimit(f), 5)
}

// TestOperatorChangesOnlyCoveredSections guards against a key that changes
// what its patterns do not cover.
func TestOperatorChangesOnlyCoveredSections(t *testing.T) {
	f := started(t)
	sales := section(t, salesSection(30), 1)
	pools := section(t, document.Section{Name: "pools"}, 1)
	_, err := apply(f, joaoKey, "pools", pools)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	_, err = apply(f, joaoKey, "both", sales, pools)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied), "all of a change or none")
	wrong := joaoKey
	wrong.Secret = "0000"
	_, err = apply(f, wrong, "wrong", sales)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated))
	_, err = apply(f, bootstrapKey, "bootstrap", sales)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated), "operators are declared")
	_, err = f.client.Drain(t.Context(), as(joaoKey, &wirev1.DrainRequest{ChangeId: "d", Host: "w1"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	_, err = f.client.ForgetHost(t.Context(), as(joaoKey, &wirev1.ForgetHostRequest{ChangeId: "d", Member: "e2"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	assert.Equal(t, f.State.Accepted(), 1)
	assert.Equal(t, len(f.Maintenance.Calls()), 0)
	_, err = apply(f, joaoKey, "sales", sales)
	assert.NilError(t, err)
}

// TestApplyReportsAllProblems guards against an error without section, line,
// value or what is allowed.
func TestApplyReportsAllProblems(t *testing.T) {
	f := started(t)
	text := "# sales\nsection: sales\nteams:\n- name: sales\n  share: 0\n  limit: -4\n"
	_, err := apply(f, sitiKey, "bad", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Yaml: text})
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	problems := refusal(t, err).Problems
	assert.Equal(t, len(problems), 2)
	for i, want := range []struct {
		field, value string
		line         int32
	}{{"teams[0].share", "0", 5}, {"teams[0].limit", "-4", 6}} {
		p := problems[i]
		assert.Check(t, p.Section == "sales" && p.Field == want.field && p.Value == want.value && p.Line == want.line && p.Allowed != "", "%v", p)
	}
	_, err = apply(f, sitiKey, "worse", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Yaml: "section: sales\ntems: []\n"})
	assert.Equal(t, refusal(t, err).Problems[0].Line, int32(2))
	_, err = apply(f, sitiKey, "lock out", &wirev1.SectionChange{Name: "operators", IfRevision: 1, Delete: true})
	assert.Equal(t, refusal(t, err).Problems[0].Section, "operators")
	assert.Equal(t, f.State.Accepted(), 1)
}

// TestStaleHostAcceptsNoChange guards against a withdrawn operator key that
// still works where the withdrawal has not arrived.
func TestStaleHostAcceptsNoChange(t *testing.T) {
	f := started(t)
	f.State.SetCurrent(false)
	_, err := apply(f, sitiKey, "stale", section(t, salesSection(30), 1))
	assert.Equal(t, refusal(t, err).Reason, string(fault.ReasonKeysNotCurrent))
	_, err = f.client.GetDocument(t.Context(), as(sitiKey, &wirev1.GetDocumentRequest{}))
	assert.NilError(t, err, "operators can look into a host that is cut off")
	_, err = f.client.ForgetHost(t.Context(), as(sitiKey, &wirev1.ForgetHostRequest{ChangeId: "f", Member: "entry-2"}))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.Membership.Ended(), []string{"entry-2"})
}

// TestKeysAreAddedAndWithdrawnOnce guards against a repeat that adds a key
// twice, and against stored forms of keys in the log.
func TestKeysAreAddedAndWithdrawnOnce(t *testing.T) {
	f := started(t)
	stored := keyring.Presented{Holder: "sales", ID: "k9", Secret: "5ec7e7"}.Store(salt)
	create := &wirev1.CreateKeyRequest{ChangeId: "c", Team: "sales", KeyId: stored.ID, Salt: stored.Salt, Hash: stored.Hash}
	f.State.LoseNextReply()
	_, err := f.client.CreateKey(t.Context(), as(joaoKey, create))
	assert.Equal(t, refusal(t, err).Outcome, "unknown")
	resp, err := f.client.CreateKey(t.Context(), as(joaoKey, create))
	assert.NilError(t, err)
	assert.Assert(t, resp.Msg.RepeatedSubmission)
	team, _ := f.State.View().Document.Team("sales")
	assert.DeepEqual(t, team.Keys, []document.Key{stored})

	create.ChangeId, create.Hash = "d", strings.Repeat("00", 32)
	_, err = f.client.CreateKey(t.Context(), as(joaoKey, create))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "another key has the identifier")

	create.ChangeId, create.KeyId = "c", "k10"
	_, err = f.client.CreateKey(t.Context(), as(joaoKey, create))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "the change identifier belongs to another key")

	for _, id := range []string{"w1", "w2"} {
		withdrawn, err := f.client.WithdrawKey(t.Context(), as(joaoKey, &wirev1.WithdrawKeyRequest{ChangeId: id, Team: "sales", KeyId: "k9"}))
		assert.NilError(t, err)
		assert.Equal(t, withdrawn.Msg.Revision, uint64(3))
		assert.Equal(t, withdrawn.Msg.RepeatedSubmission, id == "w2")
	}
	team, _ = f.State.View().Document.Team("sales")
	assert.Assert(t, team.Keys[0].Withdrawn)
	_, err = f.client.WithdrawKey(t.Context(), as(joaoKey, &wirev1.WithdrawKeyRequest{ChangeId: "w3", Team: "sales", KeyId: "k8"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	for _, secret := range []string{stored.Hash, joaoKey.Secret, joaoKey.Store(salt).Hash} {
		assert.Assert(t, !strings.Contains(f.log.String(), secret))
	}
}

// TestWithdrawalInForceOnlyAfterBound guards against a withdrawal that is
// reported in force while a member that was not heard may accept the key.
func TestWithdrawalInForceOnlyAfterBound(t *testing.T) {
	f := started(t)
	rollout := func() *wirev1.RolloutResponse {
		resp, err := f.client.Rollout(t.Context(), as(joaoKey, &wirev1.RolloutRequest{Revision: 1}))
		assert.NilError(t, err)
		return resp.Msg
	}
	// The duty that records revisions runs beside the test.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rollout().InForce {
			return poll.Success()
		}
		return poll.Continue("revision not recorded")
	}, poll.WithTimeout(time.Minute))
	peer := services.Identity{Name: "entry-2", Zone: "penang"}
	f.Membership.SetListed(f.Membership.Identity, peer, services.Identity{Name: "entry-3", Zone: "penang"})
	f.Peers.SetStatus(services.PeerStatus{Identity: peer, Revision: 0, HeardAt: f.clock.Now()})
	assert.Assert(t, !rollout().InForce)
	f.clock.Advance(3 * time.Second)
	assert.Assert(t, !rollout().InForce, "the bound without its margin")
	f.Peers.SetStatus(services.PeerStatus{Identity: peer, Revision: 1, HeardAt: f.clock.Now()})
	assert.Assert(t, !rollout().InForce, "entry-3 was never heard")
	f.clock.Advance(time.Second)
	r := rollout()
	assert.Assert(t, r.InForce)
	assert.Equal(t, len(r.Members), 3)
	assert.Assert(t, r.Members[0].InForce && !r.Members[0].ByBound)
	assert.Assert(t, r.Members[1].InForce && !r.Members[1].ByBound)
	assert.Assert(t, r.Members[2].InForce && r.Members[2].ByBound)
	assert.Equal(t, r.Members[1].HeardMsAgo, int64(1000))
	assert.Equal(t, r.Members[2].HeardMsAgo, int64(-1))
}

// TestHostOperations guards against an operation that reaches the wrong
// service or passes on what is not allowed.
func TestHostOperations(t *testing.T) {
	f := started(t)
	ctx := t.Context()
	_, err := f.client.Drain(ctx, as(sitiKey, &wirev1.DrainRequest{ChangeId: "1", Host: "s1", Cause: "reboot"}))
	assert.NilError(t, err)
	_, err = f.client.Return(ctx, as(sitiKey, &wirev1.ReturnRequest{ChangeId: "2", Host: "s1"}))
	assert.NilError(t, err)
	_, err = f.client.Move(ctx, as(sitiKey, &wirev1.MoveRequest{ChangeId: "3", Host: "s1", ToPool: "quotes"}))
	assert.NilError(t, err)
	_, err = f.client.StartWave(ctx, as(sitiKey, &wirev1.StartWaveRequest{Id: "w1", Pool: "quotes", MaxParallel: 2, MaxFailed: 1}))
	assert.NilError(t, err)
	_, err = f.client.StopWave(ctx, as(sitiKey, &wirev1.StopWaveRequest{ChangeId: "4", Id: "w1"}))
	assert.NilError(t, err)

	_, err = f.client.Drain(ctx, as(sitiKey, &wirev1.DrainRequest{ChangeId: "5", Host: "s1", Cause: "whim"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	_, err = f.client.Move(ctx, as(sitiKey, &wirev1.MoveRequest{ChangeId: "6", Host: "s1", ToPool: "nowhere"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	_, err = f.client.StartWave(ctx, as(sitiKey, &wirev1.StartWaveRequest{Id: "w2", Pool: "quotes", MaxFailed: 1}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument))
	assert.DeepEqual(t, f.Maintenance.Calls(), []string{"drain s1", "return s1", "move s1", "start w1", "stop w1"})

	f.Maintenance.Fail(fault.New(&fault.NotRun, fault.ReasonBudget, "grant", "quotes", "1 of at most 1 hosts are out"))
	_, err = f.client.Drain(ctx, as(sitiKey, &wirev1.DrainRequest{ChangeId: "7", Host: "s2"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition))
	assert.Equal(t, refusal(t, err).Outcome, "not-run")
}

// TestLists guards against lists that leave out or mix up what they show.
func TestLists(t *testing.T) {
	f := started(t)
	ctx := t.Context()
	f.Hosts.List = fleet.HostList{Hosts: []fleet.Host{{Name: "s2", Kind: "backend-server", Zone: "klang", Phase: "live"}}}
	_, err := f.State.Change(ctx, revision.Change{ID: "ledger", Updates: []revision.Update{
		{Part: services.PartHostsPrefix + "00", Data: []byte(`{"s1":"quotes","s2":"quotes"}`)},
		{Part: services.PartLedger, Data: []byte(`{"out":{"s2":{"host":"s2","pool":"quotes","step":"draining","cause":"drain","wave":"w"}},"waves":{"w":{"id":"w","pool":"quotes","maxParallel":1}}}`)},
	}})
	assert.NilError(t, err)
	hosts, err := f.client.ListHostStatus(ctx, as(joaoKey, &wirev1.ListHostStatusRequest{Pool: "quotes"}))
	assert.NilError(t, err)
	assert.Equal(t, len(hosts.Msg.Hosts), 2)
	assert.Equal(t, hosts.Msg.Hosts[0].Phase, "missing")
	assert.Equal(t, hosts.Msg.Hosts[1].Step, string(budget.StepDraining))
	waves, err := f.client.ListWaves(ctx, as(joaoKey, &wirev1.ListWavesRequest{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, waves.Msg.Waves[0].Out, []string{"s2"})

	f.Rights.SetUse(services.RightsUse{Team: "sales", Held: 7, Used: 3, FleetHeld: 12})
	f.Peers.TeamLoads = []services.TeamLoad{{Host: "e2", Team: "sales", Running: 4}, {Host: "e3", Team: "sales", Running: 1}}
	teams, err := f.client.ListTeams(ctx, as(joaoKey, &wirev1.ListTeamsRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, teams.Msg.Teams[0].FleetRunning, int32(8))
	f.Dispatcher.All = []services.QueueStatus{{Queue: "quotes", Waiting: 5, Running: 2}}
	queues, err := f.client.ListQueues(ctx, as(joaoKey, &wirev1.ListQueuesRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, queues.Msg.Queues[0].Waiting, int32(5))
	f.Jobs.All = []services.JobStatus{{ID: "j1", Queue: "quotes"}, {ID: "j2", Queue: "quotes"}, {ID: "j3", Queue: "x"}}
	jobs, err := f.client.ListJobs(ctx, as(joaoKey, &wirev1.ListJobsRequest{Queue: "quotes", Limit: 1}))
	assert.NilError(t, err)
	assert.Equal(t, len(jobs.Msg.Jobs), 1)
	_, err = f.client.ListJobs(ctx, as(joaoKey, &wirev1.ListJobsRequest{Queue: "no"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	refusals, err := f.client.ListRefusals(ctx, as(joaoKey, &wirev1.ListRefusalsRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, refusals.Msg.Refusals[0].Step, "list jobs")
	_, err = f.client.ListRefusals(ctx, connect.NewRequest(&wirev1.ListRefusalsRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
}

// TestGaugesAreServed guards against a gauge that a scraper does not find.
func TestGaugesAreServed(t *testing.T) {
	f := started(t)
	f.Rights.SetUse(services.RightsUse{Team: "sales", Held: 7, Used: 3})
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
