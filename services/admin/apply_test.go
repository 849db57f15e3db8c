package admin_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// TestRacingOperatorsLoseNoUpdate guards against a lost update: two operators
// whose changes are based on the same revision are both told that they took
// effect.
func TestRacingOperatorsLoseNoUpdate(t *testing.T) {
	f := newFixtureWithDocument(t)
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
			assert.Check(t, is.Contains(err.Error(), "revision 2"), "the conflict names the current revision")
		}
	}
	assert.Equal(t, refused, racers-1)
	assert.Equal(t, salesLimit(f), int(accepted.Load()))
	assert.Equal(t, f.State.AcceptedChanges(), 2)
}

// TestConflictNamesPresentRevision guards against a conflict that does not tell
// the operator on which revision to base the next attempt.
func TestConflictNamesPresentRevision(t *testing.T) {
	f := newFixtureWithDocument(t)
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
// sections, each valid on its own, that together leave a queue without a pool.
func TestRacingSectionsStayValid(t *testing.T) {
	f := newFixtureWithDocument(t)
	_, err := apply(f, sitiKey, "drop queue", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Delete: true})
	assert.NilError(t, err)
	f.State.BeforeChange = func(c revision.Change) {
		if !strings.HasPrefix(c.ID, "drop pool/") {
			return
		}
		f.State.BeforeChange = nil
		_, err := apply(f, sitiKey, "queue again", section(t, salesSection(20), 0))
		assert.Check(t, err)
	}
	drop := &wirev1.SectionChange{Name: "pools", IfRevision: 1, Delete: true}
	_, err = apply(f, sitiKey, "drop pool", drop)
	assert.Equal(t, refusal(t, err).Reason, string(fault.ReasonReplicaBehind))
	assert.Equal(t, len(document.Validate(f.State.View().Document)), 0)
	_, err = apply(f, sitiKey, "drop pool", drop)
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, "the second attempt is validated against the new queue")
}

// TestRepeatIsNotAppliedTwice guards against a submission that is repeated after
// a lost reply and overwrites what another operator changed in between.
func TestRepeatIsNotAppliedTwice(t *testing.T) {
	f := newFixtureWithDocument(t)
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
	assert.Equal(t, f.State.AcceptedChanges(), 3)
}

// TestReusedIdentifierIsNoRepeat guards against an answer that a change took
// effect when only another change with the same identifier did.
func TestReusedIdentifierIsNoRepeat(t *testing.T) {
	f := newFixtureWithDocument(t)
	_, err := apply(f, sitiKey, "same", section(t, salesSection(30), 1))
	assert.NilError(t, err)
	more := document.Section{Name: "more", Teams: []document.Team{{Name: "web", Share: 1, Limit: 1}}}
	resp, err := apply(f, sitiKey, "same", section(t, more, 0))
	assert.NilError(t, err)
	assert.Assert(t, !resp.RepeatedSubmission)
	_, found := f.State.View().Document.Team("web")
	assert.Assert(t, found)
	_, err = apply(f, sitiKey, "same", section(t, salesSection(40), 1))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)

	for _, id := range []string{"k1", "k2"} {
		stored := keyring.PresentedKey{Holder: "sales", ID: id, Secret: id}.StoredForm(salt)
		resp, err := f.client.CreateKey(t.Context(), withKey(joaoKey, &wirev1.CreateKeyRequest{ChangeId: "same", Team: "sales", KeyId: id, Salt: stored.Salt, Hash: stored.Hash}))
		assert.NilError(t, err)
		assert.Assert(t, !resp.Msg.RepeatedSubmission)
	}
	team, _ := f.State.View().Document.Team("sales")
	assert.Equal(t, len(team.Keys), 2)
}

// TestSameTextChangesNothing guards against a new revision for each run of a
// script that applies the same files.
func TestSameTextChangesNothing(t *testing.T) {
	f := newFixtureWithDocument(t)
	resp, err := apply(f, sitiKey, "again", section(t, salesSection(20), 0))
	assert.NilError(t, err)
	assert.Assert(t, resp.Unchanged)
	assert.Equal(t, resp.Revision, uint64(1))
	assert.Equal(t, f.State.AcceptedChanges(), 1)
}

// TestDeletedSectionCanBeCreatedAgain guards against a part without data that
// blocks the name of a deleted section for ever.
func TestDeletedSectionCanBeCreatedAgain(t *testing.T) {
	f := newFixtureWithDocument(t)
	_, err := apply(f, sitiKey, "delete", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Delete: true})
	assert.NilError(t, err)
	_, err = apply(f, sitiKey, "again", section(t, salesSection(5), 0))
	assert.NilError(t, err)
	assert.Equal(t, salesLimit(f), 5)
}

// TestApplyReportsAllProblems guards against problems that are left out or lack
// the section, the line, the value or the allowed values.
func TestApplyReportsAllProblems(t *testing.T) {
	f := newFixtureWithDocument(t)
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
		assert.Check(t, p.Section == "sales" && p.Field == want.field && p.Value == want.value && p.Line == want.line && p.Allowed != "", "problem %v; want section sales, field %s, value %s, line %d and the allowed values", p, want.field, want.value, want.line)
	}
	_, err = apply(f, sitiKey, "worse", &wirev1.SectionChange{Name: "sales", IfRevision: 1, Yaml: "section: sales\ntems: []\n"})
	assert.Equal(t, refusal(t, err).Problems[0].Line, int32(2))
	_, err = apply(f, sitiKey, "lock out", &wirev1.SectionChange{Name: "operators", IfRevision: 1, Delete: true})
	assert.Equal(t, refusal(t, err).Problems[0].Section, "operators")
	assert.Equal(t, f.State.AcceptedChanges(), 1)
}
