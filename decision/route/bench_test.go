package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The simulation has hosts entry hosts that share the slots of a zone's
// servers, as in docs/design.md section 1.2: work of 20 to 200 ms, one-way
// latency 0.5 ms.
const (
	simHosts    = 3
	simServers  = 4
	simSlots    = 8
	simArrivals = 20000
	simLatency  = 500 * time.Microsecond
)

type event struct {
	at   time.Time
	call func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simulation struct {
	now             time.Time
	queue           events
	random          *rand.Rand
	tables          []*Table
	runningByServer []int
	attempts        int
	refused         int
	waited          time.Duration
	leastInFlight   bool
}

func (s *simulation) after(d time.Duration, call func()) {
	heap.Push(&s.queue, event{s.now.Add(d), call})
}

func (s *simulation) choose(host int) (string, bool) {
	if !s.leastInFlight {
		return s.tables[host].Choose("p", "", s.now)
	}
	// The comparison: least own requests in flight, ties at random.
	best, least := "", simSlots
	for _, i := range s.random.Perm(simServers) {
		name := fmt.Sprintf("s%d", i)
		if n := s.tables[host].InFlight(name); n < least {
			best, least = name, n
		}
	}
	return best, best != ""
}

func (s *simulation) arrive(host int, work time.Duration) {
	name, ok := s.choose(host)
	if !ok {
		s.waited += 2 * time.Millisecond
		s.after(2*time.Millisecond, func() { s.arrive(host, work) })
		return
	}
	s.attempts++
	s.tables[host].AttemptStarted(name)
	var index int
	fmt.Sscanf(name, "s%d", &index)
	s.after(simLatency, func() { s.reach(host, index, name, work) })
}

func (s *simulation) reach(host, index int, name string, work time.Duration) {
	if s.runningByServer[index] >= simSlots {
		s.refused++
		s.waited += 2 * simLatency
		s.after(simLatency, func() {
			s.tables[host].AttemptEnded(name, Refused, LoadReport{SlotsFree: 0}, s.now)
			s.arrive(host, work)
		})
		return
	}
	s.runningByServer[index]++
	s.after(work, func() {
		s.runningByServer[index]--
		free := simSlots - s.runningByServer[index]
		s.after(simLatency, func() { s.tables[host].AttemptEnded(name, Succeeded, LoadReport{SlotsFree: free}, s.now) })
	})
}

// run returns the percentage of attempts that were refused, and the mean wait
// for a slot, at an offered load given
// as a part of all slots.
func (s *simulation) run(load float64) (refused, waitMs float64) {
	const meanWork = 110 * time.Millisecond
	gap := float64(meanWork) / (load * simServers * simSlots)
	at := time.Duration(0)
	for range simArrivals {
		at += time.Duration(s.random.ExpFloat64() * gap)
		host, work := s.random.IntN(simHosts), 20*time.Millisecond+time.Duration(s.random.IntN(180))*time.Millisecond
		s.after(at, func() { s.arrive(host, work) })
	}
	for s.queue.Len() > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.call()
	}
	return 100 * float64(s.refused) / float64(s.attempts), float64(s.waited.Milliseconds()) / simArrivals
}

func simulate(plain bool, load float64) (refused, waitMs float64) {
	s := &simulation{now: start, random: rand.New(rand.NewPCG(7, 7)), runningByServer: make([]int, simServers), leastInFlight: plain}
	for i := range simHosts {
		table := New("klang", rand.New(rand.NewPCG(uint64(i), 3)))
		table.SetServers(testServers(simServers))
		s.tables = append(s.tables, table)
	}
	return s.run(load)
}

// BenchmarkRefusedForSlots reports the part of attempts that the servers
// refuse for lack of slots, beside a plain least-in-flight choice.
func BenchmarkRefusedForSlots(b *testing.B) {
	for _, load := range []float64{0.5, 0.7, 0.9} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			for range b.N {
				refused, wait := simulate(false, load)
				b.ReportMetric(refused, "%refused")
				b.ReportMetric(wait, "ms-wait")
				refused, wait = simulate(true, load)
				b.ReportMetric(refused, "%refused-plain")
				b.ReportMetric(wait, "ms-wait-plain")
			}
		})
	}
}

// BenchmarkChoose measures one choice at 1, 10 and 100 times today's 50
// backend servers in 5 pools.
func BenchmarkChoose(b *testing.B) {
	for _, scale := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("scale=%d", scale), func(b *testing.B) {
			table := newTable()
			servers := testServers(50 * scale)
			for i := range servers {
				servers[i].Pool = fmt.Sprintf("p%d", i%5)
			}
			table.SetServers(servers)
			b.ReportAllocs()
			for b.Loop() {
				name, _ := table.Choose("p1", "", start)
				table.AttemptStarted(name)
				table.AttemptEnded(name, Succeeded, LoadReport{SlotsFree: 4}, start)
			}
		})
	}
}

// BenchmarkCapacity measures the estimate for a pool of 10, 100 and 1,000
// servers.
func BenchmarkCapacity(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			table := newTable()
			table.SetServers(testServers(servers))
			b.ReportAllocs()
			for b.Loop() {
				table.Capacity("p", start)
			}
		})
	}
}
