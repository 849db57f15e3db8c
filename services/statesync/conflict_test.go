package statesync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// table is the platform's table, and a membership that permits every change.
type table struct {
	services.Table
	services.Membership
	mu      sync.Mutex
	rows    map[string]services.Row
	version uint64
}

func (*table) Provision(*kernel.Context) error { return nil }
func (*table) MayAcceptChanges() error         { return nil }

func (t *table) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]services.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (t *table) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return services.CommitResult{Current: []services.Row{t.rows[c.Key]}}, nil
		}
	}
	t.version++
	for _, w := range tx.Writes {
		t.rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return services.CommitResult{Committed: true, Version: t.version}, nil
}

func startOn(t *testing.T, platform *table) *Service {
	s := New(time.Now)
	k := kernel.New(zerolog.Nop(), nil)
	k.Register(services.NamePlatform, platform)
	k.Register(services.NameMembership, platform)
	k.Register(services.NameState, s)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return s
}

// TestConflictBringsTheNewerState guards against a submitter that decides each
// of its attempts on the same old view, until the next read of the head.
func TestConflictBringsTheNewerState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &table{rows: map[string]services.Row{}}
		a, b := startOn(t, platform), startOn(t, platform)
		change := func(id string) revision.Change {
			return revision.Change{ID: id, Updates: []revision.Update{{Part: services.PartLedger, Data: []byte("{}")}}}
		}
		time.Sleep(followPeriod / 2)
		accepted, err := b.Change(t.Context(), change("b"))
		assert.NilError(t, err)
		_, err = a.Change(t.Context(), change("a"))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonConflict)
		assert.Equal(t, a.View().Revision, accepted.Revision)
	})
}
