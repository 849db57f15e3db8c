package rights_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

const (
	team           = "t"
	holdTerm       = 20 * time.Second
	longestRequest = 5 * time.Second
	tickPeriod     = 400 * time.Millisecond
	// actionsPerCase is the number of actions in one test case.
	actionsPerCase = 400
)

// world models the platform's row, the entry hosts and the work that really
// runs, which continues for up to longestRequest after its host died.
type world struct {
	now             time.Time
	row             rights.Row
	version         uint64
	members         map[string]uint64
	limit           rights.Limit
	hosts           []*host
	startedWork     []*run
	delayed         []transaction
	lastIncarnation uint64

	memberVersion uint64
}

type host struct {
	holder       rights.Holder
	ledger       *rights.Ledger
	monitor      *rights.HolderMonitor
	alive        bool
	isFrozen     bool
	disconnected bool
	renewed      time.Time
	limit        rights.Limit
	// lastRead is the input of the last balancing; it may be out of date when
	// it is used again.
	lastRead   *rights.BalanceInput
	placements []placement
}

type run struct {
	owner   rights.Holder
	started time.Time
	isJob   bool
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
		w.startHost(w.hosts[i])
	}
	return w
}

func (w *world) startHost(h *host) {
	w.lastIncarnation++
	h.holder.Incarnation = w.lastIncarnation
	h.ledger = rights.NewLedger(h.holder, w.now)
	h.monitor = rights.NewHolderMonitor(holdTerm, longestRequest)
	h.alive, h.isFrozen, h.disconnected, h.lastRead, h.placements = true, false, false, nil, nil
	h.limit = w.limit
	w.renew(h)
}

func (w *world) renew(h *host) {
	w.memberVersion++
	w.members[h.holder.Host] = w.memberVersion
	h.renewed = w.now
}

func (h *host) isRunning() bool { return h.alive && !h.isFrozen }

// advance lets time pass in steps that no unfrozen host perceives as a pause.
func (w *world) advance(d time.Duration) {
	for d > 0 {
		step := min(d, tickPeriod)
		w.now = w.now.Add(step)
		d -= step
		for _, h := range w.hosts {
			if !h.isRunning() {
				continue
			}
			h.ledger.Tick(w.now)
			h.mayUse(w.now)
			if !h.disconnected && w.now.Sub(h.renewed) > time.Second {
				w.renew(h)
			}
		}
	}
}

