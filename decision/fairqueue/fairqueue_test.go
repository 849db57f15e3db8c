package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

var (
	start      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	allClasses = []fleet.QueueClass{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch}
)

// schedulerModel is a reference model of the Scheduler: a plain list of the
// waiting entries, oldest first.
type schedulerModel struct {
	waiting []*Entry
	blocked map[string]bool
	running map[string]int
}

func (m *schedulerModel) remove(e *Entry) {
	for i, other := range m.waiting {
		if other == e {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			return
		}
	}
}

func (m *schedulerModel) count(queue string) (n int) {
	for _, e := range m.waiting {
		if e.Queue == queue {
			n++
		}
	}
	return n
}

func (m *schedulerModel) hasStartable(class fleet.QueueClass) bool {
	for _, e := range m.waiting {
		if e.Class == class && !m.blocked[e.Team] {
			return true
		}
	}
	return false
}

// check asserts that e, which the Scheduler would start, is next in the order of
// classes, teams and arrivals.
func (m *schedulerModel) check(t *rapid.T, e *Entry, p Pool, sinceBatch int) {
	if e == nil {
		free := p.Free > 0
		assert.Assert(t, !free || !m.hasStartable(fleet.ClassUrgent), "urgent work waits although a slot is free")
		if p.Free > reservedSlots(p) {
			assert.Assert(t, !m.hasStartable(fleet.ClassInteractive) && !m.hasStartable(fleet.ClassBatch), "work waits although a slot is free")
		}
		return
	}
	assert.Assert(t, !m.blocked[e.Team], "team %s is at its limit", e.Team)
	assert.Assert(t, e.Class == fleet.ClassUrgent || p.Free > reservedSlots(p), "non-urgent work takes a reserved slot")
	assert.Assert(t, e.Class == fleet.ClassUrgent || !m.hasStartable(fleet.ClassUrgent), "other work starts before urgent work")
	if e.Class == fleet.ClassBatch && m.hasStartable(fleet.ClassInteractive) {
		assert.Assert(t, sinceBatch >= batchInterval-1, "batch work starts before interactive work out of turn")
	}
	for _, other := range m.waiting {
		if other.Team == e.Team && other.Class == e.Class {
			assert.Assert(t, other == e, "a later request of the flow starts first")
			break
		}
	}
	for _, other := range m.waiting {
		if other.Class == e.Class && !m.blocked[other.Team] {
			assert.Assert(t, m.normalizedUse(e) <= m.normalizedUse(other)+1e-9, "%s starts before %s", e.Team, other.Team)
		}
	}
}

func (m *schedulerModel) normalizedUse(e *Entry) float64 { return float64(m.running[e.Team]) / e.Share }

// TestSchedulerAgainstModel guards against a wrong order, overfull queues, lost or
// duplicated entries and teams at their limit that block others, over random
// sequences of operations.
func TestSchedulerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m, now := New(), &schedulerModel{blocked: map[string]bool{}, running: map[string]int{}}, start
		var started []*Entry
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				admitRandom(t, s, m, now)
			case 3:
				if len(m.waiting) > 0 {
					e := m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "cancel")]
					s.Remove(e, now)
					s.Remove(e, now)
					m.remove(e)
				}
			case 4:
				team := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "team"))
				if m.blocked[team] = !m.blocked[team]; m.blocked[team] {
					s.Block(team)
				} else {
					s.Unblock(team)
				}
			case 5:
				if len(started) > 0 {
					e := started[0]
					started = started[1:]
					s.RequestEnded(e.Team)
					m.running[e.Team]--
					if now.Before(e.Deadline) {
						s.Requeue(e, now)
						m.waiting = append([]*Entry{e}, m.waiting...)
					}
				}
			default:
				slots := rapid.IntRange(1, 40).Draw(t, "slots")
				p := Pool{Name: "p", Slots: slots, Free: rapid.IntRange(0, min(slots, 4)).Draw(t, "free"), HasUrgentQueue: rapid.Bool().Draw(t, "reserve")}
				e := s.Next(p)
				var startsSinceBatch int
				if c := s.pools["p"]; c != nil {
					startsSinceBatch = c.startsSinceBatch
				}
				m.check(t, e, p, startsSinceBatch)
				if e != nil {
					s.Start(e, now)
					m.remove(e)
					m.running[e.Team]++
					started = append(started, e)
				}
			}
			for _, e := range s.Expire(now) {
				assert.Assert(t, !now.Before(e.Deadline))
				m.remove(e)
			}
			for _, e := range m.waiting {
				assert.Assert(t, now.Before(e.Deadline), "an expired entry is still waiting")
				assert.Equal(t, s.Waiting(e.Queue), m.count(e.Queue))
			}
			assert.Equal(t, len(s.deadlines), len(m.waiting))
		}
	})
}

