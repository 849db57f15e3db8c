package statesync

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// TestConflictBringsTheNewerState guards against a submitter that decides each
// of its attempts on the same old view, until the next read of the head.
func TestConflictBringsTheNewerState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		a, stopA := startService(t, platform, &member{})
		defer stopA()
		b, stopB := startService(t, platform, &member{})
		defer stopB()
		change := func(id string) revision.Change {
			return revision.Change{ID: id, Updates: []revision.Update{{Part: services.PartLedger, Data: []byte("{}")}}}
		}
		time.Sleep(headReadPeriod / 2)
		accepted, err := b.Change(t.Context(), change("b"))
		assert.NilError(t, err)
		_, err = a.Change(t.Context(), change("a"))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonConflict)
		assert.Equal(t, a.View().Revision, accepted.Revision)
	})
}
