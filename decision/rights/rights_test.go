package rights_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

const (
	team           = "t"
	holdTerm       = 20 * time.Second
	longestRequest = 5 * time.Second
	tickPeriod     = 400 * time.Millisecond
	// steps is the number of actions of one case.
	steps = 400
)

// world models the platform's row, the entry hosts and the work that really
// runs, which goes on for up to longestRequest after its host died.
type world struct {
	now     time.Time
	row     rights.Row
	version uint64
	members map[string]uint64
	limit   rights.Limit
	hosts   []*host
	work    []*run
	delayed []transaction
	nextInc uint64

	memberVersion uint64
}

type host struct {
	holder  rights.Holder
	ledger  *rights.Ledger
	watch   *rights.Watch
	alive   bool
	frozen  bool
	cut     bool
	renewed time.Time
	limit   rights.Limit
	// read is the last row read, which may be out of date when it is used.
	read    *rights.Survey
	placing []placement
}

type run struct {
	owner   rights.Holder
	started time.Time
	job     bool
	ended   bool
}

type transaction struct {
	version uint64
	row     rights.Row
	members map[string]uint64
	// job starts when the transaction takes effect.
	job *run
}

func newWorld(t *rapid.T) *world {
	w := &world{now: time.Unix(1000, 0), members: map[string]uint64{}}
	w.limit = rights.Limit{Rights: rapid.IntRange(2, 20).Draw(t, "limit"), Revision: 1}
	for i := range rapid.IntRange(2, 4).Draw(t, "hosts") {
		w.hosts = append(w.hosts, &host{holder: rights.Holder{Host: fmt.Sprintf("h%d", i)}})
		w.boot(w.hosts[i])
	}
	return w
}

func (w *world) boot(h *host) {
	w.nextInc++
	h.holder.Incarnation = w.nextInc
	h.ledger = rights.NewLedger(h.holder, w.now)
	h.watch = rights.NewWatch(holdTerm, longestRequest)
	h.alive, h.frozen, h.cut, h.read, h.placing = true, false, false, nil, nil
	h.limit = w.limit
	w.renew(h)
}

func (w *world) renew(h *host) {
	w.memberVersion++
	w.members[h.holder.Host] = w.memberVersion
	h.renewed = w.now
}

func (h *host) runs() bool { return h.alive && !h.frozen }

// advance lets time pass in steps that no unfrozen host perceives as a pause.
func (w *world) advance(d time.Duration) {
	for d > 0 {
		step := min(d, tickPeriod)
		w.now = w.now.Add(step)
		d -= step
		for _, h := range w.hosts {
			if !h.runs() {
				continue
			}
			h.ledger.Tick(w.now)
			h.mayUse(w.now)
			if !h.cut && w.now.Sub(h.renewed) > time.Second {
				w.renew(h)
			}
		}
	}
}

// running counts what really runs now.
func (w *world) running() int {
	n := 0
	for _, r := range w.work {
		if !r.ended && (r.job || w.now.Sub(r.started) < longestRequest) {
			n++
		}
	}
	return n
}

// commit applies tx if its conditions hold, and checks the invariant of the
// row for every transaction.
func (w *world) commit(t *rapid.T, tx transaction) bool {
	if tx.version != w.version {
		return false
	}
	for name, version := range tx.members {
		if w.members[name] != version {
			return false
		}
	}
	before := w.row.Sum()
	if sum := tx.row.Sum(); sum > tx.row.Limit.Rights && sum > before {
		t.Fatalf("sum grew from %d to %d over the limit %d", before, sum, tx.row.Limit.Rights)
	}
	if tx.row.Limit.Revision < w.row.Limit.Revision {
		t.Fatalf("limit went back to revision %d", tx.row.Limit.Revision)
	}
	w.row = tx.row
	w.version++
	if tx.job != nil {
		tx.job.ended, tx.job.job = false, true
	}
	return true
}

func (h *host) mayUse(now time.Time) bool {
	if now.Sub(h.renewed) < holdTerm {
		return true
	}
	h.ledger.Lapse(now)
	return false
}

