package freshness

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var hostNames = []string{"a", "b", "c", "d"}

type action struct {
	weight int
	run    func(w *world, p *process)
}

func pickOther(w *world, p *process) *process {
	return rapid.SampledFrom(w.alive()).Draw(w.t, "other")
}

var actions = map[string]action{
	"ask":        {6, func(w *world, p *process) { w.ask(p, pickOther(w, p).self) }},
	"exchange":   {10, func(w *world, p *process) { w.roundTrip(p, pickOther(w, p).self) }},
	"deliver":    {10, func(w *world, p *process) { w.withRandomMessage(w.deliver) }},
	"drop":       {1, func(w *world, p *process) { w.withRandomMessage(w.drop) }},
	"round":      {2, func(w *world, p *process) { w.exchangeWithAll(p) }},
	"write row":  {3, func(w *world, p *process) { w.writeRow(p) }},
	"list":       {3, func(w *world, p *process) { w.startListing(p) }},
	"list done":  {3, func(w *world, p *process) { w.finishListing(p) }},
	"admit":      {2, func(w *world, p *process) { w.admit(p) }},
	"join":       {4, func(w *world, p *process) { w.admitWithoutAllConfirmations(p) }},
	"read":       {2, func(w *world, p *process) { w.readStart(p) }},
	"read done":  {2, func(w *world, p *process) { w.readFinish(p) }},
	"send":       {4, func(w *world, p *process) { w.send(p) }},
	"commit":     {4, func(w *world, p *process) { w.commit(p) }},
	"resolve":    {4, func(w *world, p *process) { w.resolve(p) }},
	"accept":     {4, func(w *world, p *process) { w.send(p); w.commit(p); w.resolve(p) }},
	"resubmit":   {2, func(w *world, p *process) { w.resubmit(p) }},
	"crash":      {1, func(w *world, p *process) { w.crash(p) }},
	"leave":      {2, func(w *world, p *process) { w.leave(p) }},
	"outage":     {1, func(w *world, p *process) { w.platformUp = !w.platformUp }},
	"start":      {3, func(w *world, p *process) { w.startRandomHost() }},
	"fetch":      {3, func(w *world, p *process) { p.revision = max(p.revision, pickOther(w, p).revision) }},
	"lapse":      {1, func(w *world, p *process) { w.expireHoldTerm(p) }},
	"expire":     {2, func(w *world, p *process) { w.deleteExpiredRow(p) }},
	"long pause": {1, func(w *world, p *process) { w.now += 20 * time.Second }},
}

func (w *world) withRandomMessage(fn func(int)) {
	if len(w.inFlight) > 0 {
		fn(rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message"))
	}
}

func (w *world) drop(i int) { w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...) }

func (w *world) startRandomHost() {
	name := rapid.SampledFrom(hostNames).Draw(w.t, "name")
	if !w.running(name) {
		p := w.start(name)
		w.ask(p, pickOther(w, p).self)
	}
}

func (w *world) exchangeWithAll(p *process) {
	for _, other := range w.alive() {
		if other != p {
			w.roundTrip(p, other.self)
		}
	}
}

func (w *world) admit(p *process) {
	w.writeRow(p)
	w.now += time.Millisecond
	w.startListing(p)
	w.finishListing(p)
	w.readStart(p)
	w.readFinish(p)
	w.exchangeWithAll(p)
}

// admitWithoutAllConfirmations runs the admission of p without the
// confirmations of some members, which may or may not learn of p meanwhile.
func (w *world) admitWithoutAllConfirmations(p *process) {
	w.writeRow(p)
	w.now += time.Millisecond
	w.startListing(p)
	w.finishListing(p)
	w.roundTrip(p, pickOther(w, p).self)
}

// Guards against a host that accepts a withdrawn key because its replica
// wrongly counts as fresh: whichever members join, crash, leave or accept
// changes, and however messages are delayed or lost, a replica that is fresh as
// of a time has every change committed before.
func TestFreshReplicaHasAllCommittedChanges(t *testing.T) {
	var weighted []string
	for name, a := range actions {
		for range a.weight {
			weighted = append(weighted, name)
		}
	}
	slices.Sort(weighted)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, platformUp: true, rows: map[string]Member{}, processes: map[Member]*process{}}
		for _, name := range hostNames[:rapid.IntRange(1, 3).Draw(t, "hosts")] {
			w.admit(w.start(name))
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			if len(w.processes) == 0 {
				w.start(hostNames[0])
			}
			p := rapid.SampledFrom(w.alive()).Draw(t, "host")
			actions[rapid.SampledFrom(weighted).Draw(t, "action")].run(w, p)
			w.check()
		}
	})
}

