package budget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

var start = time.Unix(1_000_000, 0)

// testSnapshot returns a snapshot with six workers w0 to w5 in pool "a", two in
// each of three zones, and an empty pool "spare".
func testSnapshot() Snapshot {
	s := Snapshot{
		Document: &document.Document{Sections: map[string]document.Section{"pools": {Pools: []document.Pool{
			{Name: "a", Kind: fleet.KindWorker, Adopt: []string{"w*"}, MaxUnavailable: 2, MaxUnavailablePerZone: 1, MaxRacksOut: 2},
			{Name: "late", Kind: fleet.KindWorker, Adopt: []string{"w1*"}},
			{Name: "spare", Kind: fleet.KindWorker, Spare: true},
			{Name: "servers", Kind: fleet.KindBackendServer, Adopt: []string{"*"}},
		}}}},
		Assignments: Assignments{}, Ledger: &Ledger{Entries: map[string]LedgerEntry{}},
		Hosts: &fleet.HostList{AsOf: start}, Now: start,
	}
	for i := range 6 {
		name := fmt.Sprint("w", i)
		s.Assignments[name] = "a"
		s.Hosts.Hosts = append(s.Hosts.Hosts, fleet.Host{Name: name, Kind: fleet.KindWorker,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)), Rack: fmt.Sprint("r", i), Phase: fleet.PhaseLive})
	}
	return s
}

// TestGrantCountsEveryUnavailableHost guards against a grant that overlooks a
// failed, leaving or missing host, or that refuses without naming the bound.
func TestGrantCountsEveryUnavailableHost(t *testing.T) {
	phase := func(i int, p fleet.HostPhase) func(*Snapshot) {
		return func(s *Snapshot) { s.Hosts.Hosts[i].Phase = p }
	}
	missing := func(s *Snapshot) { s.Hosts.Hosts = s.Hosts.Hosts[:5] }
	cases := []struct {
		name    string
		change  []func(*Snapshot)
		reason  fault.Reason
		message string
	}{
		{"all live", nil, "", ""},
		{"other zone failed", []func(*Snapshot){phase(1, fleet.PhaseFailed)}, "", ""},
		{"same zone failed", []func(*Snapshot){phase(3, fleet.PhaseFailed)}, fault.ReasonAvailabilityBudget,
			`host "w0": maxUnavailablePerZone of pool "a", availability zone "z0" is 1, but the count would become 2`},
		{"same zone leaving", []func(*Snapshot){phase(3, fleet.PhaseLeaving)}, fault.ReasonAvailabilityBudget, ""},
		{"missing host of unknown zone", []func(*Snapshot){missing}, fault.ReasonAvailabilityBudget, ""},
		{"two failed elsewhere", []func(*Snapshot){phase(1, fleet.PhaseFailed), phase(2, fleet.PhaseFailed)}, fault.ReasonAvailabilityBudget,
			`host "w0": maxUnavailable of pool "a" is 2, but the count would become 3`},
		{"leaving by itself", []func(*Snapshot){phase(0, fleet.PhaseLeaving)}, "", ""},
		{"unassigned failed host of the zone", []func(*Snapshot){phase(3, fleet.PhaseFailed), func(s *Snapshot) { delete(s.Assignments, "w3") }}, fault.ReasonAvailabilityBudget, ""},
		{"list too old", []func(*Snapshot){func(s *Snapshot) { s.Now = start.Add(MaxHostListAge + 1) }}, fault.ReasonStaleHostList, ""},
		{"list never read", []func(*Snapshot){func(s *Snapshot) { s.Hosts.AsOf = time.Time{} }}, fault.ReasonStaleHostList, ""},
		{"already out", []func(*Snapshot){func(s *Snapshot) { s.Ledger.Entries["w0"] = LedgerEntry{Host: "w0", Pool: "a"} }}, fault.ReasonHostAlreadyOut, ""},
		{"unassigned", []func(*Snapshot){func(s *Snapshot) { delete(s.Assignments, "w0") }}, fault.ReasonUnassignedHost, ""},
		{"no such pool", []func(*Snapshot){func(s *Snapshot) { s.Assignments["w0"] = "gone" }}, fault.ReasonUnknownPool, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshot()
			for _, change := range c.change {
				change(&s)
			}
			_, refusal := NewDraft(s).Grant(Request{Host: "w0", Cause: CauseReboot})
			if c.reason == "" {
				assert.Assert(t, refusal == nil, "refused: %v", refusal)
				return
			}
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Reason, c.reason)
			if c.message != "" {
				assert.Equal(t, refusal.Error(), c.message)
			}
		})
	}
}