// running returns how much work really runs now.
func (w *world) running() int {
	n := 0
	for _, r := range w.startedWork {
		if !r.ended && (r.isJob || w.now.Sub(r.started) < longestRequest) {
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
		t.Fatalf("limit went back from revision %d to %d", w.row.Limit.Revision, tx.row.Limit.Revision)
	}
	w.row = tx.row
	w.version++
	if tx.job != nil {
		tx.job.ended, tx.job.isJob = false, true
	}
	return true
}

func (h *host) mayUse(now time.Time) bool {
	if now.Sub(h.renewed) < holdTerm {
		return true
	}
	h.ledger.MarkUnconfirmed(now)
	return false
}

func (w *world) start(t *rapid.T, h *host, job bool) bool {
	if !h.mayUse(w.now) || h.ledger.Acquire(w.now, team, 1) != "" {
		return false
	}
	w.startedWork = append(w.startedWork, &run{owner: h.holder, started: w.now, isJob: job})
	inForce := max(w.row.Limit.Rights, w.row.Sum())
	if n := w.running(); n > inForce {
		t.Fatalf("%d running, over limit %d and %d rights in the row", n, w.row.Limit.Rights, w.row.Sum())
	}
	return true
}

func (w *world) balanceInput(h *host) rights.BalanceInput {
	s := rights.BalanceInput{
		Team: team, Version: w.version, Row: w.row, ReadStart: w.now,
		Limit: h.limit, Hosts: len(w.hosts),
	}
	for _, x := range w.row.Holdings {
		if x.Holder == h.holder {
			continue
		}
		switch h.monitor.CheckLive(x.Holder, rights.MemberRow{Version: w.members[x.Host]}, w.now, w.now) {
		case rights.OrphanHolding:
			s.Ended = append(s.Ended, x.Holder)
		case rights.ReclaimHolding:
			s.Expired = append(s.Expired, x.Holder)
		}
	}
	for _, x := range w.row.Orphaned {
		if h.monitor.CheckOrphaned(team, x, w.now, w.now) == rights.ReclaimHolding {
			s.Reclaimable = append(s.Reclaimable, x.Holder)
		}
	}
	return s
}

// conditions returns the member rows that a plan of s relies on.
func (w *world) conditions(s rights.BalanceInput) map[string]uint64 {
	c := map[string]uint64{}
	for _, h := range s.Expired {
		c[h.Host] = w.members[h.Host]
	}
	return c
}

func (w *world) balance(t *rapid.T, h *host) {
	if !h.isRunning() || h.disconnected || !h.mayUse(w.now) {
		return
	}
	s := w.balanceInput(h)
	members := w.conditions(s)
	if h.lastRead != nil && rapid.Bool().Draw(t, "late read") {
		s, members = *h.lastRead, nil
		s.Ended, s.Expired, s.Reclaimable = nil, nil, nil
	}
	h.lastRead = &s
	for _, peer := range w.hosts {
		if peer != h && rapid.Bool().Draw(t, "peer has recent contact") {
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
		h.ledger.RecordOutcome(p, rights.InDoubt, 0, w.now)
	case 1:
		w.commit(t, tx)
		h.ledger.RecordOutcome(p, rights.InDoubt, 0, w.now)
	case 2:
		h.ledger.RecordOutcome(p, rights.Refused, 0, w.now)
	default:
		if w.commit(t, tx) {
			h.ledger.RecordOutcome(p, rights.Committed, w.version, w.now)
		} else {
			h.ledger.RecordOutcome(p, rights.Refused, 0, w.now)
		}
	}
}

// placement is a job whose transaction was decided on and has no outcome yet.
type placement struct {
	run *run
	tx  transaction
}

// placeJob decides on a placement. Its job starts only once that is committed.
func (w *world) placeJob(t *rapid.T, h *host) {
	if !h.isRunning() || h.disconnected || !w.start(t, h, false) {
		return
	}
	r := w.startedWork[len(w.startedWork)-1]
	next, ok := w.row.PlaceJob(h.holder)
	h.ledger.Observe(team, w.version, w.row, w.now)
	if !ok || !h.ledger.MayPlaceJob(team, w.version) {
		return
	}
	r.ended = true
	h.placements = append(h.placements, placement{r, transaction{version: w.version, row: next, job: r}})
}

// settleJob sends the transaction of the oldest placement of h.
func (w *world) settleJob(t *rapid.T, h *host) {
	if !h.isRunning() || len(h.placements) == 0 {
		return
	}
	p := h.placements[0]
	h.placements = h.placements[1:]
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
	h.ledger.RecordJobOutcome(team, p.tx.version, outcome)
	if outcome != rights.Refused {
		return
	}
	// The scheduler tries again with the right that it has, or releases it.
	next, ok := w.row.PlaceJob(h.holder)
	h.ledger.Observe(team, w.version, w.row, w.now)
	if ok && h.ledger.MayPlaceJob(team, w.version) {
		h.placements = append(h.placements, placement{p.run, transaction{version: w.version, row: next, job: p.run}})
		return
	}
	h.ledger.Release(w.now, team, 1)
}

func (w *world) randomHost(t *rapid.T) *host { return rapid.SampledFrom(w.hosts).Draw(t, "host") }

func (w *world) randomJob(t *rapid.T) *run {
	var jobs []*run
	for _, r := range w.startedWork {
		if r.isJob && !r.ended {
			jobs = append(jobs, r)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	return rapid.SampledFrom(jobs).Draw(t, "job")
}

func (w *world) finish(h *host) {
	for _, r := range w.startedWork {
		if r.owner == h.holder && !r.ended && !r.isJob {
			r.ended = true
			h.ledger.Release(w.now, team, 1)
			return
		}
	}
}
