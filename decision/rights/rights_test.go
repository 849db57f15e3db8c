package rights_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

// actions returns the actions of the model by name.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"hold term passes": func(t *rapid.T) { w.advance(holdTerm + longestRequest) },
		"burst":            func(t *rapid.T) { w.burst(t, w.randomHost(t)) },
		"frozen over the hold term": func(t *rapid.T) {
			h := w.randomHost(t)
			h.isFrozen = true
			w.balanceAll(t)
			w.advance(holdTerm + longestRequest)
			w.balanceAll(t)
			w.burst(t, w.randomHost(t))
			w.balanceAll(t)
			w.burst(t, w.randomHost(t))
			w.resume(h)
			w.burst(t, h)
		},
		"cut over the hold term": func(t *rapid.T) {
			h := w.randomHost(t)
			h.disconnected = true
			w.balanceAll(t)
			w.advance(holdTerm + longestRequest)
			w.balanceAll(t)
			w.balanceAll(t)
			w.burst(t, w.randomHost(t))
			w.balanceAll(t)
			w.burst(t, w.randomHost(t))
			h.disconnected = false
			if h.isRunning() {
				w.renew(h)
			}
			w.burst(t, h)
		},
		"cut to the end of the hold term": func(t *rapid.T) {
			h := w.randomHost(t)
			h.disconnected = true
			w.balanceAll(t)
			w.advance(holdTerm - time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond)
			w.burst(t, h)
			w.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			w.balanceAll(t)
			w.burst(t, w.randomHost(t))
		},
		"finish": func(t *rapid.T) {
			h := w.randomHost(t)
			for range rapid.IntRange(0, 8).Draw(t, "ends") {
				if h.isRunning() {
					w.finish(h)
				}
			}
		},
		"balance":     func(t *rapid.T) { w.balance(t, w.randomHost(t)) },
		"balance all": w.balanceAll,
		"delayed write lands": func(t *rapid.T) {
			for _, tx := range w.delayed {
				w.commit(t, tx)
			}
			w.delayed = nil
		},
		"crash":   func(t *rapid.T) { w.randomHost(t).alive = false },
		"restart": func(t *rapid.T) { w.startHost(w.randomHost(t)) },
		"operator states the end": func(t *rapid.T) {
			if h := w.randomHost(t); !h.alive {
				w.members[h.holder.Host] = 0
			}
		},
		"freeze": func(t *rapid.T) { w.randomHost(t).isFrozen = true },
		"resume": func(t *rapid.T) { w.resume(w.randomHost(t)) },
		"cut":    func(t *rapid.T) { w.randomHost(t).disconnected = true },
		"heal all": func(*rapid.T) {
			for _, h := range w.hosts {
				h.disconnected = false
				if h.isFrozen {
					w.resume(h)
				}
				if !h.alive {
					w.startHost(h)
				}
			}
		},
		"heal":        func(t *rapid.T) { w.randomHost(t).disconnected = false },
		"learn limit": func(t *rapid.T) { w.randomHost(t).limit = w.limit },
		"change limit": func(t *rapid.T) {
			w.limit = rights.Limit{Rights: rapid.IntRange(0, 20).Draw(t, "limit"), Revision: w.limit.Revision + 1}
		},
		"place job": func(t *rapid.T) { w.placeJob(t, w.randomHost(t)) },
		"placement races other work": func(t *rapid.T) {
			h := w.randomHost(t)
			w.placeJob(t, h)
			if rapid.Bool().Draw(t, "row moves on") {
				w.balanceAll(t)
			}
			w.burst(t, h)
			w.settleJob(t, h)
			w.burst(t, h)
			w.settleJob(t, h)
			w.burst(t, h)
		},
		"settle job": func(t *rapid.T) { w.settleJob(t, w.randomHost(t)) },
		"end job": func(t *rapid.T) {
			if r := w.randomJob(t); r != nil {
				next, ok := w.row.EndJob(r.owner)
				w.mustCommit(t, next, ok)
				r.ended = true
			}
		},
		"adopt job": func(t *rapid.T) {
			r, to := w.randomJob(t), w.randomHost(t)
			if r == nil || !to.isRunning() || to.disconnected {
				return
			}
			if next, ok := w.row.AdoptJob(r.owner, to.holder); ok {
				w.mustCommit(t, next, ok)
				r.owner = to.holder
			}
		},
	}
}

