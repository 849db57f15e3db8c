package admission

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
)

func testDocument() (*document.Document, string) {
	key := keyring.PresentedKey{Holder: "sales", ID: "k1", Secret: "secret"}
	return &document.Document{Sections: map[string]document.Section{"s": {
		Teams:  []document.Team{{Name: "sales", Keys: []document.Key{key.StoredForm("aa")}}, {Name: "ops"}},
		Queues: []document.Queue{{Name: "keyed", Team: "sales"}, {Name: "open", Team: "sales", Open: true}, {Name: "ops", Team: "ops"}},
	}}}, key.Format()
}

// Guards against work for a team without its key, keyed work under stale keys,
// and against telling of a team's work to others (G3).
func TestToQueue(t *testing.T) {
	doc, key := testDocument()
	cases := []struct {
		queue, key string
		age        time.Duration
		refused    fault.Reason
		identified bool
	}{
		{"keyed", key, 0, "", true},
		{"keyed", key, 4 * time.Second, fault.ReasonKeysNotCurrent, true},
		{"keyed", "", 0, fault.ReasonNoKey, false},
		{"keyed", "", 4 * time.Second, fault.ReasonKeysNotCurrent, false},
		{"keyed", key + "x", 0, fault.ReasonWrongKey, false},
		{"keyed", key + "x", 4 * time.Second, fault.ReasonKeysNotCurrent, false},
		{"ops", key, 0, fault.ReasonWrongTeam, false},
		{"open", "", 4 * time.Second, "", true},
		{"open", key, 4 * time.Second, fault.ReasonKeysNotCurrent, true},
		{"none", key, 0, fault.ReasonUnknownQueue, false},
	}
	for _, c := range cases {
		d := ToQueue(doc, c.queue, KeyCheck{c.key, c.age, 3 * time.Second})
		assert.Equal(t, d.Refused, c.refused, "%+v", c)
		assert.Equal(t, d.Identified, c.identified, "%+v", c)
	}
	assert.Equal(t, ToQueue(nil, "keyed", KeyCheck{}).Refused, fault.ReasonNoState)
}

// Guards against asking for a team's work without its key.
func TestToTeam(t *testing.T) {
	doc, key := testDocument()
	assert.Equal(t, ToTeam(doc, KeyCheck{Presented: key}).Team.Name, "sales")
	assert.Equal(t, ToTeam(doc, KeyCheck{Presented: key}).Refused, fault.Reason(""))
	for _, wrong := range []string{"", "x", key + "x", strings.Replace(key, "sales", "ops", 1), strings.Replace(key, "sales", "none", 1)} {
		d := ToTeam(doc, KeyCheck{Presented: wrong})
		assert.Assert(t, d.Refused != "" && !d.Identified, "%q", wrong)
	}
}

// Guards against identifiers that leave their segment of a path or row key.
func TestIsValidCallerID(t *testing.T) {
	for _, id := range []string{"a", "order:17", "2026-12-04T11.00~x_@+=,", strings.Repeat("x", 128)} {
		assert.Assert(t, IsValidCallerID(id), "%q", id)
	}
	for _, id := range []string{"", ".", "..", "a/b", "a b", "a\x00", "ä", "a%2f", strings.Repeat("x", 129)} {
		assert.Assert(t, !IsValidCallerID(id), "%q", id)
	}
}

// Guards against a "not run" that is not known to be true (G6).
func TestNotRun(t *testing.T) {
	assert.Assert(t, NotRun(true, false, EarlierUnknown))
	assert.Assert(t, NotRun(true, true, EarlierNone))
	assert.Assert(t, !NotRun(true, true, EarlierUnknown))
	assert.Assert(t, !NotRun(true, true, EarlierMayHaveRun))
	assert.Assert(t, !NotRun(false, true, EarlierNone))
	assert.Assert(t, !NotRun(false, false, EarlierUnknown))
}