// Guards against a platform outage that by itself stops keyed work: while all
// members are up, every replica stays fresh through self-reports.
func TestSelfReportsKeepReplicasFreshInOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, platformUp: true, rows: map[string]Member{}, processes: map[Member]*process{}}
		for _, name := range hostNames {
			w.admit(w.start(name))
			w.now += time.Second
		}
		w.accept(rapid.SampledFrom(w.alive()).Draw(t, "acceptor"))
		for _, p := range w.alive() {
			w.readStart(p)
			w.readFinish(p)
			w.exchangeWithAll(p)
		}
		w.now += time.Second
		w.platformUp = false
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			for _, p := range w.alive() {
				w.exchangeWithAll(p)
			}
			w.now += time.Second
		}
		w.check()
		for _, p := range w.alive() {
			age := w.now - (p.freshAsOf.Sub(epoch) - p.clockOffset)
			assert.Assert(t, age <= time.Second, "%v: replica is %v stale", p.self, age)
		}
	})
}

func (w *world) accept(p *process) {
	w.send(p)
	w.commit(p)
	w.resolve(p)
}

// Guards against a new member that accepts changes while a listed member may
// not know it: a listing or a confirmation from before the new member's row is
// in force does not count.
func TestJoinWaitsForAll(t *testing.T) {
	self, a, b := Member{"self", 9}, Member{"a", 1}, Member{"b", 1}
	j := NewJoin(self)
	j.SetListing([]Member{self}, epoch)
	j.RecordRowWritten(epoch.Add(1))
	j.SetListing([]Member{self}, epoch)
	assert.Assert(t, !j.Admitted())
	j.RecordConfirmation(a, epoch)
	j.SetListing([]Member{self, a, b}, epoch.Add(1))
	j.RecordConfirmation(b, epoch.Add(1))
	assert.Assert(t, !j.Admitted())
	assert.DeepEqual(t, j.Unconfirmed(), []Member{a})
	j.RecordConfirmation(a, epoch.Add(1))
	assert.Assert(t, j.Admitted())
	j.Reset()
	assert.Assert(t, !j.Admitted())
}

// Guards against reporting a withdrawal as in force on a member that lacks it
// and may still count as fresh.
func TestEnforcementOnMember(t *testing.T) {
	accepted := epoch
	bound := 4 * time.Second
	assert.Equal(t, EnforcementOn(7, 7, accepted, accepted, bound), EnforcementConfirmed)
	assert.Equal(t, EnforcementOn(6, 7, accepted, accepted.Add(bound), bound), EnforcementPending)
	assert.Equal(t, EnforcementOn(6, 7, accepted, accepted.Add(bound+1), bound), EnforcementBoundPassed)
}

// Guards against a zone in which no host reads after the first reader loses the
// platform, and against a zone in which all hosts read.
func TestHeadReadersIncreaseWithAge(t *testing.T) {
	zone := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{0, 1}, {takeoverAge, 2}, {takeoverAge + takeoverStep, 3}, {time.Hour, maxTakeoverRank + 1}} {
		readers := 0
		for i, self := range zone {
			otherHosts := append(append([]string{}, zone[:i]...), zone[i+1:]...)
			if ShouldReadHead(self, otherHosts, c.age) {
				readers++
			}
		}
		assert.Equal(t, readers, c.want, "at age %v", c.age)
	}
}

// Guards against a replica that counts as fresh although the host's row is no
// longer in force, or although the host removed a member which others have
// admitted again: it may not know all members.
func TestCompletenessEnds(t *testing.T) {
	self, a, b := Member{"self", 9}, Member{"a", 1}, Member{"b", 1}
	tracker := NewTracker(self)
	tracker.MergeListing([]Member{self}, epoch, true, epoch)
	tracker.RecordPlatformRead(PlatformRead{AsOf: epoch})
	later := epoch.Add(time.Minute)
	assert.Equal(t, tracker.UpdateFreshness(SelfReport{AsOf: later}), epoch)
	assert.Equal(t, tracker.MembersAsOf(later), later)
	tracker.InvalidateListing()
	assert.Assert(t, tracker.MembersAsOf(later).IsZero())

	tracker.RecordDeparture(Departure{Member: a})
	tracker.UpdateFreshness(SelfReport{AsOf: later})
	tracker.MergeReply(Report{From: b, Members: []Member{a, b}, MembersAsOf: later}, later)
	assert.Assert(t, tracker.MembersAsOf(later).IsZero())
	tracker.MergeReply(Report{From: b, Members: []Member{b}, MembersAsOf: later}, later)
	assert.Equal(t, tracker.MembersAsOf(later), later)
}