func (w *world) start(t *rapid.T, h *host, job bool) bool {
	if !h.mayUse(w.now) || h.ledger.Acquire(w.now, team, 1) != "" {
		return false
	}
	w.work = append(w.work, &run{owner: h.holder, started: w.now, job: job})
	inForce := max(w.row.Limit.Rights, w.row.Sum())
	if n := w.running(); n > inForce {
		t.Fatalf("%d running with limit %d and %d rights held", n, w.row.Limit.Rights, w.row.Sum())
	}
	return true
}

func (w *world) survey(h *host) rights.Survey {
	s := rights.Survey{
		Team: team, Version: w.version, Row: w.row, ReadStart: w.now,
		Limit: h.limit, Hosts: len(w.hosts),
	}
	for _, x := range w.row.Holdings {
		if x.Holder == h.holder {
			continue
		}
		switch h.watch.Live(x.Holder, rights.Member{Version: w.members[x.Host]}, w.now, w.now) {
		case rights.Abandon:
			s.Abandoned = append(s.Abandoned, x.Holder)
		case rights.Free:
			s.Expired = append(s.Expired, x.Holder)
		}
	}
	for _, x := range w.row.Stranded {
		if h.watch.Stranded(team, x, w.now, w.now) == rights.Free {
			s.Reclaimed = append(s.Reclaimed, x.Holder)
		}
	}
	return s
}

// conditions returns the member rows that a plan of s relies on.
func (w *world) conditions(s rights.Survey) map[string]uint64 {
	c := map[string]uint64{}
	for _, h := range s.Expired {
		c[h.Host] = w.members[h.Host]
	}
	return c
}

func (w *world) balance(t *rapid.T, h *host) {
	if !h.runs() || h.cut || !h.mayUse(w.now) {
		return
	}
	s := w.survey(h)
	members := w.conditions(s)
	if h.read != nil && rapid.Bool().Draw(t, "late read") {
		s, members = *h.read, nil
		s.Abandoned, s.Expired, s.Reclaimed = nil, nil, nil
	}
	h.read = &s
	for _, peer := range w.hosts {
		if peer != h && rapid.Bool().Draw(t, "peer is heard") {
			s.Peers = append(s.Peers, peer.holder)
		}
	}
	p := h.ledger.Prepare(w.now, s)
	if p.Cause == rights.CauseNone {
		return
	}
	w.send(t, h, p, transaction{version: p.Version, row: p.Row, members: members})
}

func (w *world) send(t *rapid.T, h *host, p rights.Plan, tx transaction) {
	switch rapid.IntRange(0, 5).Draw(t, "fate of the write") {
	case 0:
		w.delayed = append(w.delayed, tx)
		h.ledger.Settle(p, rights.InDoubt, 0, w.now)
	case 1:
		w.commit(t, tx)
		h.ledger.Settle(p, rights.InDoubt, 0, w.now)
	case 2:
		h.ledger.Settle(p, rights.Refused, 0, w.now)
	default:
		if w.commit(t, tx) {
			h.ledger.Settle(p, rights.Committed, w.version, w.now)
		} else {
			h.ledger.Settle(p, rights.Refused, 0, w.now)
		}
	}
}

// placement is a job whose transaction was decided and not yet settled.
type placement struct {
	run *run
	tx  transaction
}

// placeJob decides on a placement. Its job starts only once that is committed.
func (w *world) placeJob(t *rapid.T, h *host) {
	if !h.runs() || h.cut || !w.start(t, h, false) {
		return
	}
	r := w.work[len(w.work)-1]
	next, ok := w.row.PlaceJob(h.holder)
	h.ledger.Observe(team, w.version, w.row, w.now)
	if !ok || !h.ledger.MayPlaceJob(team, w.version) {
		return
	}
	r.ended = true
	h.placing = append(h.placing, placement{r, transaction{version: w.version, row: next, job: r}})
}

