package rendezvous_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/rendezvous"
)

// Guards against work that no member, or more than one, performs although all
// know the same members.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.String(), 1, 10, rapid.ID).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		owners := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return !rendezvous.Owns(m, key, members) })
		if len(owners) != 1 {
			t.Fatalf("key %q has owners %q among %q, want exactly one", key, owners, members)
		}
	})
}
