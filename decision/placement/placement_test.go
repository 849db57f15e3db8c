package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/placement"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

func cores(n int64) fleet.Resources {
	return fleet.Resources{MilliCPU: n * 1000, MemoryBytes: n << 30}
}

func newWorkers(n int, capacity int64) []placement.Worker {
	workers := make([]placement.Worker, n)
	for i := range workers {
		workers[i] = placement.Worker{
			Name:     fmt.Sprintf("w%04d", i),
			Zone:     fleet.AvailabilityZone(fmt.Sprint("z", i%3)),
			Rack:     fmt.Sprint("r", i/4),
			Capacity: cores(capacity),
		}
	}
	return workers
}

func waitingJob(id, team string, class fleet.QueueClass, size int64) placement.Job {
	return placement.Job{ID: id, Team: team, Queue: "q-" + team, Class: class, Size: cores(size), Idempotent: true}
}

func runningJob(j placement.Job, worker string) placement.Running {
	return placement.Running{Job: j, Worker: worker}
}

func startIDs(d placement.Decision) []string {
	ids := []string{}
	for _, s := range d.Starts {
		ids = append(ids, s.Job)
	}
	return ids
}

// Guards against a wrong order of teams and classes, use of capacity that is
// reserved for other work, and jobs that wait forever or start on the wrong
// worker.
func TestDecide(t *testing.T) {
	two := map[string]placement.Team{"a": {Share: 1}, "b": {Share: 1}}
	batch := waitingJob("b0", "b", fleet.ClassBatch, 8)
	fixed := batch
	fixed.Idempotent = false
	avoiding := waitingJob("j", "a", fleet.ClassBatch, 1)
	avoiding.Avoid = []string{"w0000"}
	closed := newWorkers(2, 32)
	closed[1].ClosedReason = fault.ReasonLeaving
	for _, c := range []struct {
		name   string
		in     placement.Input
		starts []string
		check  func(*testing.T, placement.Decision)
	}{
		{"least served team first", placement.Input{
			Workers: newWorkers(1, 32), Teams: two,
			Running: []placement.Running{runningJob(waitingJob("r", "a", fleet.ClassBatch, 20), "w0000")},
			Waiting: []placement.Job{waitingJob("a1", "a", fleet.ClassBatch, 8), waitingJob("b1", "b", fleet.ClassBatch, 8)},
		}, []string{"b1"}, nil},
		{"urgent goes first and uses the reserve", placement.Input{
			Workers: newWorkers(1, 32), Teams: two,
			Waiting: []placement.Job{waitingJob("b1", "b", fleet.ClassBatch, 14), waitingJob("b2", "b", fleet.ClassBatch, 14), waitingJob("u", "a", fleet.ClassUrgent, 4)},
		}, []string{"u", "b1", "b2"}, nil},
		{"batch leaves the reserve", placement.Input{
			Workers: newWorkers(1, 32), Teams: two,
			Waiting: []placement.Job{waitingJob("b1", "b", fleet.ClassBatch, 29)},
		}, []string{}, nil},
		{"batch leaves room while interactive waits", placement.Input{
			Workers: newWorkers(1, 32), Teams: two,
			Running: []placement.Running{runningJob(batch, "w0000")},
			Waiting: []placement.Job{waitingJob("b1", "b", fleet.ClassBatch, 4), waitingJob("i", "a", fleet.ClassInteractive, 24)},
		}, []string{}, nil},
		{"blocked team", placement.Input{
			Workers: newWorkers(1, 32), Teams: map[string]placement.Team{"a": {Share: 1, Blocked: true}},
			Waiting: []placement.Job{waitingJob("a1", "a", fleet.ClassBatch, 1)},
		}, []string{}, nil},
		{"can never run", placement.Input{
			Workers: newWorkers(2, 32), Teams: two,
			Waiting: []placement.Job{waitingJob("big", "a", fleet.ClassBatch, 33)},
		}, []string{}, func(t *testing.T, d placement.Decision) {
			assert.DeepEqual(t, d.Infeasible, []placement.Refusal{{Job: "big", Reason: fault.ReasonCannotRun}})
		}},
		{"closed worker and failed worker are left out", placement.Input{
			Workers: append(closed, newWorkers(3, 32)[2]), Teams: two, Waiting: []placement.Job{avoiding},
		}, []string{"j"}, func(t *testing.T, d placement.Decision) { assert.Equal(t, d.Starts[0].Worker, "w0002") }},
		{"only failed workers exist", placement.Input{
			Workers: newWorkers(1, 32), Teams: two, Waiting: []placement.Job{avoiding},
		}, []string{"j"}, nil},
		{"idempotent batch yields by checkpoint", placement.Input{
			Workers: newWorkers(1, 8), Teams: two, Running: []placement.Running{runningJob(batch, "w0000")},
			Waiting: []placement.Job{waitingJob("u", "a", fleet.ClassUrgent, 4)},
		}, []string{}, func(t *testing.T, d placement.Decision) {
			assert.DeepEqual(t, d.Preemptions, []placement.Preemption{{Job: "b0", Worker: "w0000", Kind: placement.PreemptByCheckpoint, For: "u"}})
		}},
		{"batch that must not start twice is not stopped", placement.Input{
			Workers: newWorkers(1, 8), Teams: two, Running: []placement.Running{runningJob(fixed, "w0000")},
			Waiting: []placement.Job{{ID: "u", Team: "a", Class: fleet.ClassUrgent, Size: fleet.Resources{MilliCPU: 4000}}},
		}, []string{}, func(t *testing.T, d placement.Decision) {
			assert.DeepEqual(t, d.Preemptions, []placement.Preemption{{Job: "b0", Worker: "w0000", Kind: placement.PreemptByThrottle, For: "u"}})
		}},
		{"throttled batch is restored", placement.Input{
			Workers: newWorkers(1, 32), Teams: two,
			Running: []placement.Running{{Job: fixed, Worker: "w0000", ThrottlePercent: placement.ThrottledPercent}},
		}, []string{}, func(t *testing.T, d placement.Decision) {
			assert.DeepEqual(t, d.Preemptions, []placement.Preemption{{Job: "b0", Worker: "w0000", Kind: placement.EndThrottle}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := placement.Decide(c.in)
			assert.DeepEqual(t, startIDs(d), c.starts)
			if c.check != nil {
				c.check(t, d)
			}
		})
	}
}

// Guards against all jobs of a queue on one rack or in one zone.
func TestSpread(t *testing.T) {
	in := placement.Input{Workers: newWorkers(12, 32), Teams: map[string]placement.Team{"a": {Share: 1}}}
	for i := range 6 {
		in.Waiting = append(in.Waiting, waitingJob(fmt.Sprint(i), "a", fleet.ClassInteractive, 2))
	}
	zones := map[string]int{}
	for _, s := range placement.Decide(in).Starts {
		var n int
		fmt.Sscanf(s.Worker, "w%d", &n)
		zones[fmt.Sprint(n%3)]++
	}
	assert.DeepEqual(t, zones, map[string]int{"0": 2, "1": 2, "2": 2})
}

// Guards against an unhealthy worker that keeps getting work, and against one
// job that fails everywhere and makes workers count as unhealthy.
func TestHealth(t *testing.T) {
	h := placement.NewHealth()
	for range 2 * placement.UnhealthyAfter {
		assert.Assert(t, !h.Record("w", "same", true))
	}
	for i := range placement.UnhealthyAfter - 2 {
		assert.Assert(t, !h.Record("w", fmt.Sprint(i), true))
	}
	assert.Assert(t, h.Record("w", "last", true))
	assert.Assert(t, h.Unhealthy("w"))
	h.Record("w", "good", false)
	assert.Assert(t, !h.Unhealthy("w"))
}

// Guards against trust in declared sizes that are far too small, and against
// an estimated size that fits on no worker.
func TestLearnedSize(t *testing.T) {
	s := placement.NewSizeEstimator()
	assert.Equal(t, s.Size("q", cores(1), cores(32)), cores(1))
	for i := range 300 {
		outlier := int64(i % 64 / 63)
		s.Observe("q", cores(19+10*outlier))
	}
	assert.Equal(t, s.Size("q", cores(1), cores(32)), cores(19))
	assert.Equal(t, s.Size("q", cores(30), cores(32)), cores(30))
	assert.Equal(t, s.Size("q", cores(1), cores(16)), cores(16))
}

var anyClass = rapid.SampledFrom([]fleet.QueueClass{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch})

// Guards against placements beyond a worker's free capacity or on closed
// workers, and against use of the reserve by work that is not urgent.
func TestPlacementsStayWithinRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := newWorkers(rapid.IntRange(1, 8).Draw(t, "workers"), 16)
		for i := range workers {
			workers[i].Capacity = cores(rapid.Int64Range(1, 32).Draw(t, "capacity"))
			if rapid.IntRange(0, 4).Draw(t, "closed") == 0 {
				workers[i].ClosedReason = fault.ReasonLeaving
			}
		}
		in := placement.Input{Workers: workers, Teams: map[string]placement.Team{"a": {Share: 1}, "b": {Share: 2}}}
		jobs := map[string]placement.Job{}
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			j := waitingJob(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), anyClass.Draw(t, "class"), 1)
			j.Size.MilliCPU = rapid.Int64Range(0, 20000).Draw(t, "cpu")
			j.Size.MemoryBytes = rapid.Int64Range(0, 20<<30).Draw(t, "memory")
			jobs[j.ID] = j
			in.Waiting = append(in.Waiting, j)
		}
		free := map[string]fleet.Resources{}
		var total, common fleet.Resources
		for _, w := range workers {
			free[w.Name] = w.Capacity
			total = total.Add(w.Capacity)
			if w.ClosedReason != "" {
				free[w.Name] = fleet.Resources{}
			}
		}
		for _, s := range placement.Decide(in).Starts {
			free[s.Worker] = free[s.Worker].Sub(jobs[s.Job].Size)
			if f := free[s.Worker]; f.MilliCPU < 0 || f.MemoryBytes < 0 {
				t.Fatalf("worker %s has %+v left after job %s", s.Worker, f, s.Job)
			}
			if jobs[s.Job].Class != fleet.ClassUrgent {
				common = common.Add(jobs[s.Job].Size)
			}
		}
		open := fleet.Resources{}
		for _, w := range workers {
			if w.ClosedReason == "" {
				open = open.Add(w.Capacity)
			}
		}
		if reserve := min(total.MilliCPU/20, open.MilliCPU); common.MilliCPU > open.MilliCPU-reserve+int64(urgentCPU(in)) {
			t.Fatalf("work that is not urgent takes %d of %d", common.MilliCPU, open.MilliCPU)
		}
	})
}

