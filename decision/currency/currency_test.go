package currency

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var names = []string{"a", "b", "c", "d"}

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
	"deliver":    {10, func(w *world, p *process) { w.anyMessage(w.deliver) }},
	"drop":       {1, func(w *world, p *process) { w.anyMessage(w.drop) }},
	"round":      {2, func(w *world, p *process) { w.round(p) }},
	"write row":  {3, func(w *world, p *process) { w.writeRow(p) }},
	"list":       {3, func(w *world, p *process) { w.listStart(p) }},
	"listed":     {3, func(w *world, p *process) { w.listFinish(p) }},
	"admit":      {2, func(w *world, p *process) { w.admit(p) }},
	"join":       {4, func(w *world, p *process) { w.joinPartly(p) }},
	"read":       {2, func(w *world, p *process) { w.readStart(p) }},
	"readed":     {2, func(w *world, p *process) { w.readFinish(p) }},
	"send":       {4, func(w *world, p *process) { w.send(p) }},
	"commit":     {4, func(w *world, p *process) { w.commit(p) }},
	"resolve":    {4, func(w *world, p *process) { w.resolve(p) }},
	"accept":     {4, func(w *world, p *process) { w.send(p); w.commit(p); w.resolve(p) }},
	"resubmit":   {2, func(w *world, p *process) { w.resubmit(p) }},
	"crash":      {1, func(w *world, p *process) { w.crash(p) }},
	"leave":      {2, func(w *world, p *process) { w.leave(p) }},
	"outage":     {1, func(w *world, p *process) { w.up = !w.up }},
	"start":      {3, func(w *world, p *process) { w.startAny() }},
	"fetch":      {3, func(w *world, p *process) { p.revision = max(p.revision, pickOther(w, p).revision) }},
	"lapse":      {1, func(w *world, p *process) { w.lapse(p) }},
	"expire":     {2, func(w *world, p *process) { w.expire(p) }},
	"long pause": {1, func(w *world, p *process) { w.now += 20 * time.Second }},
}

func (w *world) anyMessage(use func(int)) {
	if len(w.inFlight) > 0 {
		use(rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message"))
	}
}

func (w *world) drop(i int) { w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...) }

func (w *world) startAny() {
	name := rapid.SampledFrom(names).Draw(w.t, "name")
	if !w.running(name) {
		p := w.start(name)
		w.ask(p, pickOther(w, p).self)
	}
}

func (w *world) round(p *process) {
	for _, other := range w.alive() {
		if other != p {
			w.roundTrip(p, other.self)
		}
	}
}

func (w *world) admit(p *process) {
	w.writeRow(p)
	w.now += time.Millisecond
	w.listStart(p)
	w.listFinish(p)
	w.readStart(p)
	w.readFinish(p)
	w.round(p)
}

// joinPartly has p do all of its admission but for the confirmations of some
// members; those may meanwhile hear of p or not.
func (w *world) joinPartly(p *process) {
	w.writeRow(p)
	w.now += time.Millisecond
	w.listStart(p)
	w.listFinish(p)
	w.roundTrip(p, pickOther(w, p).self)
}

// Guards against a host that accepts a withdrawn key because it counts as
// current: whatever members join, crash, leave or accept changes, and however
// messages are delayed or lost, proof as of a time covers every change
// committed before.
func TestProofCoversAllChanges(t *testing.T) {
	var weighted []string
	for name, a := range actions {
		for range a.weight {
			weighted = append(weighted, name)
		}
	}
	slices.Sort(weighted)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, up: true, rows: map[string]Member{}, processes: map[Member]*process{}}
		for _, name := range names[:rapid.IntRange(1, 3).Draw(t, "hosts")] {
			w.admit(w.start(name))
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			if len(w.processes) == 0 {
				w.start(names[0])
			}
			p := rapid.SampledFrom(w.alive()).Draw(t, "host")
			actions[rapid.SampledFrom(weighted).Draw(t, "action")].run(w, p)
			w.check()
		}
	})
}