func admitRandom(t *rapid.T, s *Scheduler, m *schedulerModel, now time.Time) {
	team := rapid.IntRange(0, 2).Draw(t, "team")
	class := rapid.SampledFrom(allClasses).Draw(t, "class")
	request := Request{
		Queue: fmt.Sprintf("q%d-%s", team, class), Team: fmt.Sprintf("t%d", team), Pool: "p",
		Class: class, Share: float64(team + 1), MaxWaiting: 5,
		Deadline: now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "deadline")) * time.Millisecond),
	}
	full := m.count(request.Queue) >= request.MaxWaiting
	e, reason := s.Admit(request, nil, now)
	if e != nil {
		assert.Assert(t, !full, "the queue holds more than MaxWaiting requests")
		m.waiting = append(m.waiting, e)
		return
	}
	assert.Assert(t, full || !now.Before(request.Deadline) || reason == fault.ReasonWouldMissDeadline, "refused for %s", reason)
}

// TestUseIsNearSharesWhenFull guards against use that deviates from the shares
// when all slots are taken, and against a team that never starts.
func TestUseIsNearSharesWhenFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		shares, sum := make([]float64, teams), 0.0
		for i := range shares {
			shares[i] = float64(rapid.IntRange(1, 5).Draw(t, "share"))
			sum += shares[i]
		}
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		s, now := New(), start
		var running []*Entry
		totalRunning, lastStart := make([]float64, teams), make([]int, teams)
		const rounds = 3000
		for round := range rounds {
			now = now.Add(time.Millisecond)
			if len(running) == slots {
				i := random.IntN(slots)
				s.RequestEnded(running[i].Team)
				running[i] = running[slots-1]
				running = running[:slots-1]
			}
			for i := range teams {
				if name := fmt.Sprintf("t%d", i); s.Waiting(name) == 0 {
					s.Admit(Request{Queue: name, Team: name, Pool: "p", Share: shares[i], Deadline: now.Add(time.Hour)}, i, now)
				}
			}
			e := s.Next(Pool{Name: "p", Slots: slots, Free: slots - len(running)})
			s.Start(e, now)
			running = append(running, e)
			lastStart[e.Value.(int)] = round
			for i := range teams {
				totalRunning[i] += float64(s.Running(fmt.Sprintf("t%d", i)))
				assert.Assert(t, round-lastStart[i] <= 20*(slots+int(sum)), "team %d with share %v has not started for %d starts", i, shares[i], round-lastStart[i])
			}
		}
		for i := range teams {
			mean, fair := totalRunning[i]/rounds, float64(slots)*shares[i]/sum
			assert.Assert(t, mean > fair-1.5 && mean < fair+1.5, "team %d with share %v runs %v requests on average, its fair share is %v", i, shares[i], mean, fair)
		}
	})
}

// TestQueueIsBounded guards against a queue that grows past its bound.
func TestQueueIsBounded(t *testing.T) {
	s := New()
	for _, bound := range []int{0, 3} {
		request := Request{Queue: fmt.Sprintf("q%d", bound), Team: "t", Pool: "p", Share: 1, MaxWaiting: bound, Deadline: start.Add(time.Hour)}
		for range maxWaiting(request) {
			_, reason := s.Admit(request, nil, start)
			assert.Equal(t, reason, fault.Reason(""))
		}
		_, reason := s.Admit(request, nil, start)
		assert.Equal(t, reason, fault.ReasonQueueFull)
	}
}

