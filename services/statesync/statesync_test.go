package statesync

import (
	"context"
	"encoding/json"
	"net/http"
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

// table is an in-memory table service whose calls a test can fail before or
// after they take effect.
type table struct {
	services.Table
	mu      sync.Mutex
	rows    map[string]services.Row
	version uint64
	// before runs before a call takes effect and after runs once it has; an
	// error of either is returned by the call.
	before, after func(call string) error
}

func (t *table) Provision(*kernel.Context) error { return nil }

func (t *table) hooks() (before, after func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.before, t.after
}

func (t *table) setHooks(before, after func(string) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.before, t.after = before, after
}

func (t *table) do(call string, effect func()) error {
	before, after := t.hooks()
	if before != nil {
		if err := before(call); err != nil {
			return err
		}
	}
	t.mu.Lock()
	effect()
	t.mu.Unlock()
	if after != nil {
		return after(call)
	}
	return nil
}

func (t *table) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	rows := make([]services.Row, len(keys))
	err := t.do("get", func() {
		for i, key := range keys {
			rows[i] = t.rows[key]
		}
	})
	return rows, err
}

func (t *table) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	var result services.CommitResult
	err := t.do("commit", func() {
		for _, c := range tx.Conditions {
			if t.rows[c.Key].Version != c.Version {
				return
			}
		}
		t.version++
		for _, w := range tx.Writes {
			t.rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: t.version}
		}
		result = services.CommitResult{Committed: true, Version: t.version}
	})
	return result, err
}

// member is a fake membership that may accept changes while refuse is nil.
type member struct {
	services.Membership
	mu      sync.Mutex
	refuse  error
	onCheck func()
}

func (m *member) Provision(*kernel.Context) error { return nil }

func (m *member) CheckMayAcceptChanges() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.onCheck != nil {
		m.onCheck()
	}
	return m.refuse
}

type noMetrics struct{}

func (noMetrics) Provision(*kernel.Context) error   { return nil }
func (noMetrics) CountRefusal(string, fault.Reason) {}
func (noMetrics) CountRetry(string, fault.Reason)   {}
func (noMetrics) Refusals() []services.RefusalCount { return nil }
func (noMetrics) Handler() http.Handler             { return http.NotFoundHandler() }

// startService starts one host's service against a table.
func startService(t *testing.T, platform *table, m *member) (*Service, func()) {
	k := kernel.New(zerolog.Nop(), nil)
	s := New(time.Now)
	k.Register(services.NamePlatform, platform)
	k.Register(services.NameMembership, m)
	k.Register(services.NameMetrics, noMetrics{})
	k.Register(services.NameState, s)
	assert.NilError(t, k.Start(context.Background()))
	return s, func() { assert.NilError(t, k.Stop(context.Background())) }
}

func sectionChange(name string) revision.Change {
	return revision.Change{ID: "change-" + name, Updates: []revision.Update{{Part: services.PartSectionPrefix + name, Data: []byte("section: " + name + "\n")}}}
}

func changeWithTimeout(s *Service, c revision.Change, d time.Duration) (services.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return s.Change(ctx, c)
}

func newTable() *table { return &table{rows: map[string]services.Row{}} }

var errReplyLost = fault.New(&fault.Unknown, fault.ReasonPlatformDown, "commit", "platform", "reply lost")
var errRefused = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "call", "platform", "down")

// Guards against a repeated submission that is acknowledged before this host
// has the change: its self-reports would then make an old state count as fresh
// on all other hosts.
func TestRepeatIsAppliedBeforeAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		first, stopFirst := startService(t, platform, &member{})
		defer stopFirst()
		second, stopSecond := startService(t, platform, &member{})
		defer stopSecond()
		time.Sleep(time.Second)
		second.SetDesignatedHeadReader(false)
		time.Sleep(time.Second)
		_, err := changeWithTimeout(first, sectionChange("a"), time.Second)
		assert.NilError(t, err)
		result, err := changeWithTimeout(second, sectionChange("a"), time.Second)
		assert.NilError(t, err)
		assert.Assert(t, result.Repeated)
		head, inDoubt := second.Head()
		assert.Equal(t, head.Revision, uint64(1))
		assert.Assert(t, !inDoubt)
	})
}

