package claim_test

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/fault"
)

// phase is how far a process has come with an attempt.
type phase int

const (
	claiming phase = iota
	withdrawing
	claimed
	started
	ending
	finished
)

// attempt is one process's handling of the request.
type attempt struct {
	claimant claim.Claimant
	record   claim.Record
	version  uint64
	ownClaim claim.Record
	phase    phase
	end      claim.State
	// committed is set once the platform committed the claim. mayNotStart is
	// set once a caller was told "not run" after that.
	committed, mayNotStart bool
	// withdrawn is set once the caller was told that this claim is released.
	withdrawn bool
	// ran is set if the backend server really ran the request.
	ran bool
}

type write struct {
	version uint64
	next    claim.Record
	attempt *attempt
}

// world is the platform's row and the attempts of all hosts.
type world struct {
	row          claim.Record
	version      uint64
	attempts     []*attempt
	delayed      []write
	lastSequence uint64
}

func (w *world) apply(t *rapid.T, x write) bool {
	if x.version != w.version {
		return false
	}
	if x.next.State == claim.Claimed && x.attempt.withdrawn {
		t.Fatalf("claim %+v was committed after it was withdrawn", x.next)
	}
	w.row = x.next
	w.version++
	if x.next.State == claim.Claimed {
		x.attempt.committed = true
	}
	return true
}

// commit returns whether the transaction took effect and whether its outcome
// is known to the sender.
func (w *world) commit(t *rapid.T, x write) (ok, known bool) {
	switch rapid.IntRange(0, 4).Draw(t, "fate of the write") {
	case 0:
		w.delayed = append(w.delayed, x)
		return false, false
	case 1:
		return w.apply(t, x), false
	default:
		return w.apply(t, x), true
	}
}

func (w *world) runCount() int {
	n := 0
	for _, a := range w.attempts {
		if a.ran {
			n++
		}
	}
	return n
}

// checkReply checks that a "not run" reply is true: nothing ran, and no claim
// committed at the platform will be used.
func (w *world) checkReply(t *rapid.T, reply claim.CallerReply) {
	if reply.Outcome != claim.OutcomeNotRun {
		return
	}
	if w.runCount() > 0 {
		t.Fatalf("caller was told \"not run\" after the request ran")
	}
	for _, a := range w.attempts {
		a.mayNotStart = a.mayNotStart || a.committed
		if a.phase == started {
			t.Fatalf("caller was told \"not run\" while the request is at a backend server")
		}
	}
}

func (w *world) addAttempt(t *rapid.T) {
	w.lastSequence++
	claimant := claim.Claimant{
		Host:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"),
		Incarnation: 1,
		Sequence:    w.lastSequence,
	}
	a := &attempt{claimant: claimant}
	if rapid.Bool().Draw(t, "reads first") {
		a.record, a.version = w.row, w.version
	}
	w.attempts = append(w.attempts, a)
}

func (w *world) tryClaim(t *rapid.T, a *attempt) {
	decision := claim.Decide(a.record, a.claimant, "hash")
	if !decision.Claim {
		a.phase = finished
		w.checkReply(t, decision.Reply)
		return
	}
	a.ownClaim = decision.Next
	ok, known := w.commit(t, write{a.version, decision.Next, a})
	switch {
	case !known:
		a.phase = withdrawing
	case ok:
		a.phase, a.version = claimed, w.version
	default:
		a.record, a.version = w.row, w.version
	}
}

func (w *world) withdraw(t *rapid.T, a *attempt) {
	withdrawal := claim.Withdraw(w.row, a.ownClaim)
	if !withdrawal.Write {
		a.phase = finished
		a.withdrawn = withdrawal.Reply.Outcome == claim.OutcomeNotRun
		if w.row.State == claim.Claimed && w.row.ClaimedBy == a.claimant {
			t.Fatalf("withdrawn claim %+v stays in the row", a.ownClaim)
		}
		w.checkReply(t, withdrawal.Reply)
		return
	}
	if ok, known := w.commit(t, write{w.version, withdrawal.Next, a}); ok && known {
		a.phase, a.withdrawn = finished, true
		w.checkReply(t, claim.ReplyFor(withdrawal.Next))
	}
}

// start sends the request; the backend server runs or refuses it, and the
// reply may be lost.
func (w *world) start(t *rapid.T, a *attempt) {
	if a.mayNotStart {
		t.Fatalf("request was started after the caller was told \"not run\"")
	}
	a.phase = started
	a.ran = rapid.Bool().Draw(t, "runs")
	if w.runCount() > 1 {
		t.Fatalf("the request ran twice")
	}
}