// TestMoveEndsWithAssignment guards against a moved host whose entry ends
// without assigning the new pool, and against one that ends before the host is
// live.
func TestMoveEndsWithAssignment(t *testing.T) {
	s := testSnapshot()
	d := NewDraft(s)
	_, refusal := d.Grant(Request{Host: "w0", Cause: CauseMove, MoveTo: "servers"})
	assert.Equal(t, refusal.Reason, fault.ReasonWrongHostKind)
	_, refusal = d.Grant(Request{Host: "w0", Cause: CauseMove, MoveTo: "spare"})
	assert.Assert(t, refusal == nil)
	d.Finish("w0")
	assert.Equal(t, len(d.Outcome().Assigned), 0)
	d.Advance("w0")
	d.Advance("w0")
	s.Hosts.Hosts[0].Phase = fleet.PhaseLeaving
	d.Finish("w0")
	assert.Equal(t, len(d.Outcome().Assigned), 0)
	s.Hosts.Hosts[0].Phase = fleet.PhaseLive
	d.Finish("w0")
	_, out := d.LedgerEntry("w0")
	assert.Assert(t, !out)
	assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w0": "spare"})
}

// TestInitialPool guards against an adoption order that differs between
// planners, and against assigning a host of the wrong kind or one that is not
// live.
func TestInitialPool(t *testing.T) {
	s := testSnapshot()
	add := func(name string, kind fleet.HostKind, phase fleet.HostPhase) {
		s.Hosts.Hosts = append(s.Hosts.Hosts, fleet.Host{Name: name, Kind: kind, Phase: phase})
	}
	add("w10", fleet.KindWorker, fleet.PhaseLive)
	add("x1", fleet.KindWorker, fleet.PhaseLive)
	add("w11", fleet.KindBackendServer, fleet.PhaseLive)
	add("w12", fleet.KindWorker, fleet.PhaseFailed)
	add("t1", "unheard", fleet.PhaseLive)
	d := NewDraft(s)
	assert.DeepEqual(t, d.AssignNewHosts(), []string{"t1"})
	assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w10": "a", "x1": "spare", "w11": "servers"})
	assert.Equal(t, Bucket("w10"), 17, "the hash changed, but stored assignments depend on it")
}

// TestFailuresEnterAndLeaveTheLedger guards against a failure that other
// planners do not see, a recovered host that stays out of service, and a wave
// that does not count a host that fails after its maintenance.
func TestFailuresEnterAndLeaveTheLedger(t *testing.T) {
	s := testSnapshot()
	s.Ledger.Waves = map[string]Wave{"v": {ID: "v", Pool: "a", Pending: []string{"w5"}, Done: []string{"w1"}, MaxFailed: 1}}
	s.Hosts.Hosts[1].Phase = fleet.PhaseFailed
	s.Hosts.Hosts = s.Hosts.Hosts[:5]
	d := NewDraft(s)
	d.RecordFailures(map[string]fleet.Host{"w5": {Zone: "z2", Rack: "r5"}})
	w1, _ := d.LedgerEntry("w1")
	w5, _ := d.LedgerEntry("w5")
	assert.Equal(t, w1.Cause, CauseFailed)
	assert.Equal(t, w5.Zone, fleet.AvailabilityZone("z2"))
	assert.Equal(t, d.UnavailableCount("a"), 2)
	wave, _ := d.Wave("v")
	assert.DeepEqual(t, wave.Failed, []string{"w1"})
	assert.Equal(t, len(wave.Done), 0)
	s.Ledger = d.Outcome().Ledger
	s.Hosts.Hosts[1].Phase = fleet.PhaseLive
	d = NewDraft(s)
	d.RecordFailures(nil)
	_, out := d.LedgerEntry("w1")
	assert.Assert(t, !out)
	assert.Equal(t, d.UnavailableCount("a"), 1)
	_, refusal := d.Return("w5")
	assert.Assert(t, refusal == nil)
	assert.Equal(t, d.UnavailableCount("a"), 0, "a retired host still counts against the budget")
	assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w5": NoPool})
}

