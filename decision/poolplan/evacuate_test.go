package poolplan

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// registerInZones lists executors in zones, by identifier.
func (sim *simulation) registerInZones(zones map[string]string) {
	sim.register(slices.Sorted(maps.Keys(zones))...)
	for id, zone := range zones {
		sim.plan.executors[id].Zone = zone
		sim.plan.executors[id].entry.Zone = zone
	}
}

func evacuate(zones ...string) map[string]bool {
	set := make(map[string]bool)
	for _, z := range zones {
		set[z] = true
	}
	return set
}

// acceptStarts accepts all open starts and returns how many went to each executor.
func (sim *simulation) acceptStarts() map[string]int {
	counts := make(map[string]int)
	for len(sim.starts) > 0 {
		s := sim.takeStart()
		counts[s.Executor]++
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	}
	return counts
}

// Guards against starts in an evacuated zone, with two zones, one of which is taken back and
// evacuated again, and against executors there that count as capacity.
func TestNothingStartsInEvacuatedZones(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a", "2": "b", "3": "c"})
	for i, test := range []struct {
		evacuated []string
		want      []string
		capacity  int64
	}{
		{[]string{"a"}, []string{"2", "3"}, 16000},
		{[]string{"a", "b"}, []string{"3"}, 8000},
		{[]string{"b"}, []string{"1", "3"}, 16000},
		{[]string{"a", "b", "c"}, nil, 0},
		{[]string{"b", "c"}, []string{"1"}, 8000},
	} {
		sim.plan.SetEvacuated(evacuate(test.evacuated...))
		job := string(rune('a' + i))
		sim.addJob(job, false, step(30))
		sim.step()
		counts := sim.acceptStarts()
		assert.DeepEqual(t, slices.Sorted(maps.Keys(counts)), test.want)
		_, _, capacity := sim.plan.Load()
		assert.Equal(t, capacity, test.capacity)
		sim.plan.CancelJob(sim.now, job)
		for _, e := range sim.plan.executors {
			for _, r := range sortedRuns(e) {
				sim.plan.removeRun(r)
			}
		}
		sim.step()
		sim.starts = nil
	}
}

// Guards against a start that is sent again in a zone that has been evacuated since. The
// run is stopped, and its task starts elsewhere once no late start can begin it.
func TestUnansweredStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a"})
	sim.addJob("a", false, step(1))
	sim.step()
	start := sim.takeStart()
	sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
	sim.plan.SetEvacuated(evacuate("a"))
	sim.registerInZones(map[string]string{"1": "a", "2": "b"})
	begin := sim.now
	for ; len(sim.starts) == 0; sim.advance(50 * time.Millisecond) {
		assert.Assert(t, sim.now.Sub(begin) < maxLateness+2*time.Second, "the task does not start elsewhere")
		for _, s := range sim.stops {
			sim.plan.StopDone(sim.now, s, sim.outcome(Accepted))
		}
		if len(sim.stops) > 0 {
			assert.Equal(t, sim.stops[0].Task, start.Task)
		}
		for range len(sim.leaseRenewals) {
			sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil)
		}
	}
	assert.Equal(t, sim.takeStart().Executor, "2")
	assert.Assert(t, sim.now.Sub(begin) > maxLateness, "the late start could begin a second run")
	assert.Assert(t, len(sim.stops) > 0, "a late start could begin the run")
}

// Guards against members of a gang that wait for their time-out, because the start of one
// was withheld when its zone was evacuated.
func TestGangDoesNotStartInPart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a", "2": "b"})
	gang := step(2)
	gang.Gang, gang.MaxPerExecutor = true, 1
	sim.addJob("a", false, gang)
	sim.step()
	members := []Start{sim.takeStart(), sim.takeStart()}
	sim.plan.SetEvacuated(evacuate("a"))
	for _, s := range members {
		answer := Accepted
		if s.Executor == "1" {
			answer = Withheld
		}
		sim.plan.StartDone(sim.now, s, sim.outcome(answer))
	}
	sim.step()
	assert.Equal(t, len(sim.starts), 0)
	assert.Equal(t, len(sim.stops), 1)
	assert.Equal(t, sim.stops[0].Executor, "2")
}