// Guards against a host that reports an old revision without a change in doubt
// after its change took effect and the reply was lost.
func TestDoubtLastsUntilApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		s, stop := startService(t, platform, &member{})
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		s.SetDesignatedHeadReader(false)
		lost := false
		check := func(string) error {
			if head, inDoubt := s.Head(); lost && head.Revision == 0 && !inDoubt {
				t.Error("head at revision 0 is reported without a change in doubt although the change was accepted")
			}
			return nil
		}
		platform.setHooks(check, func(call string) error {
			if call == "commit" && !lost {
				lost = true
				return errReplyLost
			}
			return check(call)
		})
		result, err := changeWithTimeout(s, sectionChange("a"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(1))
		head, inDoubt := s.Head()
		assert.Equal(t, head.Revision, uint64(1))
		assert.Assert(t, !inDoubt)
	})
}

// Guards against a change that is no longer reported in doubt when an outage
// follows the lost reply, so that the read that would resolve it fails.
func TestDoubtOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		s, stop := startService(t, platform, &member{})
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		commits := 0
		platform.setHooks(func(call string) error {
			if call == "get" && commits > 1 {
				return errRefused
			}
			return nil
		}, func(call string) error {
			if call != "commit" {
				return nil
			}
			if commits++; commits == 1 {
				return errReplyLost
			}
			return nil
		})
		_, err := changeWithTimeout(s, sectionChange("a"), 10*time.Second)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonDeadline)
		_, inDoubt := s.Head()
		assert.Assert(t, inDoubt)
		platform.setHooks(nil, nil)
		time.Sleep(time.Second)
		head, inDoubt := s.Head()
		assert.Assert(t, !inDoubt)
		assert.Equal(t, head.Revision, uint64(1))
	})
}

// Guards against a change that is sent after this host has told its peers
// that it accepts no more: the right to accept changes must be checked after
// the change is reported in doubt.
func TestNoChangeAfterFinalSelfReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, m := newTable(), &member{}
		s, stop := startService(t, platform, m)
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		m.onCheck = func() {
			if _, inDoubt := s.Head(); !inDoubt {
				t.Error("the right to accept changes is checked before the change is reported in doubt")
			}
		}
		m.refuse = fault.New(&fault.NotRun, fault.ReasonDraining, "accept change", "", "stopping")
		_, err := changeWithTimeout(s, sectionChange("a"), time.Second)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonDraining)
		_, inDoubt := s.Head()
		assert.Assert(t, !inDoubt)
	})
}

// Guards against a host without state that applies the empty state of a peer
// that lost its own: it declares no operators.
func TestEmptyStateOfPeerIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		platform.setHooks(func(string) error { return errRefused }, nil)
		s, stop := startService(t, platform, &member{})
		defer stop()
		s.ReceiveParts(revision.Head{}, nil)
		s.ReceiveFreshness(0, time.Now())
		time.Sleep(time.Second)
		assert.Assert(t, s.View() == nil)
		assert.Assert(t, s.FreshAsOf().IsZero())
	})
}

// Guards against an accepted change with a part that no replica can decode:
// all replicas would stay at the revision before it.
func TestUndecodableChangeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		s, stop := startService(t, platform, &member{})
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		bad := revision.Change{ID: "bad", Updates: []revision.Update{{Part: services.PartLedger, Data: []byte("{")}}}
		_, err := changeWithTimeout(s, bad, time.Second)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonMalformed)
		_, err = changeWithTimeout(s, sectionChange("a"), time.Second)
		assert.NilError(t, err)
	})
}

// Guards against a read in which another change is committed between head and
// parts: the replica must not mix the two revisions, and must reach the later
// one without waiting for the next period.
func TestReadThatRacesCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTable()
		writer, stopWriter := startService(t, platform, &member{})
		defer stopWriter()
		time.Sleep(1500 * time.Millisecond)
		_, err := changeWithTimeout(writer, sectionChange("a"), time.Second)
		assert.NilError(t, err)
		gets := 0
		racingTable := &table{rows: platform.rows}
		racingTable.setHooks(nil, func(string) error {
			if gets++; gets == 1 {
				c := sectionChange("a")
				c.ID, c.Updates[0].IfRevision = "second", 1
				_, err := changeWithTimeout(writer, c, time.Second)
				return err
			}
			return nil
		})
		reader, stopReader := startService(t, racingTable, &member{})
		defer stopReader()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, reader.revision(), uint64(2))
		row := platform.rows[partPrefix+services.PartSectionPrefix+"a"]
		var p revision.Part
		assert.NilError(t, json.Unmarshal(row.Value, &p))
		assert.DeepEqual(t, reader.View().State.Parts[p.Name], p)
	})
}
