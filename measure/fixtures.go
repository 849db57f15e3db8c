package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/fairqueue"
	"fuchsiafront.example/fuchsiafront/decision/placement"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fleet"
	fuchsiafrontv1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// Sizes of the current deployments; decisions are measured at 1, 10 and 100 times
// these.
const (
	currentHosts   = 100
	currentTeams   = 6
	currentServers = 10
	currentHolders = 8
	currentParts   = 72
)

var fixtureStart = time.Unix(1_000_000, 0).UTC()

func hostName(i int) string { return fmt.Sprintf("host-%05d", i) }

func newHostList(n int, kind fleet.HostKind, asOf time.Time) fleet.HostList {
	list := fleet.HostList{AsOf: asOf}
	for i := range n {
		list.Hosts = append(list.Hosts, fleet.Host{
			Name: hostName(i), Kind: kind, Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%13)),
			Rack: fmt.Sprintf("rack-%d", i/13/rackHosts), Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256),
			Phase: fleet.PhaseLive, Slots: slotsPerServer,
			Capacity: fleet.Resources{MilliCPU: 32000, MemoryBytes: 64 << 30, Accelerators: 2},
		})
	}
	return list
}

// admissionOperation returns an operation that starts, ends and admits one request
// on a host where requests of the given number of teams wait in one pool.
func admissionOperation(teams int) func() {
	scheduler, now := fairqueue.New(), fixtureStart
	newRequest := func(t int) fairqueue.Request {
		name := fmt.Sprintf("team-%04d", t)
		return fairqueue.Request{Queue: name, Team: name, Pool: "p", Class: fleet.ClassInteractive, Share: float64(1 + t%3), Deadline: now.Add(time.Hour)}
	}
	requests := make([]fairqueue.Request, teams)
	for t := range requests {
		requests[t] = newRequest(t)
		scheduler.Admit(requests[t], nil, now)
	}
	pool, t := fairqueue.Pool{Name: "p", Slots: 80, Free: 10}, 0
	return func() {
		now = now.Add(time.Millisecond)
		e := scheduler.Next(pool)
		scheduler.Start(e, now)
		scheduler.RequestEnded(e.Team)
		e2, reason := scheduler.Admit(fairqueue.Request{Queue: e.Queue, Team: e.Team, Pool: "p", Class: e.Class, Share: e.Share, Deadline: now.Add(time.Hour)}, nil, now)
		if e2 == nil {
			panic(reason)
		}
		t = (t + 1) % teams
	}
}

// routingOperation returns an operation that chooses one backend server from a pool.
func routingOperation(servers int) func() {
	table, now := route.New("zone-0", rand.New(rand.NewPCG(1, 1))), fixtureStart
	var list []route.Server
	for _, h := range newHostList(servers, fleet.KindBackendServer, now).Hosts {
		list = append(list, route.Server{Name: h.Name, Address: h.Address, Zone: h.Zone, Pool: "p", Slots: h.Slots})
	}
	table.SetServers(list)
	return func() {
		now = now.Add(time.Millisecond)
		table.Capacity("p", now)
		name, _ := table.Choose("p", "", now)
		table.AttemptStarted(name)
		table.AttemptEnded(name, route.Succeeded, route.LoadReport{SlotsFree: 5}, now)
	}
}

// placementOperation returns an operation that makes one decision over workers with
// one running job each, and a tenth as many waiting jobs.
func placementOperation(workers int) func() {
	in := placement.Input{Teams: make(map[string]placement.Team)}
	size := fleet.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30}
	newJob := func(i int) placement.Job {
		team := fmt.Sprintf("team-%d", i%currentTeams)
		in.Teams[team] = placement.Team{Share: 1}
		return placement.Job{ID: fmt.Sprintf("job-%d", i), Team: team, Queue: team, Class: fleet.ClassBatch, Size: size, Idempotent: true}
	}
	for i, h := range newHostList(workers, fleet.KindWorker, fixtureStart).Hosts {
		in.Workers = append(in.Workers, placement.Worker{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Capacity: h.Capacity, Slots: h.Slots})
		in.Running = append(in.Running, placement.Running{Job: newJob(i), Worker: h.Name})
	}
	for i := range max(1, workers/10) {
		in.Waiting = append(in.Waiting, newJob(workers+i))
	}
	return func() { placement.Decide(in) }
}