// settleJob sends the transaction of the oldest placement of h.
func (w *world) settleJob(t *rapid.T, h *host) {
	if !h.runs() || len(h.placing) == 0 {
		return
	}
	p := h.placing[0]
	h.placing = h.placing[1:]
	outcome := rights.InDoubt
	switch rapid.IntRange(0, 3).Draw(t, "fate of the placement") {
	case 0:
		w.delayed = append(w.delayed, p.tx)
	case 1:
		w.commit(t, p.tx)
	default:
		outcome = rights.Refused
		if w.commit(t, p.tx) {
			outcome = rights.Committed
			h.ledger.Observe(team, w.version, w.row, w.now)
		}
	}
	h.ledger.SettleJob(team, p.tx.version, outcome)
	if outcome != rights.Refused {
		return
	}
	// The scheduler tries again with the right that it has, or returns it.
	next, ok := w.row.PlaceJob(h.holder)
	h.ledger.Observe(team, w.version, w.row, w.now)
	if ok && h.ledger.MayPlaceJob(team, w.version) {
		h.placing = append(h.placing, placement{p.run, transaction{version: w.version, row: next, job: p.run}})
		return
	}
	h.ledger.Release(w.now, team, 1)
}

func (w *world) pick(t *rapid.T) *host { return rapid.SampledFrom(w.hosts).Draw(t, "host") }

