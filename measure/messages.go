package measure

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"fuchsiafront.example/fuchsiafront/fleet"
	fuchsiafrontv1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// messageSlopes measures encoded sizes of rows and messages.
func messageSlopes() []Slope {
	return []Slope{
		slope("rights row", "B encoded", "holders", designMembers, []int{8, 26, 104}, rightsRowBytes),
		slope("digest with 110 teams", "B encoded", "members", designMembers, []int{8, 26, 104}, func(n int) float64 { return digestBytes(n, designTeams) }),
		slope("digest with 104 members", "B encoded", "teams", designTeams, []int{6, 55, 110}, func(n int) float64 { return digestBytes(designMembers, n) }),
		slope("digest of one zone, 8 members and 13 zone summaries", "B encoded", "changed teams", zoneChangedTeams, []int{5, 20, 110}, zoneDigestBytes),
		slope("assignments in the state", "B encoded", "hosts", designHosts, []int{500, 1500, 4900}, assignmentBytes),
		slope("state head row", "B encoded", "parts", designParts, []int{72, 175, 720}, stateHeadBytes),
		slope("host list message", "B encoded", "hosts", designHosts, []int{500, 1500, 4900}, hostListBytes),
		slope("digest with 110 teams, encode and decode", "ns", "members", designMembers, []int{8, 26, 104}, operationTime(digestOperation)),
		slope("host list message, decode", "ns", "hosts", designHosts, []int{500, 1500, 4900}, operationTime(hostListOperation)),
		slope("task renewal and its answer", "B encoded", "tasks", designTasks, []int{4, 8, 32}, renewalBytes),
	}
}

const (
	// zoneChangedTeams is the number of teams whose load changes between two
	// digests of a zone.
	zoneChangedTeams = 20
	// designTasks run on one worker.
	designTasks = 8
	// designZones are the availability zones.
	designZones = 13
)

func rightsRowBytes(holders int) float64 { return jsonBytes(newRightsRow(holders)) }

func stateHeadBytes(parts int) float64 { return jsonBytes(newRevisionState(parts).Head()) }

func jsonBytes(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

func assignmentBytes(hosts int) float64 {
	assigned := make(map[string]string, hosts)
	for i := range hosts {
		assigned[hostName(i)] = fmt.Sprintf("pool-%03d", i/75)
	}
	return jsonBytes(assigned)
}

func digestBytes(members, teams int) float64 {
	return float64(proto.Size(newDigest(members, teams)))
}

// zoneDigestBytes is the size of a digest that knows its zone's eight members
// by number, one summary for each zone, and only the teams whose load changed.
func zoneDigestBytes(teams int) float64 {
	d := &fuchsiafrontv1.Digest{Revision: 1_000_000, PlatformRevision: 1_000_000, PlatformAgeMs: 700}
	for i := range currentHolders + designZones {
		d.Statements = append(d.Statements, &fuchsiafrontv1.Statement{Member: fmt.Sprintf("%02d", i), Revision: 1_000_000, AgeMs: 900})
	}
	for i := range teams {
		d.Loads = append(d.Loads, &fuchsiafrontv1.TeamLoad{Team: fmt.Sprintf("%02d", i), Running: 20, Waiting: 5, UnmetRights: 3})
	}
	return float64(proto.Size(d))
}

// digestOperation returns one encoding and decoding of a digest.
func digestOperation(members int) func() {
	d := newDigest(members, designTeams)
	return func() { decode(encode(d), &fuchsiafrontv1.Digest{}) }
}

// hostListOperation returns one decoding of a host list.
func hostListOperation(hosts int) func() {
	data := encode(hostListMessage(hosts))
	return func() { decode(data, &fuchsiafrontv1.ListHostsResponse{}) }
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(data []byte, into proto.Message) {
	if err := proto.Unmarshal(data, into); err != nil {
		panic(err)
	}
}

func hostListBytes(hosts int) float64 { return float64(proto.Size(hostListMessage(hosts))) }

func hostListMessage(hosts int) *fuchsiafrontv1.ListHostsResponse {
	m := &fuchsiafrontv1.ListHostsResponse{}
	for _, h := range newHostList(hosts, fleet.KindWorker, fixtureStart).Hosts {
		m.Hosts = append(m.Hosts, &fuchsiafrontv1.Host{
			Name: h.Name, Kind: string(h.Kind), Zone: string(h.Zone), Rack: h.Rack, Address: h.Address,
			Phase: string(h.Phase), Slots: int32(h.Slots), Capacity: resourcesMessage(h.Capacity),
		})
	}
	return m
}

func resourcesMessage(r fleet.Resources) *fuchsiafrontv1.Resources {
	return &fuchsiafrontv1.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func renewalBytes(tasks int) float64 {
	request := &fuchsiafrontv1.RenewTasksRequest{LeaseMs: 30_000}
	answer := &fuchsiafrontv1.RenewTasksResponse{}
	for i := range tasks {
		token := fmt.Sprintf("queue-0001/job-%08d/1", i)
		request.Tokens = append(request.Tokens, token)
		answer.Tasks = append(answer.Tasks, &fuchsiafrontv1.Task{
			Token: token, State: fuchsiafrontv1.TaskState_TASK_STATE_RUNNING,
			Used: resourcesMessage(fleet.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30}),
		})
	}
	return float64(proto.Size(request) + proto.Size(answer))
}
