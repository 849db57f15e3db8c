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

// phase is how far an attempt has come in its process.
type phase int

const (
	claiming phase = iota
	withdrawing
	held
	started
	ending
	over
)

// attempt is one process's handling of the request.
type attempt struct {
	by      claim.Claimant
	seen    claim.Record
	version uint64
	mine    claim.Record
	phase   phase
	end     claim.State
	// landed is set once the platform committed the claim. barred is set when
	// "not run" was said after that.
	landed, barred bool
	// withdrawn is set when the caller was told that this claim is released.
	withdrawn bool
	// ran tells what really happened at the backend server.
	ran bool
}

type write struct {
	version uint64
	next    claim.Record
	by      *attempt
}

// world is the platform's row and the attempts of all hosts.
type world struct {
	row      claim.Record
	version  uint64
	attempts []*attempt
	delayed  []write
	sequence uint64
}

func (w *world) land(t *rapid.T, x write) bool {
	if x.version != w.version {
		return false
	}
	if x.next.State == claim.Held && x.by.withdrawn {
		t.Fatalf("a claim landed after it was withdrawn")
	}
	w.row = x.next
	w.version++
	if x.next.State == claim.Held {
		x.by.landed = true
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
		return w.land(t, x), false
	default:
		return w.land(t, x), true
	}
}

func (w *world) ran() int {
	n := 0
	for _, a := range w.attempts {
		if a.ran {
			n++
		}
	}
	return n
}

// say checks that "not run" is true: nothing ran, and no claim that the
// platform holds will be used.
func (w *world) say(t *rapid.T, s claim.Statement) {
	if s.Outcome != claim.OutcomeNotRun {
		return
	}
	if w.ran() > 0 {
		t.Fatalf("said not run after the request ran")
	}
	for _, a := range w.attempts {
		a.barred = a.barred || a.landed
		if a.phase == started {
			t.Fatalf("said not run while the request is at a backend server")
		}
	}
}

func (w *world) arrive(t *rapid.T) {
	w.sequence++
	by := claim.Claimant{
		Host:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"),
		Incarnation: 1,
		Sequence:    w.sequence,
	}
	a := &attempt{by: by}
	if rapid.Bool().Draw(t, "reads first") {
		a.seen, a.version = w.row, w.version
	}
	w.attempts = append(w.attempts, a)
}

func (w *world) claim(t *rapid.T, a *attempt) {
	d := claim.Decide(a.seen, a.by, "hash")
	if !d.Claim {
		a.phase = over
		w.say(t, d.Say)
		return
	}
	a.mine = d.Next
	ok, known := w.commit(t, write{a.version, d.Next, a})
	switch {
	case !known:
		a.phase = withdrawing
	case ok:
		a.phase, a.version = held, w.version
	default:
		a.seen, a.version = w.row, w.version
	}
}

func (w *world) withdraw(t *rapid.T, a *attempt) {
	s := claim.Withdraw(w.row, a.mine)
	if !s.Write {
		a.phase = over
		a.withdrawn = s.Say.Outcome == claim.OutcomeNotRun
		if w.row.State == claim.Held && w.row.By == a.by {
			t.Fatalf("a claim that is not used stays in the row")
		}
		w.say(t, s.Say)
		return
	}
	if ok, known := w.commit(t, write{w.version, s.Next, a}); ok && known {
		a.phase, a.withdrawn = over, true
		w.say(t, claim.Say(s.Next))
	}
}

// start sends the request; the backend server runs or refuses it, and the
// reply may be lost.
func (w *world) start(t *rapid.T, a *attempt) {
	if a.barred {
		t.Fatalf("started after not run was said")
	}
	a.phase = started
	a.ran = rapid.Bool().Draw(t, "runs")
	if w.ran() > 1 {
		t.Fatalf("the request ran twice")
	}
}