// Guards against a platform outage that alone stops keyed work: with all
// members up, every host proves its replica by statements.
func TestOutageLeavesProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, up: true, rows: map[string]Member{}, processes: map[Member]*process{}}
		for _, name := range names {
			w.admit(w.start(name))
			w.now += time.Second
		}
		w.accept(rapid.SampledFrom(w.alive()).Draw(t, "acceptor"))
		for _, p := range w.alive() {
			w.readStart(p)
			w.readFinish(p)
			w.round(p)
		}
		w.now += time.Second
		w.up = false
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			for _, p := range w.alive() {
				w.round(p)
			}
			w.now += time.Second
		}
		w.check()
		for _, p := range w.alive() {
			age := w.now - (p.proof.Sub(epoch) - p.offset)
			assert.Assert(t, age <= time.Second, "%v: proof is %v old", p.self, age)
		}
	})
}

func (w *world) accept(p *process) {
	w.send(p)
	w.commit(p)
	w.resolve(p)
}

// Guards against a new member that accepts changes while a listed member may
// not know it: a listing or a confirmation from before the own row is in
// force proves nothing.
func TestJoinWaitsForAll(t *testing.T) {
	self, a, b := Member{"self", 9}, Member{"a", 1}, Member{"b", 1}
	j := NewJoin(self)
	j.List([]Member{self}, epoch)
	j.Written(epoch.Add(1))
	j.List([]Member{self}, epoch)
	assert.Assert(t, !j.Admitted())
	j.Confirm(a, epoch)
	j.List([]Member{self, a, b}, epoch.Add(1))
	j.Confirm(b, epoch.Add(1))
	assert.Assert(t, !j.Admitted())
	assert.DeepEqual(t, j.Waiting(), []Member{a})
	j.Confirm(a, epoch.Add(1))
	assert.Assert(t, j.Admitted())
	j.Lapse()
	assert.Assert(t, !j.Admitted())
}

// Guards against reporting a withdrawal as in force on a member that may
// still hold proof without it.
func TestForceOn(t *testing.T) {
	accepted := epoch
	bound := 4 * time.Second
	assert.Equal(t, ForceOn(7, 7, accepted, accepted, bound), ForceConfirmed)
	assert.Equal(t, ForceOn(6, 7, accepted, accepted.Add(bound), bound), ForcePending)
	assert.Equal(t, ForceOn(6, 7, accepted, accepted.Add(bound+1), bound), ForceBound)
}

// Guards against a zone without a reader after the first one loses the
// platform, and against all hosts of a zone reading.
func TestReadTurn(t *testing.T) {
	zone := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{0, 1}, {turnAge, 2}, {turnAge + turnStep, 3}, {time.Hour, turnRanks + 1}} {
		readers := 0
		for i, self := range zone {
			near := append(append([]string{}, zone[:i]...), zone[i+1:]...)
			if ReadTurn(self, near, c.age) {
				readers++
			}
		}
		assert.Equal(t, readers, c.want, "at age %v", c.age)
	}
}

// Guards against proof by a host whose row is out of force, or that left out a
// member which others have admitted again: it may not know all members.
func TestCompletenessEnds(t *testing.T) {
	self, a, b := Member{"self", 9}, Member{"a", 1}, Member{"b", 1}
	k := New(self)
	k.List([]Member{self}, epoch, true, epoch)
	k.ReadPlatform(PlatformRead{AsOf: epoch})
	later := epoch.Add(time.Minute)
	assert.Equal(t, k.Prove(Statement{MadeAt: later}), epoch)
	assert.Equal(t, k.MembersAsOf(later), later)
	k.Unlist()
	assert.Assert(t, k.MembersAsOf(later).IsZero())

	k.Depart(Departure{Member: a})
	k.Prove(Statement{MadeAt: later})
	k.Answer(Report{From: b, Members: []Member{a, b}, MembersAsOf: later}, later)
	assert.Assert(t, k.MembersAsOf(later).IsZero())
	k.Answer(Report{From: b, Members: []Member{b}, MembersAsOf: later}, later)
	assert.Equal(t, k.MembersAsOf(later), later)
}