// TestReserve guards against reserving no slot, or a whole pool.
func TestReserve(t *testing.T) {
	for slots, want := range map[int]int{0: 0, 1: 0, 2: 1, 8: 1, 20: 1, 21: 2, 96: 5} {
		assert.Equal(t, reservedSlots(Pool{Slots: slots, HasUrgentQueue: true}), want, "%d slots", slots)
		assert.Equal(t, reservedSlots(Pool{Slots: slots}), 0)
	}
}

// TestPeerUseCounts guards against ignoring the requests that peers run for a
// team.
func TestPeerUseCounts(t *testing.T) {
	s := New()
	for _, team := range []string{"a", "b"} {
		s.Admit(Request{Queue: team, Team: team, Pool: "p", Share: 1, Deadline: start.Add(time.Hour)}, nil, start)
	}
	s.SetPeerRunning(map[string]int{"a": 3})
	assert.Equal(t, s.Next(Pool{Name: "p", Slots: 8, Free: 1}).Team, "b")
}

// TestInteractiveDoesNotStarveBatch guards against batch work that is
// starved by interactive work.
func TestInteractiveDoesNotStarveBatch(t *testing.T) {
	s, now := New(), start
	admit := func(class fleet.QueueClass) {
		request := Request{Queue: string(class), Team: string(class), Pool: "p", Class: class, Share: 1, Deadline: now.Add(time.Hour)}
		_, reason := s.Admit(request, nil, now)
		assert.Equal(t, reason, fault.Reason(""))
	}
	batch := 0
	for range 10 * batchInterval {
		admit(fleet.ClassInteractive)
		if s.Waiting(string(fleet.ClassBatch)) == 0 {
			admit(fleet.ClassBatch)
		}
		e := s.Next(Pool{Name: "p", Slots: 8, Free: 1})
		if e.Class == fleet.ClassBatch {
			batch++
		}
		s.Start(e, now)
	}
	assert.Equal(t, batch, 10)
}

// TestEarlyRefusal guards against queueing a request that would miss its
// deadline because its flow starts too slowly.
func TestEarlyRefusal(t *testing.T) {
	s, now := New(), start
	request := Request{Queue: "q", Team: "t", Pool: "p", Share: 1, Deadline: now.Add(time.Hour)}
	for range 100 {
		s.Admit(request, nil, now)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Start(s.Next(Pool{Name: "p", Slots: 8, Free: 1}), now)
	}
	request.Deadline = now.Add(5 * time.Second)
	_, reason := s.Admit(request, nil, now)
	assert.Equal(t, reason, fault.ReasonWouldMissDeadline)
	request.Deadline = now.Add(15 * time.Second)
	_, reason = s.Admit(request, nil, now)
	assert.Equal(t, reason, fault.Reason(""))
}

// BenchmarkAdmitAndStart measures one admission and one start at 1, 10 and 100
// times the present 6 teams and 5 queues (pools), with 50 waiting in each flow.
func BenchmarkAdmitAndStart(b *testing.B) {
	for _, scale := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("scale=%d", scale), func(b *testing.B) {
			s, teams, pools := New(), 6*scale, 5*scale
			request := func(i int) Request {
				team := i % teams
				return Request{Queue: fmt.Sprintf("q%d", team), Team: fmt.Sprintf("t%d", team), Pool: fmt.Sprintf("p%d", team%pools),
					MaxWaiting: 1000, Share: 1, Deadline: start.Add(time.Hour + time.Duration(i)*time.Millisecond)}
			}
			requests := make([]Request, teams)
			for i := range 50 * teams {
				requests[i%teams] = request(i)
				s.Admit(requests[i%teams], nil, start)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 1) % teams
				s.Admit(requests[i], nil, start)
				e := s.Next(Pool{Name: requests[i].Pool, Slots: 80, Free: 8})
				s.Start(e, start)
				s.RequestEnded(e.Team)
			}
		})
	}
}

// BenchmarkNextInOnePool measures one choice among teams that all have requests
// waiting for the same pool.
func BenchmarkNextInOnePool(b *testing.B) {
	for _, teams := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := New()
			for i := range teams {
				name := fmt.Sprintf("t%d", i)
				s.Admit(Request{Queue: name, Team: name, Pool: "p", Share: 1, Deadline: start.Add(time.Hour)}, nil, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Next(Pool{Name: "p", Slots: 80, Free: 8})
			}
		})
	}
}