func (w *world) burst(t *rapid.T, h *host) {
	if !h.isRunning() {
		return
	}
	h.ledger.SetWaiting(w.now, team, rapid.IntRange(0, 12).Draw(t, "waiting"))
	for w.start(t, h, false) {
	}
}

func (w *world) balanceAll(t *rapid.T) {
	for _, h := range w.hosts {
		w.balance(t, h)
	}
}

// resume renews the member row at once, so that only the ledger itself can
// notice that its holdings may be out of date.
func (w *world) resume(h *host) {
	h.isFrozen = false
	if h.alive && !h.disconnected {
		w.renew(h)
	}
}

func (w *world) mustCommit(t *rapid.T, next rights.Row, ok bool) {
	if !ok {
		t.Fatalf("no right for the job in the row %+v", w.row)
	}
	w.commit(t, transaction{version: w.version, row: next})
}

func (w *world) check(t *rapid.T) {
	if n, sum := w.running(), w.row.Sum(); n > sum {
		t.Fatalf("%d running with %d rights in the row %+v", n, sum, w.row)
	}
	for i, h := range w.row.Holdings {
		if h.Requests < 0 || h.Jobs < 0 || (i > 0 && w.row.Holdings[i-1].Host >= h.Host) {
			t.Fatalf("malformed row %+v", w.row)
		}
	}
}

// Guards against more work running than the limit in force at its start, under
// crashes, pauses, lost and late writes, restarts under the same name,
// disconnected hosts, changes of the limit, and jobs adopted by another
// scheduler.
func TestLimitHoldsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := w.actions()
		names := slices.Sorted(maps.Keys(actions))
		// Ordinary work is more frequent than failures, so that the failures
		// affect hosts that hold and use rights.
		names = append(names, slices.Repeat([]string{"burst", "finish", "balance", "balance all", "placement races other work", "end job", "time passes", "heal all"}, 5)...)
		for range actionsPerCase {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			w.check(t)
		}
	})
}

// Guards against a job's right that goes to new work while the sum is over a
// lowered limit, and against one that is lost when the job's scheduler is
// orphaned.
func TestJobRights(t *testing.T) {
	a, b := rights.Holder{Host: "a", Incarnation: 1}, rights.Holder{Host: "b", Incarnation: 2}
	row := rights.Row{Limit: rights.Limit{Rights: 2, Revision: 1}}
	row, _ = row.Take(a, 2)
	row, _ = row.PlaceJob(a)
	lowered, ok := row.UnderLimit(rights.Limit{Rights: 1, Revision: 2}).EndJob(a)
	assert.Assert(t, ok)
	assert.Equal(t, lowered.Sum(), 1)

	row, _ = row.MarkOrphaned(a, 7)
	row, freed := row.Reclaim(a)
	assert.Equal(t, freed, 1)
	assert.Equal(t, row.Sum(), 1)
	row, ok = row.AdoptJob(a, b)
	assert.Assert(t, ok)
	assert.Equal(t, row.HoldingOf(b).Jobs, 1)
	row, ok = row.EndJob(b)
	assert.Assert(t, ok)
	assert.Equal(t, row.HoldingOf(b).Requests, 1)
}

// Guards against freeing a live holding, or freeing orphaned rights too early,
// because the same holder was orphaned before.
func TestHolderThatCameBack(t *testing.T) {
	a, b := rights.Holder{Host: "a", Incarnation: 1}, rights.Holder{Host: "b", Incarnation: 2}
	row := rights.Row{Limit: rights.Limit{Rights: 6, Revision: 1}}
	row, _ = row.Take(a, 2)
	row, _ = row.PlaceJob(a)
	row, _ = row.MarkOrphaned(a, 7)
	row, _ = row.Take(a, 4)
	now := time.Unix(1000, 0)
	l := rights.NewLedger(b, now)
	s := rights.BalanceInput{Team: team, Version: 8, Row: row, ReadStart: now, Hosts: 2, Reclaimable: []rights.Holder{a}}
	assert.Equal(t, l.Prepare(now, s).Row.HoldingOf(a).Requests, 4)
	s.Ended = []rights.Holder{a}
	assert.Equal(t, l.Prepare(now, s).Row.Sum(), 6)
}