// Guards against a new owner that stops the leases of what runs in an evacuated zone or
// starts the rest of a job there.
func TestNewOwnerKeepsRunsInEvacuatedZone(t *testing.T) {
	sim := newSimulation(t, 2)
	inherited := executorInfo("1")
	inherited.Zone = "a"
	sim.plan.Inherit(sim.now, inherited)
	sim.plan.SetEvacuated(evacuate("a"))
	sim.addJob("a", true, step(2))
	sim.registerInZones(map[string]string{"1": "a"})
	sim.step()
	run := RunReport{Task: taskID("a"), Attempt: 1, Percent: 40}
	renewed := false
	for range 40 {
		sim.advance(50 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			renewed = renewed || renewal.LeaseUntilMs > 0
			sim.answerLeaseRenewal(renewal, []RunReport{run})
		}
	}
	assert.Assert(t, renewed, "the lease of the run ends")
	assert.Equal(t, len(sim.starts)+len(sim.stops), 0)
	assert.DeepEqual(t, sim.plan.EvacuatedUses(), []ZoneUse{{Zone: "a", Tasks: 1}})
}

// Guards against service tasks that are stopped in an evacuated zone although there is no
// capacity elsewhere, or more at a time than the step permits, or that never leave.
func TestServiceTasksLeaveEvacuatedZone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a", "2": "a"})
	service := step(2)
	service.Service, service.MaxUnavailable, service.MaxPerExecutor = true, 1, 1
	sim.addJob("a", false, service)
	sim.step()
	running := make(map[string]RunReport)
	ends := make(map[string]int64)
	unavailable := 0
	serve := func(d time.Duration) {
		for range int(d / (100 * time.Millisecond)) {
			sim.advance(100 * time.Millisecond)
			for len(sim.starts) > 0 {
				s := sim.takeStart()
				sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
				running[s.Executor] = RunReport{Task: s.Task, Attempt: s.Attempt, Percent: 100, Measurement: 1}
			}
			ended := make(map[string]EndReport)
			for _, s := range sim.stops {
				sim.plan.StopDone(sim.now, s, sim.outcome(Accepted))
				delete(running, s.Executor)
				ends[s.Executor]++
				ended[s.Executor] = EndReport{Number: ends[s.Executor], Task: s.Task, Attempt: s.Attempt, Ending: EndedStopped}
			}
			sim.stops = nil
			unavailable = max(unavailable, 2-len(running))
			for range len(sim.leaseRenewals) {
				renewal := sim.takeLeaseRenewal()
				report := Report{Outcome: sim.outcome(Accepted), StartedMs: 1000}
				if r, ok := running[renewal.Executor]; ok {
					report.Running = []RunReport{r}
				}
				if end, ok := ended[renewal.Executor]; ok {
					report.Ended = []EndReport{end}
				}
				sim.plan.RenewLeaseDone(sim.now, renewal, report)
			}
		}
	}
	serve(3 * time.Second)
	sim.plan.SetEvacuated(evacuate("a"))
	serve(3 * time.Second)
	assert.Equal(t, unavailable, 0, "stopped without capacity elsewhere")
	assert.Equal(t, sim.plan.EvacuatedUses()[0].WithoutRoom, 2)
	sim.registerInZones(map[string]string{"1": "a", "2": "a", "3": "b", "4": "b"})
	serve(12 * time.Second)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(running)), []string{"3", "4"})
	assert.Equal(t, unavailable, 1)
	assert.Equal(t, sim.plan.EvacuatedUses()[0].Tasks, 0)
}

// Guards against a start that asks a later incarnation whether a run has ended there, or a
// trial, in an evacuated zone.
func TestNothingIsVerifiedOrTriedInEvacuatedZone(t *testing.T) {
	for _, test := range []struct{ evacuated, unanswered bool }{{false, false}, {true, false}, {true, true}} {
		evacuated := test.evacuated
		sim := newSimulation(t, 1)
		sim.registerInZones(map[string]string{"1": "a"})
		sim.addJob("a", false, step(1))
		sim.step()
		start := sim.takeStart()
		e := sim.plan.executors["1"]
		e.runs[runKey{start.Task, start.Attempt}].undecided = true
		if test.unanswered {
			e.runs[runKey{start.Task, start.Attempt}].verifiedSince = sim.now
		}
		e.StaleAck, e.trials.endsUnseen = true, true
		if evacuated {
			sim.plan.SetEvacuated(evacuate("a"))
		}
		sim.addJob("b", false, step(1))
		sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: start.Target}, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000})
		sim.step()
		assert.Equal(t, len(sim.starts) > 0, !evacuated)
		// Starts to earlier incarnations are refused by their token. A stop would have the
		// incarnation refuse the run as if it had ended.
		assert.Equal(t, len(sim.stops) > 0, test.unanswered, "a late verification could begin the run")
		if test.evacuated && !test.unanswered {
			sim.plan.SetEvacuated(nil)
			sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: start.Target}, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000})
			sim.step()
			assert.Equal(t, sim.takeStart().Task, start.Task, "verified once the zone is taken back")
		}
	}
}