// wavePlanningOperation returns an operation that plans one round over hosts in
// pools of 75 with one wave: the draft, the grants and the outcome.
func wavePlanningOperation(hosts int) func() {
	const poolHosts = 75
	doc := &document.Document{Sections: make(map[string]document.Section)}
	assigned := make(budget.Assignments, hosts)
	list := newHostList(hosts, fleet.KindWorker, fixtureStart)
	for i, h := range list.Hosts {
		pool := fmt.Sprintf("pool-%03d", i/poolHosts)
		if i%poolHosts == 0 {
			doc.Sections[pool] = document.Section{Name: pool, Pools: []document.Pool{{Name: pool, Kind: fleet.KindWorker, MaxUnavailable: 8, MaxRacksOut: 8}}}
		}
		assigned[h.Name] = pool
	}
	ledger := &budget.Ledger{Waves: map[string]budget.Wave{"w": {ID: "w", Pool: "pool-000", Pending: wave.HostOrder(list.Hosts[:min(hosts, poolHosts)]), MaxFailed: 8}}}
	basis := budget.Snapshot{Document: doc, Assignments: assigned, Ledger: ledger, Hosts: &list, Now: fixtureStart}
	parallelism := wave.ParallelismParams{Weights: wave.Weights{RollOut: 1, Buffer: 1}, InitialMeanOut: time.Minute, ReferenceRollOut: time.Minute, SlowFactor: 2}
	return func() {
		d := budget.NewDraft(basis)
		d.RecordFailures(nil)
		wave.Next(d, "w", 10, parallelism)
		d.Outcome()
	}
}

func newRightsRow(holders int) rights.Row {
	row := rights.Row{Limit: rights.Limit{Rights: 10 * holders, Revision: 1}}
	for i := range holders {
		row, _ = row.Take(rights.Holder{Host: fmt.Sprintf("entry-%04d", i), Incarnation: 1_700_000_000_000}, 8)
	}
	return row
}

// rightsBalanceOperation returns an operation that balances a team's row once.
func rightsBalanceOperation(holders int) func() {
	self := rights.Holder{Host: "entry-0000", Incarnation: 1_700_000_000_000}
	row, now := newRightsRow(holders), fixtureStart
	ledger, version := rights.NewLedger(self, now), uint64(0)
	var peers []rights.Holder
	for i, h := range row.Holdings {
		if h.Holder != self {
			row.Holdings[i].Wanted = 6
			peers = append(peers, h.Holder)
		}
	}
	return func() {
		now = now.Add(10 * time.Millisecond)
		version++
		ledger.SetWaiting(now, "t", 4)
		p := ledger.Prepare(now, rights.BalanceInput{Team: "t", Version: version, Row: row, ReadStart: now, Limit: row.Limit, Hosts: holders, Peers: peers})
		if p.Cause != rights.CauseNone {
			ledger.RecordOutcome(p, rights.Refused, 0, now)
		}
	}
}

// newRevisionState returns a state with the given number of parts.
func newRevisionState(parts int) *revision.State {
	s := &revision.State{Revision: 1, Parts: make(map[string]revision.Part, parts)}
	for i := range parts {
		name := fmt.Sprintf("section/%05d", i)
		s.Parts[name] = revision.Part{Name: name, Revision: 1, Data: make([]byte, 1024)}
	}
	return s
}

// revisionOperation returns an operation that proposes and applies a change of one
// part.
func revisionOperation(parts int) func() {
	s := newRevisionState(parts)
	const name = "section/00000"
	return func() {
		p := revision.Propose(s.Head(), s.Parts, revision.Change{ID: "c", Updates: []revision.Update{{Part: name, IfRevision: 1}}})
		s.Advance(p.Head, map[string]revision.Part{name: p.Parts[0]})
	}
}