func (w *world) pickJob(t *rapid.T) *run {
	var jobs []*run
	for _, r := range w.work {
		if r.job && !r.ended {
			jobs = append(jobs, r)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	return rapid.SampledFrom(jobs).Draw(t, "job")
}

func (w *world) finish(h *host) {
	for _, r := range w.work {
		if r.owner == h.holder && !r.ended && !r.job {
			r.ended = true
			h.ledger.Release(w.now, team, 1)
			return
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"hold term passes": func(t *rapid.T) { w.advance(holdTerm + longestRequest) },
		"burst":            func(t *rapid.T) { w.burst(t, w.pick(t)) },
		"frozen over the hold term": func(t *rapid.T) {
			h := w.pick(t)
			h.frozen = true
			w.balanceAll(t)
			w.advance(holdTerm + longestRequest)
			w.balanceAll(t)
			w.burst(t, w.pick(t))
			w.balanceAll(t)
			w.burst(t, w.pick(t))
			w.resume(h)
			w.burst(t, h)
		},
		"cut over the hold term": func(t *rapid.T) {
			h := w.pick(t)
			h.cut = true
			w.balanceAll(t)
			w.advance(holdTerm + longestRequest)
			w.balanceAll(t)
			w.balanceAll(t)
			w.burst(t, w.pick(t))
			w.balanceAll(t)
			w.burst(t, w.pick(t))
			h.cut = false
			if h.runs() {
				w.renew(h)
			}
			w.burst(t, h)
		},
		"cut to the end of the hold term": func(t *rapid.T) {
			h := w.pick(t)
			h.cut = true
			w.balanceAll(t)
			w.advance(holdTerm - time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond)
			w.burst(t, h)
			w.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			w.balanceAll(t)
			w.burst(t, w.pick(t))
		},
		"finish": func(t *rapid.T) {
			h := w.pick(t)
			for range rapid.IntRange(0, 8).Draw(t, "ends") {
				if h.runs() {
					w.finish(h)
				}
			}
		},
		"balance":     func(t *rapid.T) { w.balance(t, w.pick(t)) },
		"balance all": w.balanceAll,
		"delayed write lands": func(t *rapid.T) {
			for _, tx := range w.delayed {
				w.commit(t, tx)
			}
			w.delayed = nil
		},
		"crash":   func(t *rapid.T) { w.pick(t).alive = false },
		"restart": func(t *rapid.T) { w.boot(w.pick(t)) },
		"operator states the end": func(t *rapid.T) {
			if h := w.pick(t); !h.alive {
				w.members[h.holder.Host] = 0
			}
		},
		"freeze": func(t *rapid.T) { w.pick(t).frozen = true },
		"resume": func(t *rapid.T) { w.resume(w.pick(t)) },
		"cut":    func(t *rapid.T) { w.pick(t).cut = true },
		"heal all": func(*rapid.T) {
			for _, h := range w.hosts {
				h.cut = false
				if h.frozen {
					w.resume(h)
				}
				if !h.alive {
					w.boot(h)
				}
			}
		},
		"heal":        func(t *rapid.T) { w.pick(t).cut = false },
		"learn limit": func(t *rapid.T) { w.pick(t).limit = w.limit },
		"change limit": func(t *rapid.T) {
			w.limit = rights.Limit{Rights: rapid.IntRange(0, 20).Draw(t, "limit"), Revision: w.limit.Revision + 1}
		},
		"place job": func(t *rapid.T) { w.placeJob(t, w.pick(t)) },
		"placement races other work": func(t *rapid.T) {
			h := w.pick(t)
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
		"settle job": func(t *rapid.T) { w.settleJob(t, w.pick(t)) },
		"end job": func(t *rapid.T) {
			if r := w.pickJob(t); r != nil {
				next, ok := w.row.EndJob(r.owner)
				w.mustCommit(t, next, ok)
				r.ended = true
			}
		},
		"adopt job": func(t *rapid.T) {
			r, to := w.pickJob(t), w.pick(t)
			if r == nil || !to.runs() || to.cut {
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
	if !h.runs() {
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
	h.frozen = false
	if h.alive && !h.cut {
		w.renew(h)
	}
}

func (w *world) mustCommit(t *rapid.T, next rights.Row, ok bool) {
	if !ok {
		t.Fatalf("the right of a job is missing in %+v", w.row)
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

// Guards against more work running than the limit in force at the start, over
// crashes, pauses, lost and late writes, restarts under the same name, cut
// hosts, changes of the limit, and jobs that change their scheduler.
func TestLimitHoldsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := w.actions()
		names := slices.Sorted(maps.Keys(actions))
		// Ordinary work is more frequent than failures, so that the failures
		// strike hosts that hold and use rights.
		names = append(names, slices.Repeat([]string{"burst", "finish", "balance", "balance all", "placement races other work", "end job", "time passes", "heal all"}, 5)...)
		for range steps {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			w.check(t)
		}
	})
}

// Guards against a job's right that goes to new work while the sum is over a
// lowered limit, and against one that is lost when its scheduler is stranded.
func TestJobRights(t *testing.T) {
	a, b := rights.Holder{Host: "a", Incarnation: 1}, rights.Holder{Host: "b", Incarnation: 2}
	row := rights.Row{Limit: rights.Limit{Rights: 2, Revision: 1}}
	row, _ = row.Take(a, 2)
	row, _ = row.PlaceJob(a)
	lowered, ok := row.UnderLimit(rights.Limit{Rights: 1, Revision: 2}).EndJob(a)
	assert.Assert(t, ok)
	assert.Equal(t, lowered.Sum(), 1)

	row, _ = row.Strand(a, 7)
	row, freed := row.Reclaim(a)
	assert.Equal(t, freed, 1)
	assert.Equal(t, row.Sum(), 1)
	row, ok = row.AdoptJob(a, b)
	assert.Assert(t, ok)
	assert.Equal(t, row.Of(b).Jobs, 1)
	row, ok = row.EndJob(b)
	assert.Assert(t, ok)
	assert.Equal(t, row.Of(b).Requests, 1)
}

// Guards against a live holding that is freed, or stranded rights that are freed
// too early, because the same holder was stranded before.
func TestHolderThatCameBack(t *testing.T) {
	a, b := rights.Holder{Host: "a", Incarnation: 1}, rights.Holder{Host: "b", Incarnation: 2}
	row := rights.Row{Limit: rights.Limit{Rights: 6, Revision: 1}}
	row, _ = row.Take(a, 2)
	row, _ = row.PlaceJob(a)
	row, _ = row.Strand(a, 7)
	row, _ = row.Take(a, 4)
	now := time.Unix(1000, 0)
	l := rights.NewLedger(b, now)
	s := rights.Survey{Team: team, Version: 8, Row: row, ReadStart: now, Hosts: 2, Reclaimed: []rights.Holder{a}}
	assert.Equal(t, l.Prepare(now, s).Row.Of(a).Requests, 4)
	s.Abandoned = []rights.Holder{a}
	assert.Equal(t, l.Prepare(now, s).Row.Sum(), 6)
}
