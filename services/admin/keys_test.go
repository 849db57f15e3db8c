package admin_test

import (
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// TestOperatorChangesOnlyCoveredSections guards against an operator key that
// changes sections or hosts without permission.
func TestOperatorChangesOnlyCoveredSections(t *testing.T) {
	f := newFixtureWithDocument(t)
	sales := section(t, salesSection(30), 1)
	pools := section(t, document.Section{Name: "pools"}, 1)
	_, err := apply(f, joaoKey, "pools", pools)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	_, err = apply(f, joaoKey, "both", sales, pools)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied), "a change of two sections is refused if one of them is not permitted")
	wrong := joaoKey
	wrong.Secret = "0000"
	_, err = apply(f, wrong, "wrong", sales)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated))
	_, err = apply(f, bootstrapKey, "bootstrap", sales)
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated), "the bootstrap key is refused once operators are declared")
	_, err = f.client.Drain(t.Context(), withKey(joaoKey, &wirev1.DrainRequest{ChangeId: "d", Host: "w1"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	_, err = f.client.ForgetHost(t.Context(), withKey(joaoKey, &wirev1.ForgetHostRequest{ChangeId: "d", Member: "e2"}))
	assert.Check(t, is.Equal(connect.CodeOf(err), connect.CodePermissionDenied))
	assert.Equal(t, f.State.AcceptedChanges(), 1)
	assert.Equal(t, len(f.Maintenance.Calls()), 0)
	_, err = apply(f, joaoKey, "sales", sales)
	assert.NilError(t, err)
}

// TestStaleHostAcceptsNoChange guards against a withdrawn operator key that
// still makes changes on a host that has not received the withdrawal.
func TestStaleHostAcceptsNoChange(t *testing.T) {
	f := newFixtureWithDocument(t)
	f.State.SetStaleness(3*time.Second + 1)
	_, err := apply(f, sitiKey, "stale", section(t, salesSection(30), 1))
	assert.Equal(t, refusal(t, err).Reason, string(fault.ReasonKeysNotCurrent))
	f.State.SetNeverFresh()
	_, err = apply(f, sitiKey, "unproved", section(t, salesSection(30), 1))
	assert.Equal(t, refusal(t, err).Reason, string(fault.ReasonKeysNotCurrent))
	_, err = f.client.GetDocument(t.Context(), withKey(sitiKey, &wirev1.GetDocumentRequest{}))
	assert.NilError(t, err, "operators can inspect a host that is cut off")
	_, err = f.client.ForgetHost(t.Context(), withKey(sitiKey, &wirev1.ForgetHostRequest{ChangeId: "f", Member: "entry-2"}))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.Membership.EndedMembers(), []string{"entry-2"})
}

// TestKeysAreAddedAndWithdrawnOnce guards against a repeat that adds a key
// twice, and against secrets and stored forms of keys in the log.
func TestKeysAreAddedAndWithdrawnOnce(t *testing.T) {
	f := newFixtureWithDocument(t)
	stored := keyring.PresentedKey{Holder: "sales", ID: "k9", Secret: "5ec7e7"}.StoredForm(salt)
	create := &wirev1.CreateKeyRequest{ChangeId: "c", Team: "sales", KeyId: stored.ID, Salt: stored.Salt, Hash: stored.Hash}
	f.State.LoseNextReply()
	_, err := f.client.CreateKey(t.Context(), withKey(joaoKey, create))
	assert.Equal(t, refusal(t, err).Outcome, "unknown")
	resp, err := f.client.CreateKey(t.Context(), withKey(joaoKey, create))
	assert.NilError(t, err)
	assert.Assert(t, resp.Msg.RepeatedSubmission)
	team, _ := f.State.View().Document.Team("sales")
	assert.DeepEqual(t, team.Keys, []document.Key{stored})

	create.ChangeId, create.Hash = "d", strings.Repeat("00", 32)
	_, err = f.client.CreateKey(t.Context(), withKey(joaoKey, create))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted, "another key of the team has the identifier")

	for _, id := range []string{"w1", "w2"} {
		withdrawn, err := f.client.WithdrawKey(t.Context(), withKey(joaoKey, &wirev1.WithdrawKeyRequest{ChangeId: id, Team: "sales", KeyId: "k9"}))
		assert.NilError(t, err)
		assert.Equal(t, withdrawn.Msg.Revision, uint64(3))
		assert.Equal(t, withdrawn.Msg.RepeatedSubmission, id == "w2")
	}
	team, _ = f.State.View().Document.Team("sales")
	assert.Assert(t, team.Keys[0].Withdrawn)
	_, err = f.client.WithdrawKey(t.Context(), withKey(joaoKey, &wirev1.WithdrawKeyRequest{ChangeId: "w3", Team: "sales", KeyId: "k8"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	for _, secret := range []string{stored.Hash, joaoKey.Secret, joaoKey.StoredForm(salt).Hash} {
		assert.Assert(t, !strings.Contains(f.log.String(), secret))
	}
}

// TestWithdrawalInForceOnlyAfterBound guards against a withdrawal that is
// reported in force while a member without contact may accept the key.
func TestWithdrawalInForceOnlyAfterBound(t *testing.T) {
	f := newFixtureWithDocument(t)
	rollout := func() *wirev1.RolloutResponse {
		resp, err := f.client.Rollout(t.Context(), withKey(joaoKey, &wirev1.RolloutRequest{Revision: 1}))
		assert.NilError(t, err)
		return resp.Msg
	}
	// The duty that records revisions runs concurrently with the test.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rollout().InForce {
			return poll.Success()
		}
		return poll.Continue("revision 1 not yet recorded as in force")
	}, poll.WithTimeout(time.Minute))
	peer := services.Identity{Name: "entry-2", Zone: "penang"}
	f.Membership.SetMembers(f.Membership.Identity, peer, services.Identity{Name: "entry-3", Zone: "penang"})
	f.Peers.SetStatus(services.PeerStatus{Identity: peer, Revision: 0, LastContactAt: f.clock.Now()})
	assert.Assert(t, !rollout().InForce)
	f.clock.Advance(3 * time.Second)
	assert.Assert(t, !rollout().InForce, "the bound has passed, but not its margin")
	f.Peers.SetStatus(services.PeerStatus{Identity: peer, Revision: 1, LastContactAt: f.clock.Now()})
	assert.Assert(t, !rollout().InForce, "entry-3 never had contact, and the margin has not passed")
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