// newSection returns a section as a team of operators declares it: one pool, two
// teams with two keys each and three queues.
func newSection(i int) document.Section {
	name := fmt.Sprintf("section-%04d", i)
	s := document.Section{Name: name, Pools: []document.Pool{{Name: name + "-pool", Kind: fleet.KindWorker, Adopt: []string{name + "-*"}, MaxUnavailable: 4, MaxRacksOut: 2}}}
	hash := strings.Repeat("0f", 32)
	for t := range 2 {
		team := document.Team{Name: fmt.Sprintf("%s-team-%d", name, t), Share: 1, Limit: 100}
		for k := range 2 {
			team.Keys = append(team.Keys, document.Key{ID: fmt.Sprintf("key-%d", k), Salt: hash[:32], Hash: hash})
		}
		s.Teams = append(s.Teams, team)
	}
	for q := range 3 {
		s.Queues = append(s.Queues, document.Queue{Name: fmt.Sprintf("%s-queue-%d", name, q), Team: s.Teams[0].Name, Pool: s.Pools[0].Name, Class: fleet.ClassInteractive})
	}
	return s
}

// replicaWithHosts returns what an entry host keeps in memory for n hosts: the
// assignment parts, encoded and decoded, and two host lists (the one in use and
// its replacement).
func replicaWithHosts(n int) any {
	assigned := make(budget.Assignments, n)
	buckets := make([]budget.Assignments, budget.Buckets)
	for i := range n {
		name := hostName(i)
		pool := fmt.Sprintf("pool-%03d", i/75)
		assigned[name] = pool
		b := budget.Bucket(name)
		if buckets[b] == nil {
			buckets[b] = make(budget.Assignments)
		}
		buckets[b][name] = pool
	}
	state := &revision.State{Revision: 1, Parts: make(map[string]revision.Part)}
	for b, content := range buckets {
		data, err := json.Marshal(content)
		if err != nil {
			panic(err)
		}
		name := fmt.Sprintf("hosts/%02d", b)
		state.Parts[name] = revision.Part{Name: name, Revision: 1, Data: data}
	}
	return []any{state, assigned, newHostList(n, fleet.KindWorker, fixtureStart), newHostList(n, fleet.KindWorker, fixtureStart)}
}

// replicaWithSections returns what an entry host keeps in memory for n sections.
func replicaWithSections(n int) any {
	doc := &document.Document{Sections: make(map[string]document.Section)}
	state := &revision.State{Revision: 1, Parts: make(map[string]revision.Part)}
	for i := range n {
		s := newSection(i)
		data, err := json.Marshal(s)
		if err != nil {
			panic(err)
		}
		doc.Sections[s.Name] = s
		state.Parts["section/"+s.Name] = revision.Part{Name: "section/" + s.Name, Revision: 1, Data: data}
	}
	return []any{doc, state}
}

// ledgerWithTeams returns an entry host's rights ledger with n teams.
func ledgerWithTeams(n int) any {
	l := rights.NewLedger(rights.Holder{Host: "entry-0000", Incarnation: 1}, fixtureStart)
	row := newRightsRow(currentHolders)
	for i := range n {
		l.Observe(fmt.Sprintf("team-%04d", i), 1, row, fixtureStart)
	}
	return l
}

// newDigest returns the digest of an entry host that knows the given number of
// members, with the loads of the given number of teams.
func newDigest(members, teams int) *fuchsiafrontv1.Digest {
	newMember := func(i int) *fuchsiafrontv1.Member {
		return &fuchsiafrontv1.Member{Name: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%13), Incarnation: 1_700_000_000_000_000_000, PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)}
	}
	d := &fuchsiafrontv1.Digest{Member: newMember(0), Revision: 1_000_000, PlatformRevision: 1_000_000, PlatformAgeMs: 700}
	for i := range members {
		d.Members = append(d.Members, newMember(i))
		d.Statements = append(d.Statements, &fuchsiafrontv1.Statement{Member: fmt.Sprintf("entry-%04d", i), Incarnation: 1_700_000_000_000_000_000, Revision: 1_000_000, AgeMs: 900})
	}
	for i := range teams {
		d.Loads = append(d.Loads, &fuchsiafrontv1.TeamLoad{Team: fmt.Sprintf("team-%04d", i), Running: 20, Waiting: 5, UnmetRights: 3})
	}
	return d
}
