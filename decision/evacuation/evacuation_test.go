package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func request(zone string, version int64) Request { return Request{Zone: zone, Version: version} }

// Guards against a zone that stays evacuated, or is used again too early, because answers
// to hedged calls arrive out of order or the store has lost the removal from its history.
func TestOlderAnswersChangeNothing(t *testing.T) {
	removed := Request{Zone: "a", Version: 7, TakenBack: true}
	for _, test := range []struct {
		name string
		set  Set
		want bool
	}{
		{"request", Set{}.WithChanges([]Request{request("a", 5)}), true},
		{"taken back", Set{}.WithChanges([]Request{request("a", 5), removed}), false},
		{"request arrives after its removal", Set{}.WithChanges([]Request{removed}).WithChanges([]Request{request("a", 5)}), false},
		{"same zone again", Set{}.WithChanges([]Request{removed, request("a", 9)}), true},
		{"removal lost", Set{}.WithChanges([]Request{request("a", 5)}).WithComplete(8, nil), false},
		{"request arrives after a complete read", Set{}.WithComplete(8, nil).WithChanges([]Request{request("a", 5)}), false},
		{"complete read older than the request", Set{}.WithChanges([]Request{request("a", 5)}).WithComplete(4, nil), true},
		{"late complete read names it", Set{}.WithChanges([]Request{removed}).WithComplete(6, []Request{request("a", 5)}), false},
		{"other zone", Set{}.WithChanges([]Request{request("a", 5), {Zone: "b", Version: 6, TakenBack: true}}), true},
	} {
		assert.Equal(t, test.set.Has("a"), test.want, test.name)
	}
}

// Guards against a set that depends on the order in which answers arrive. Each answer
// shows the state as it was at some version.
func TestOrderOfAnswersDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := make([]Request, rapid.IntRange(1, 12).Draw(t, "changes"))
		want := make(map[string]bool)
		for i := range history {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			history[i] = Request{Zone: zone, Version: int64(i + 1), TakenBack: want[zone]}
			want[zone] = !want[zone]
		}
		answers := []func(Set) Set{}
		for i, change := range history {
			answers = append(answers, func(s Set) Set { return s.WithChanges(history[i:]) }, func(s Set) Set { return s.WithChanges([]Request{change}) })
			present := make(map[string]Request)
			for _, r := range history[:i+1] {
				if present[r.Zone] = r; r.TakenBack {
					delete(present, r.Zone)
				}
			}
			var rows []Request
			for _, r := range present {
				rows = append(rows, r)
			}
			answers = append(answers, func(s Set) Set { return s.WithComplete(int64(i+1), rows) })
		}
		set := Set{}
		for _, answer := range rapid.Permutation(answers).Draw(t, "answers") {
			set = answer(set)
		}
		for zone, evacuated := range want {
			assert.Equal(t, set.Has(zone), evacuated, zone)
		}
	})
}
