package statesync

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// The design size.
const (
	designSections = 65
	designTeams    = 110
	designHosts    = 4900
	designHostsOut = 60
)

func designState(b *testing.B) *revision.State {
	s := &revision.State{Revision: 1, Parts: map[string]revision.Part{}}
	put := func(name string, data []byte, err error) {
		assert.NilError(b, err)
		s.Parts[name] = revision.Part{Name: name, Revision: 1, Data: data, Changes: []revision.AppliedChange{{ChangeID: "first", Revision: 1}}}
	}
	for i := range designSections {
		data, err := yamldoc.Encode(designSection(i))
		put(fmt.Sprintf("%s%s", services.PartSectionPrefix, designSection(i).Name), data, err)
	}
	for bucket := range services.HostBuckets {
		assigned := budget.Assignments{}
		for h := bucket; h < designHosts; h += services.HostBuckets {
			assigned[fmt.Sprintf("zone-%02d-rack-%03d-host-%04d", h%13, h/4, h)] = fmt.Sprintf("pool-%02d", h%designSections)
		}
		data, err := json.Marshal(assigned)
		put(fmt.Sprintf("%s%02d", services.PartHostsPrefix, bucket), data, err)
	}
	ledger := budget.Ledger{Entries: map[string]budget.LedgerEntry{}}
	for i := range designHostsOut {
		name := fmt.Sprintf("zone-%02d-rack-%03d-host-%04d", i%13, i/4, i)
		ledger.Entries[name] = budget.LedgerEntry{Host: name, Pool: "pool-01", Zone: "zone-01", Rack: "rack-1", Cause: budget.CauseReboot, Step: budget.StepDraining, Since: time.Unix(0, 0)}
	}
	data, err := json.Marshal(ledger)
	put(services.PartLedger, data, err)
	return s
}

// designSection has a pool, one or two teams with two keys each, and a queue
// of each class for each team.
func designSection(i int) document.Section {
	s := document.Section{Name: fmt.Sprintf("section-%02d", i)}
	s.Pools = []document.Pool{{Name: fmt.Sprintf("pool-%02d", i), Kind: "worker", MaxUnavailable: 4, MaxUnavailablePerZone: 2}}
	for t := i; t < designTeams; t += designSections {
		team := document.Team{Name: fmt.Sprintf("team-%03d", t), Share: 1, Limit: 200}
		for k := range 2 {
			team.Keys = append(team.Keys, document.Key{ID: fmt.Sprintf("k%d", k), Salt: fmt.Sprintf("%032x", t), Hash: fmt.Sprintf("%064x", t)})
		}
		s.Teams = append(s.Teams, team)
		for _, class := range []string{"urgent", "interactive", "batch"} {
			s.Queues = append(s.Queues, document.Queue{Name: team.Name + "-" + class, Team: team.Name, Pool: s.Pools[0].Name, Class: "batch"})
		}
	}
	return s
}

func stateBytes(s *revision.State) (n int) {
	for _, p := range s.Parts {
		n += len(p.Data)
	}
	return n
}

// BenchmarkDecodeState decodes a whole state, as after a start.
func BenchmarkDecodeState(b *testing.B) {
	s := designState(b)
	b.ReportAllocs()
	b.ReportMetric(float64(stateBytes(s)), "state-bytes")
	for b.Loop() {
		_, err := decodeView(nil, s)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(stateBytes(s)), "state-bytes")
}

// BenchmarkApplyChange advances a whole state by one changed section.
func BenchmarkApplyChange(b *testing.B) {
	s := designState(b)
	before, err := decodeView(nil, s)
	assert.NilError(b, err)
	name := services.PartSectionPrefix + "section-07"
	part := s.Parts[name]
	part.Revision = 2
	head := s.Head()
	head.Revision, head.Parts[name] = 2, 2
	b.ReportAllocs()
	for b.Loop() {
		next, ok := s.Advance(head, map[string]revision.Part{name: part})
		assert.Assert(b, ok)
		_, err := decodeView(before, next)
		assert.NilError(b, err)
	}
}