func (w *world) receiveReply(t *rapid.T, a *attempt) {
	a.phase, a.end = ending, claim.Released
	if a.ran {
		a.end = claim.Done
	}
	if rapid.Bool().Draw(t, "reply lost") {
		a.end = claim.Unknown
	}
	if a.end == claim.Released {
		w.checkReply(t, claim.ReplyFor(claim.End(a.ownClaim, a.end)))
	}
}

func (w *world) recordEnd(t *rapid.T, a *attempt) {
	ok, known := w.commit(t, write{a.version, claim.End(a.ownClaim, a.end), a})
	if ok && known {
		a.phase = finished
		return
	}
	switch claim.CheckEnd(w.row, a.ownClaim) {
	case claim.EndRecorded:
		if w.row.State != a.end {
			t.Fatalf("state %s counts as recorded, but the row is in state %s", a.end, w.row.State)
		}
		a.phase = finished
	case claim.EndUnwritten:
		a.version = w.version
	case claim.EndSuperseded:
		if w.row.Attempt <= a.ownClaim.Attempt {
			t.Fatalf("claim %+v counts as superseded by %+v, which is not a later attempt", a.ownClaim, w.row)
		}
		a.phase = finished
	}
}

func (w *world) step(t *rapid.T, a *attempt) {
	switch a.phase {
	case claiming:
		w.tryClaim(t, a)
	case withdrawing:
		w.withdraw(t, a)
	case claimed:
		if rapid.Bool().Draw(t, "requester left") {
			a.phase, a.end = ending, claim.Released
			return
		}
		w.start(t, a)
	case started:
		w.receiveReply(t, a)
	case ending:
		w.recordEnd(t, a)
	case finished:
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": w.addAttempt,
		"crash": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				rapid.SampledFrom(w.attempts).Draw(t, "attempt").phase = finished
			}
		},
		"step": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.step(t, rapid.SampledFrom(w.attempts).Draw(t, "attempt"))
			}
		},
		"delayed write lands": func(t *rapid.T) {
			for _, x := range w.delayed {
				w.apply(t, x)
			}
			w.delayed = nil
		},
		"refused before the claim": func(t *rapid.T) { w.checkReply(t, claim.ReplyFor(w.row)) },
	}
}

// Guards against a request that runs twice, and against a "not run" reply
// although the request ran or a committed claim may still start it, over
// interleavings of several hosts with lost and late writes, crashes and
// retries.
func TestStartsOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		actions := w.actions()
		names := append(slices.Sorted(maps.Keys(actions)), slices.Repeat([]string{"step"}, 10)...)
		for range 150 {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
		}
	})
}

// Guards against another request that runs, or gets an answer, under an
// identifier that is in use, and against a wrong reply in any state.
func TestDecide(t *testing.T) {
	other := claim.Claimant{Host: "b", Incarnation: 7, Sequence: 1}
	self := claim.Claimant{Host: "b", Incarnation: 8, Sequence: 1}
	for _, c := range []struct {
		state claim.State
		hash  string
		claim bool
		reply claim.CallerReply
	}{
		{claim.Claimed, "h", false, claim.CallerReply{Outcome: claim.OutcomeUnknown, Reason: fault.ReasonClaimed}},
		{claim.Unknown, "h", false, claim.CallerReply{Outcome: claim.OutcomeUnknown, Reason: fault.ReasonClaimInDoubt}},
		{claim.Done, "h", false, claim.CallerReply{Outcome: claim.OutcomeDone}},
		{claim.Released, "h", true, claim.CallerReply{}},
		{claim.Released, "x", false, claim.CallerReply{Outcome: claim.OutcomeInvalid, Reason: fault.ReasonConflict}},
		{claim.Done, "x", false, claim.CallerReply{Outcome: claim.OutcomeInvalid, Reason: fault.ReasonConflict}},
	} {
		d := claim.Decide(claim.Record{State: c.state, ClaimedBy: other, Attempt: 3, BodyHash: c.hash}, self, "h")
		assert.Equal(t, d.Claim, c.claim, "%s %s", c.state, c.hash)
		assert.Equal(t, d.Reply, c.reply, "%s %s", c.state, c.hash)
		if d.Claim {
			assert.Equal(t, d.Next, claim.Record{State: claim.Claimed, ClaimedBy: self, Attempt: 4, BodyHash: "h"})
		}
	}
	assert.Equal(t, claim.ReplyForUnread(fault.ReasonPlatformDown).Outcome, claim.OutcomeUnknown)
}
