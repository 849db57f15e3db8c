package placewait

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The replay: racks of slots, and tasks that name one of them, each a job of its own.
// Durations and the errors of their estimates are log-normal, as at the deployments.
const (
	replayRacks       = 6
	replaySlots       = 8
	replayTasks       = 6_000
	replayMedian      = time.Second
	durationDeviation = 0.5
	estimateDeviation = 0.9
	// hotPart is the part of the tasks that want the first rack beyond its even part.
	hotPart = 0.15
)

// replayTask is a task of the replay. started and until are set once it runs or waits.
type replayTask struct {
	arrives, duration, estimate time.Duration
	rack                        int
	waits                       bool
	until                       time.Duration
}

// replayRun is a run: when it began and ends, and what was expected of it.
type replayRun struct {
	began, ends, expected time.Duration
}

// policy returns how long a task waits that can start away now; zero for not at all. ahead
// tasks wait for the same rack, and the ends are those of the runs there.
type policy func(expected, left time.Duration, factor float64, ahead int, ends []End) time.Duration

// learned returns the estimate that the mean of the queue leads to, and its deviation.
func learned(estimate time.Duration) time.Duration {
	weight := durationDeviation * durationDeviation / (durationDeviation*durationDeviation + estimateDeviation*estimateDeviation)
	return time.Duration(float64(replayMedian) * math.Pow(float64(estimate)/float64(replayMedian), weight))
}

var learnedDeviation = durationDeviation * estimateDeviation / math.Hypot(durationDeviation, estimateDeviation)

func neverWait(time.Duration, time.Duration, float64, int, []End) time.Duration { return 0 }

func waitFixed(time.Duration, time.Duration, float64, int, []End) time.Duration {
	return 500 * time.Millisecond
}

// waitForMedian waits for the median of the end that makes room, if that is worthwhile.
func waitForMedian(expected, _ time.Duration, factor float64, ahead int, ends []End) time.Duration {
	left := make([]time.Duration, 0, len(ends))
	for _, e := range ends {
		left = append(left, max(e.Median-e.Age, 0))
	}
	slices.Sort(left)
	if ahead >= len(left) || float64(left[ahead]) > (factor-1)*float64(expected) {
		return 0
	}
	return max(left[ahead], time.Millisecond)
}

func decided(expected, left time.Duration, factor float64, ahead int, ends []End) time.Duration {
	r := Request{
		Remaining: expected, LogDeviation: learnedDeviation, Factor: factor, Openings: 1, Ahead: ahead,
		Deadlines: []time.Duration{left, left + 2*allowed(expected)},
	}
	return Decide(&r, NewSupply(ends)).Until
}

// allowed is the objective of a job of one step.
func allowed(duration time.Duration) time.Duration {
	return duration*16/10 + 600*time.Millisecond
}

func replayLoad(load float64) []replayTask {
	random := rand.New(rand.NewPCG(20261204, 1))
	meanDuration := float64(replayMedian) * math.Exp(durationDeviation*durationDeviation/2)
	interval := meanDuration / (load * replayRacks * replaySlots)
	tasks := make([]replayTask, replayTasks)
	now := 0.0
	for i := range tasks {
		now += random.ExpFloat64() * interval
		t := &tasks[i]
		t.arrives = time.Duration(now)
		t.duration = time.Duration(float64(replayMedian) * math.Exp(durationDeviation*random.NormFloat64()))
		t.estimate = time.Duration(float64(t.duration) * math.Exp(estimateDeviation*random.NormFloat64()))
		if random.Float64() >= hotPart {
			t.rack = random.IntN(replayRacks)
		}
	}
	return tasks
}

// replayState is the state of a replay.
type replayState struct {
	now     time.Duration
	factor  float64
	policy  policy
	runs    [replayRacks][]replayRun
	waiting []*replayTask
	result  replayResult
}

type replayResult struct {
	total        time.Duration
	near, onTime int
}

func (r replayResult) String() string {
	return fmt.Sprintf("mean job time %v, near %.3f, within the objective %.3f",
		(r.total / replayTasks).Round(time.Millisecond), float64(r.near)/replayTasks, float64(r.onTime)/replayTasks)
}