// TestWaveRecords guards against two concurrent waves in one pool, and against
// a stopped wave that takes more hosts.
func TestWaveRecords(t *testing.T) {
	d := NewDraft(testSnapshot())
	assert.Equal(t, d.StartWave(Wave{ID: "x", Pool: "none"}).Reason, fault.ReasonUnknownPool)
	assert.Assert(t, d.StartWave(Wave{ID: "x", Pool: "a", Pending: []string{"w0"}}) == nil)
	assert.Equal(t, d.StartWave(Wave{ID: "y", Pool: "a"}).Reason, fault.ReasonPoolHasWave)
	assert.Equal(t, d.StopWave("y", "").Reason, fault.ReasonUnknownWave)
	assert.Assert(t, d.StopWave("x", "by an operator") == nil)
	w, _ := d.Wave("x")
	assert.Assert(t, w.Ended() && len(w.Pending) == 0 && w.StopReason == "by an operator")
}

// TestNextStep guards against a step taken before the platform confirmed it,
// or on a host list that does not reflect it yet.
func TestNextStep(t *testing.T) {
	times := StepTimes{MinDrain: 10 * time.Second, MinReturn: 5 * time.Second, Timeout: time.Minute}
	cases := []struct {
		name  string
		cause Cause
		step  Step
		seen  Observation
		want  Action
	}{
		{"drain not called", CauseReboot, StepDraining, Observation{fleet.PhaseLeaving, 20 * time.Second, false}, ActionWait},
		{"drain not listed", CauseReboot, StepDraining, Observation{fleet.PhaseLive, 20 * time.Second, true}, ActionWait},
		{"work may go on", CauseReboot, StepDraining, Observation{fleet.PhaseLeaving, 9 * time.Second, true}, ActionWait},
		{"drained", CauseReboot, StepDraining, Observation{fleet.PhaseLeaving, 10 * time.Second, true}, ActionAdvance},
		{"drain never accepted", CauseReboot, StepDraining, Observation{fleet.PhaseLive, 2 * time.Minute, false}, ActionFail},
		{"reboot not called", CauseReboot, StepMaintenance, Observation{fleet.PhaseLeaving, time.Second, false}, ActionWait},
		{"rebooted", CauseReboot, StepMaintenance, Observation{fleet.PhaseLeaving, time.Second, true}, ActionAdvance},
		{"reboot never accepted", CauseReboot, StepMaintenance, Observation{fleet.PhaseLeaving, 2 * time.Minute, false}, ActionFail},
		{"drained by an operator", CauseDrain, StepMaintenance, Observation{fleet.PhaseLeaving, time.Hour, true}, ActionWait},
		{"move", CauseMove, StepMaintenance, Observation{fleet.PhaseLeaving, 0, false}, ActionAdvance},
		{"back, list may lag", CauseMove, StepReturning, Observation{fleet.PhaseLive, 4 * time.Second, true}, ActionWait},
		{"back", CauseMove, StepReturning, Observation{fleet.PhaseLive, 5 * time.Second, true}, ActionFinish},
		{"not back", CauseReboot, StepReturning, Observation{"", 2 * time.Minute, true}, ActionFail},
		{"failed", CauseFailed, StepMaintenance, Observation{fleet.PhaseLeaving, time.Hour, false}, ActionWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, why := NextAction(LedgerEntry{Cause: c.cause, Step: c.step}, c.seen, times)
			assert.Equal(t, got, c.want, why)
		})
	}
}

// BenchmarkGrant measures the creation of a draft and one grant on it, by
// number of hosts.
func BenchmarkGrant(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) { benchmarkGrant(b, hosts) })
	}
}

func benchmarkGrant(b *testing.B, hosts int) {
	s := testSnapshot()
	s.Document.Sections["pools"].Pools[0].MaxUnavailable = hosts
	s.Document.Sections["pools"].Pools[0].MaxUnavailablePerZone = hosts
	s.Document.Sections["pools"].Pools[0].MaxRacksOut = hosts
	for i := len(s.Hosts.Hosts); i < hosts; i++ {
		name := fmt.Sprintf("w%d", i)
		s.Assignments[name] = "a"
		s.Hosts.Hosts = append(s.Hosts.Hosts, fleet.Host{Name: name, Kind: fleet.KindWorker,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%13)), Rack: fmt.Sprint("r", i/4), Phase: fleet.PhaseLive})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := NewDraft(s).Grant(Request{Host: "w0", Cause: CauseReboot}); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