func (w *world) reply(t *rapid.T, a *attempt) {
	a.phase, a.end = ending, claim.Released
	if a.ran {
		a.end = claim.Done
	}
	if rapid.Bool().Draw(t, "reply lost") {
		a.end = claim.Unknown
	}
	if a.end == claim.Released {
		w.say(t, claim.Say(claim.End(a.mine, a.end)))
	}
}

func (w *world) recordEnd(t *rapid.T, a *attempt) {
	ok, known := w.commit(t, write{a.version, claim.End(a.mine, a.end), a})
	if ok && known {
		a.phase = over
		return
	}
	switch claim.Settle(w.row, a.mine) {
	case claim.Recorded:
		if w.row.State != a.end {
			t.Fatalf("%s counts as recorded, the row is %s", a.end, w.row.State)
		}
		a.phase = over
	case claim.Write:
		a.version = w.version
	case claim.Lost:
		if w.row.Attempt <= a.mine.Attempt {
			t.Fatalf("the claim %+v was lost to %+v", a.mine, w.row)
		}
		a.phase = over
	}
}

func (w *world) step(t *rapid.T, a *attempt) {
	switch a.phase {
	case claiming:
		w.claim(t, a)
	case withdrawing:
		w.withdraw(t, a)
	case held:
		if rapid.Bool().Draw(t, "requester left") {
			a.phase, a.end = ending, claim.Released
			return
		}
		w.start(t, a)
	case started:
		w.reply(t, a)
	case ending:
		w.recordEnd(t, a)
	case over:
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": w.arrive,
		"crash": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				rapid.SampledFrom(w.attempts).Draw(t, "attempt").phase = over
			}
		},
		"step": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.step(t, rapid.SampledFrom(w.attempts).Draw(t, "attempt"))
			}
		},
		"delayed write lands": func(t *rapid.T) {
			for _, x := range w.delayed {
				w.land(t, x)
			}
			w.delayed = nil
		},
		"refused before the claim": func(t *rapid.T) { w.say(t, claim.Say(w.row)) },
	}
}

// Guards against a request that runs twice, and against "not run" when the
// request ran or a committed claim may still start it, over interleavings of
// several hosts with lost and late writes, crashes and retries.
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
// identifier that is taken, and against a wrong statement in any state.
func TestDecide(t *testing.T) {
	other := claim.Claimant{Host: "b", Incarnation: 7, Sequence: 1}
	self := claim.Claimant{Host: "b", Incarnation: 8, Sequence: 1}
	for _, c := range []struct {
		state claim.State
		hash  string
		claim bool
		say   claim.Statement
	}{
		{claim.Held, "h", false, claim.Statement{Outcome: claim.OutcomeUnknown, Reason: fault.ReasonClaimed}},
		{claim.Unknown, "h", false, claim.Statement{Outcome: claim.OutcomeUnknown, Reason: fault.ReasonClaimInDoubt}},
		{claim.Done, "h", false, claim.Statement{Outcome: claim.OutcomeDone}},
		{claim.Released, "h", true, claim.Statement{}},
		{claim.Released, "x", false, claim.Statement{Outcome: claim.OutcomeInvalid, Reason: fault.ReasonConflict}},
		{claim.Done, "x", false, claim.Statement{Outcome: claim.OutcomeInvalid, Reason: fault.ReasonConflict}},
	} {
		d := claim.Decide(claim.Record{State: c.state, By: other, Attempt: 3, BodyHash: c.hash}, self, "h")
		assert.Equal(t, d.Claim, c.claim, "%s %s", c.state, c.hash)
		assert.Equal(t, d.Say, c.say, "%s %s", c.state, c.hash)
		if d.Claim {
			assert.Equal(t, d.Next, claim.Record{State: claim.Held, By: self, Attempt: 4, BodyHash: "h"})
		}
	}
	assert.Equal(t, claim.SayUnread(fault.ReasonPlatformDown).Outcome, claim.OutcomeUnknown)
}