func replay(tasks []replayTask, factor float64, p policy) replayResult {
	s := &replayState{factor: factor, policy: p}
	next := 0
	for next < len(tasks) || len(s.waiting) > 0 {
		s.now = s.nextEvent(tasks, next)
		for i := range s.runs {
			s.runs[i] = slices.DeleteFunc(s.runs[i], func(r replayRun) bool { return r.ends <= s.now })
		}
		for ; next < len(tasks) && tasks[next].arrives <= s.now; next++ {
			t := tasks[next]
			s.waiting = append(s.waiting, &t)
		}
		s.place()
	}
	return s.result
}

func (s *replayState) nextEvent(tasks []replayTask, next int) time.Duration {
	at := time.Duration(math.MaxInt64)
	if next < len(tasks) {
		at = tasks[next].arrives
	}
	for _, runs := range s.runs {
		for _, r := range runs {
			at = min(at, r.ends)
		}
	}
	for _, t := range s.waiting {
		if t.waits && t.until > s.now {
			at = min(at, t.until)
		}
	}
	return at
}

// place starts the waiting tasks in their order: near if there is room, else away unless
// they wait.
func (s *replayState) place() {
	var ahead [replayRacks]int
	s.waiting = slices.DeleteFunc(s.waiting, func(t *replayTask) bool {
		if len(s.runs[t.rack]) < replaySlots {
			s.start(t, t.rack)
			return true
		}
		if t.waits && s.now < t.until {
			ahead[t.rack]++
			return false
		}
		rack := s.emptiestRack()
		if len(s.runs[rack]) >= replaySlots {
			return false
		}
		if !t.waits {
			t.waits, t.until = true, s.now+s.decide(t, ahead[t.rack])
		}
		if s.now < t.until {
			ahead[t.rack]++
			return false
		}
		s.start(t, rack)
		return true
	})
}

func (s *replayState) emptiestRack() int {
	racks := []int{0, 1, 2, 3, 4, 5}
	return slices.MinFunc(racks, func(a, b int) int { return cmp.Compare(len(s.runs[a]), len(s.runs[b])) })
}

func (s *replayState) decide(t *replayTask, ahead int) time.Duration {
	var ends []End
	for _, r := range s.runs[t.rack] {
		ends = append(ends, End{Median: r.expected, LogDeviation: learnedDeviation, Age: s.now - r.began})
	}
	expected := learned(t.estimate)
	return s.policy(expected, t.arrives+allowed(expected)-s.now, s.factor, ahead, ends)
}

func (s *replayState) start(t *replayTask, rack int) {
	factor := 1.0
	if rack != t.rack {
		factor = s.factor
	} else {
		s.result.near++
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	ends := s.now + scaled(t.duration)
	s.runs[rack] = append(s.runs[rack], replayRun{s.now, ends, scaled(learned(t.estimate))})
	s.result.total += ends - t.arrives
	if ends-t.arrives <= allowed(t.duration) {
		s.result.onTime++
	}
}

// Guards against a decision that is worse than one of the alternatives that were weighed,
// under loads of a half and three quarters of the slots of which one rack gets more than
// its part, with estimates that are wrong by a factor whose logarithm deviates by 0.9.
func TestDecisionAgainstAlternatives(t *testing.T) {
	ways := []struct {
		name   string
		policy policy
	}{
		{"never", neverWait}, {"fixed 0.5 s", waitFixed}, {"median of ends", waitForMedian}, {"decision", decided},
	}
	for _, load := range []float64{0.5, 0.75} {
		tasks := replayLoad(load)
		for _, factor := range []float64{1.5, 3} {
			results := make([]replayResult, len(ways))
			for i, way := range ways {
				results[i] = replay(tasks, factor, way.policy)
				t.Logf("load %.2f factor %.1f %-14s %v", load, factor, way.name, results[i])
			}
			best := slices.MinFunc(results, func(a, b replayResult) int { return cmp.Compare(a.total, b.total) })
			decision := results[len(results)-1]
			assert.Assert(t, decision.total <= best.total+best.total/50)
			assert.Assert(t, decision.onTime >= results[0].onTime)
		}
	}
}