// urgentCPU returns the processors of all urgent jobs, an upper bound of what
// they take from the reserve.
func urgentCPU(in placement.Input) (sum int64) {
	for _, j := range in.Waiting {
		if j.Class == fleet.ClassUrgent {
			sum += j.Size.MilliCPU
		}
	}
	return sum
}

// Guards against a team that gets much more or less than its share of a full
// pool, in particular one with large jobs whose gaps smaller jobs fill.
func TestTeamsGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		in := placement.Input{Workers: newWorkers(8, 32), Teams: map[string]placement.Team{}}
		size := map[string]int64{}
		shares := 0.0
		for _, n := range names {
			share := float64(rapid.IntRange(1, 4).Draw(t, "share"))
			in.Teams[n] = placement.Team{Share: share}
			// Sizes divide the workers' capacity evenly: a remainder that fits
			// only one team's jobs would rightly go to that team.
			size[n] = rapid.SampledFrom([]int64{1, 2, 4}).Draw(t, "size")
			shares += share
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "completions"), 0))
		byID := map[string]placement.Job{}
		add := func(team string) {
			j := waitingJob(fmt.Sprint(len(byID)), team, fleet.ClassBatch, size[team])
			byID[j.ID] = j
			in.Waiting = append(in.Waiting, j)
		}
		for _, n := range names {
			for range 30 {
				add(n)
			}
		}
		for rest := 200; rest > 0; {
			starts := placement.Decide(in).Starts
			for _, s := range starts {
				j := byID[s.Job]
				in.Running = append(in.Running, runningJob(j, s.Worker))
				in.Waiting = slices.DeleteFunc(in.Waiting, func(w placement.Job) bool { return w.ID == j.ID })
				add(j.Team)
			}
			if len(starts) == 0 {
				ended := random.IntN(len(in.Running))
				in.Running = slices.Delete(in.Running, ended, ended+1)
				rest--
			}
		}
		use, all := map[string]int64{}, int64(0)
		for _, r := range in.Running {
			use[r.Team] += r.Size.MilliCPU
			all += r.Size.MilliCPU
		}
		for _, n := range names {
			// An eighth of a worker can be held for a job that waits for more
			// capacity, while other teams' jobs start elsewhere.
			const tolerance = 0.1
			got, want := float64(use[n])/float64(all), in.Teams[n].Share/shares
			if math.Abs(got-want) > tolerance {
				t.Fatalf("team %s (jobs of %d) has %.3f of the pool, its share is %.3f; use %v", n, size[n], got, want, use)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := benchmarkInput(n)
			b.ReportAllocs()
			for b.Loop() {
				placement.Decide(in)
			}
		})
	}
}

// benchmarkInput returns a pool of n workers that is three quarters full, with
// 110 teams and n/20 waiting jobs, but at least 20.
func benchmarkInput(n int) placement.Input {
	in := placement.Input{Workers: newWorkers(n, 32), Teams: map[string]placement.Team{}}
	for i := range 110 {
		in.Teams[fmt.Sprint("t", i)] = placement.Team{Share: float64(i%7 + 1)}
	}
	for i := range n * 6 {
		j := waitingJob(fmt.Sprint("r", i), fmt.Sprint("t", i%110), fleet.ClassBatch, 4)
		in.Running = append(in.Running, runningJob(j, in.Workers[i%n].Name))
	}
	for i := range max(n/20, 20) {
		class := []fleet.QueueClass{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBatch}[i%3]
		in.Waiting = append(in.Waiting, waitingJob(fmt.Sprint("j", i), fmt.Sprint("t", i%110), class, int64(i%6+1)))
	}
	return in
}
