package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable() *Table { return New("klang", rand.New(rand.NewPCG(1, 2))) }

func testServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: "klang", Pool: "p", Slots: 8}
	}
	return servers
}

// Guards against new work for leaving, full, ejected or foreign servers, and
// against ejecting more than half of a pool, over random histories.
func TestChooseKeepsToUsableServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		table, servers, now := newTable(), testServers(n), start
		servers[n-1].Zone = "penang"
		table.SetServers(servers)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				servers[i].Leaving = !servers[i].Leaving
				table.SetServers(servers)
			case 1:
				table.AttemptStarted(servers[i].Name)
				load := LoadReport{SlotsFree: rapid.IntRange(-1, 8).Draw(t, "free"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
				table.AttemptEnded(servers[i].Name, Result(rapid.IntRange(0, 1).Draw(t, "result")), load, now)
			case 2, 3, 4:
				table.AttemptStarted(servers[i].Name)
				table.AttemptEnded(servers[i].Name, Failed, LoadReport{SlotsFree: -1}, now)
			}
			checkEjected(t, table, now)
			checkChoice(t, table, servers, now)
		}
	})
}

func checkEjected(t *rapid.T, table *Table, now time.Time) {
	p := table.pools["p"]
	if p == nil {
		return
	}
	ejected := 0
	for _, s := range p.servers {
		if s.health.isEjected(now) {
			ejected++
		}
	}
	assert.Assert(t, 2*ejected <= len(p.servers), "%d of %d ejected", ejected, len(p.servers))
}

func checkChoice(t *rapid.T, table *Table, servers []Server, now time.Time) {
	avoid := servers[0].Name
	name, ok := table.Choose("p", avoid, now)
	if !ok {
		return
	}
	s := table.servers[name]
	assert.Assert(t, !s.Leaving && !now.Before(s.leavingUntil), "%s is leaving", name)
	assert.Assert(t, !s.health.isEjected(now), "%s is ejected", name)
	assert.Assert(t, table.pools["p"].estimateFree(s, now) >= minFreeSlots, "%s is full", name)
	if name == avoid || s.Zone == table.zone {
		return
	}
	for _, o := range table.pools["p"].servers {
		preferred := o.Zone == table.zone && o.Name != avoid && o.isUsable(now) && table.pools["p"].estimateFree(o, now) >= minFreeSlots
		assert.Assert(t, !preferred, "%s of another zone is chosen before %s", name, o.Name)
	}
}

// Guards against a failing server that keeps receiving work, and against one
// that never gets any again.
func TestEjectionGrowsAndEnds(t *testing.T) {
	table, now := newTable(), start
	table.SetServers(testServers(2))
	fail := func() {
		table.AttemptStarted("s0")
		table.AttemptEnded("s0", Failed, LoadReport{SlotsFree: -1}, now)
	}
	for range ejectionThreshold {
		fail()
	}
	for _, length := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		s := table.servers["s0"]
		assert.Equal(t, s.health.ejectedUntil.Sub(now), length)
		assert.Assert(t, !s.isUsable(now))
		now = now.Add(length)
		assert.Assert(t, s.isUsable(now))
		table.AttemptStarted("s0")
		assert.Assert(t, !s.isUsable(now), "one attempt at a time on probation")
		table.AttemptEnded("s0", Failed, LoadReport{SlotsFree: -1}, now)
	}
	now = now.Add(8 * time.Second)
	table.AttemptEnded("s0", Succeeded, LoadReport{SlotsFree: 8}, now)
	assert.Assert(t, !table.servers["s0"].health.onProbation)
}

// Guards against work for a server that says it is leaving while the lagging
// host list still shows it as live.
func TestReplyHeaderMarksLeaving(t *testing.T) {
	table := newTable()
	table.SetServers(testServers(1))
	table.AttemptEnded("s0", Succeeded, LoadReport{SlotsFree: 8, Leaving: true}, start)
	table.SetServers(testServers(1))
	_, ok := table.Choose("p", "", start.Add(3*time.Second))
	assert.Assert(t, !ok)
}

// Guards against a host that last saw a full pool and never tries again.
func TestFullReportFades(t *testing.T) {
	table := newTable()
	table.SetServers(testServers(1))
	for range 200 {
		table.AttemptStarted("s0")
		table.AttemptEnded("s0", Refused, LoadReport{SlotsFree: 0}, start)
	}
	_, ok := table.Choose("p", "", start)
	assert.Assert(t, !ok)
	_, ok = table.Choose("p", "", start.Add(2*time.Second))
	assert.Assert(t, ok)
}
