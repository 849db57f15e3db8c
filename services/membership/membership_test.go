package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

const holdTerm = 75 * time.Minute

// table is an in-memory table service.
type table struct {
	services.Table
	mu      sync.Mutex
	rows    map[string]services.Row
	version uint64
	down    bool
	// delay is how long a commit takes.
	delay time.Duration
	// loseReply makes the next commit take effect and lose its reply.
	loseReply bool
}

func (t *table) Provision(*kernel.Context) error { return nil }

var errDown = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "platform", "fake", "down")

func (t *table) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errDown
	}
	return []services.Row{t.rows[keys[0]]}, nil
}

func (t *table) Scan(_ context.Context, prefix, after string, _ int) (rows []services.Row, more bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, false, errDown
	}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	return rows, false, nil
}

func (t *table) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delay > 0 {
		delay := t.delay
		t.mu.Unlock()
		time.Sleep(delay)
		t.mu.Lock()
	}
	if t.down {
		return services.CommitResult{}, errDown
	}
	key := tx.Conditions[0].Key
	if row := t.rows[key]; row.Version != tx.Conditions[0].Version {
		return services.CommitResult{Current: []services.Row{row}}, nil
	}
	t.write(key, tx.Writes[0])
	if t.loseReply {
		t.loseReply = false
		return services.CommitResult{}, fault.New(&fault.Unknown, fault.ReasonPlatformDown, "platform", "fake", "reply lost")
	}
	return services.CommitResult{Committed: true, Version: t.version}, nil
}

func (t *table) write(key string, w services.Write) {
	t.version++
	if w.Delete {
		delete(t.rows, key)
		return
	}
	t.rows[key] = services.Row{Key: key, Value: w.Value, Version: t.version}
}

func (t *table) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *table) hasRow(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.rows[rowPrefix+name]
	return ok
}

// putRow writes a member row as a process with that identity would.
func (t *table) putRow(i services.Identity) {
	value, _ := json.Marshal(memberRow{Identity: i})
	t.update(func() { t.write(rowPrefix+i.Name, services.Write{Value: value}) })
}

type noMetrics struct{}

func (noMetrics) Provision(*kernel.Context) error   { return nil }
func (noMetrics) CountRefusal(string, fault.Reason) {}
func (noMetrics) CountRetry(string, fault.Reason)   {}
func (noMetrics) Refusals() []services.RefusalCount { return nil }
func (noMetrics) Handler() http.Handler             { return http.NotFoundHandler() }

// clock is virtual time plus the pauses that a test adds: the clock of a paused
// process jumps.
type clock struct {
	mu     sync.Mutex
	paused time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.paused)
}

func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused += d
}

func identity(name string, incarnation uint64) services.Identity {
	return services.Identity{Name: name, Incarnation: incarnation, PeerAddress: name + ":1"}
}

// inBubble starts host a with incarnation 5 in virtual time and runs test after
// the first renewal.
func inBubble(t *testing.T, platform *table, test func(s *Service, k *kernel.Kernel, c *clock)) {
	synctest.Test(t, func(t *testing.T) {
		c := &clock{}
		s := New(identity("a", 5), Settings{HoldTerm: holdTerm}, c.now)
		k := kernel.New(zerolog.Nop(), nil)
		k.Register(services.NamePlatform, platform)
		k.Register(services.NameMetrics, noMetrics{})
		k.Register(services.NameMembership, s)
		assert.NilError(t, k.Start(context.Background()))
		defer k.Stop(context.Background())
		time.Sleep(time.Second / 2)
		test(s, k, c)
	})
}

func newTable() *table { return &table{rows: map[string]services.Row{}} }

func refusalReason(s *Service, c *clock) fault.Reason {
	if err := s.CheckMayUseRights(c.now()); err != nil {
		return fault.ReasonOf(err)
	}
	return ""
}

// Guards against a process that continues to use rights after a later process
// has taken its name.
func TestLaterIncarnationEndsRights(t *testing.T) {
	platform := newTable()
	platform.putRow(identity("a", 4))
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		assert.NilError(t, s.CheckMayUseRights(c.now()))
		assert.NilError(t, s.CheckMayAcceptChanges())
		platform.putRow(identity("a", 6))
		time.Sleep(renewPeriod)
		assert.Equal(t, refusalReason(s, c), fault.ReasonMemberSuperseded)
		assert.Assert(t, s.CheckMayAcceptChanges() != nil)
		assert.Assert(t, !s.Listing().SelfInForce)
		time.Sleep(time.Hour)
		assert.Equal(t, refusalReason(s, c), fault.ReasonMemberSuperseded)
	})
}

// Guards against a renewal with a lost reply whose row is then taken for that
// of another process.
func TestLostReplyOfRenewal(t *testing.T) {
	platform := newTable()
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		platform.update(func() { platform.loseReply = true })
		time.Sleep(2 * renewPeriod)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
		platform.update(func() { platform.down = true })
		time.Sleep(holdTerm - 2*renewPeriod)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
	})
}

// Guards against rights that are used after the hold term, when others may have
// taken them over.
func TestHoldTermEnds(t *testing.T) {
	platform := newTable()
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		platform.update(func() { platform.down = true })
		term := s.Listing().Lapses
		time.Sleep(holdTerm - time.Second)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
		assert.Assert(t, s.Listing().SelfInForce)
		time.Sleep(time.Second)
		assert.Equal(t, refusalReason(s, c), fault.ReasonHoldTermOver)
		assert.Assert(t, !s.Listing().SelfInForce)
		platform.putRow(identity("b", 1))
		platform.update(func() { platform.down = false })
		time.Sleep(2 * renewPeriod)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
		assert.Equal(t, fault.ReasonOf(s.CheckMayAcceptChanges()), fault.ReasonMemberUnconfirmed)
		assert.Equal(t, s.Listing().Lapses, term+1)
	})
}

// Guards against a process that uses rights after a pause before it has
// confirmed that they are still its own.
func TestPauseNeedsConfirmation(t *testing.T) {
	platform := newTable()
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		c.pause(700 * time.Millisecond)
		time.Sleep(tickPeriod)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
		platform.update(func() { platform.down = true })
		c.pause(1100 * time.Millisecond)
		assert.Equal(t, refusalReason(s, c), fault.ReasonPaused)
		time.Sleep(time.Minute)
		assert.Equal(t, refusalReason(s, c), fault.ReasonPaused)
		assert.Equal(t, fault.ReasonOf(s.CheckMayAcceptChanges()), fault.ReasonPaused)
		platform.update(func() { platform.down = false })
		time.Sleep(2 * retryInterval)
		assert.NilError(t, s.CheckMayUseRights(c.now()))
	})
}

// Guards against a slow renewal whose hold term counts from its end, or that
// clears a pause that came after its start.
func TestSlowRenewal(t *testing.T) {
	platform := newTable()
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		platform.update(func() { platform.delay = 2 * time.Second })
		time.Sleep(renewPeriod)
		started := c.now().Add(-time.Second / 2)
		c.pause(1500 * time.Millisecond)
		time.Sleep(1600 * time.Millisecond)
		assert.Equal(t, refusalReason(s, c), fault.ReasonPaused)
		assert.Assert(t, !s.lease.Load().confirmedAt.After(started))
	})
}

// Guards against a member that accepts changes before every listed member has
// confirmed it.
func TestAcceptsAfterAllConfirmed(t *testing.T) {
	platform := newTable()
	platform.putRow(identity("b", 1))
	platform.putRow(identity("c", 1))
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		s.ReceiveConfirmation(identity("b", 1), c.now())
		s.ReceiveConfirmation(identity("c", 1), c.now().Add(-time.Hour))
		time.Sleep(renewPeriod)
		assert.Equal(t, fault.ReasonOf(s.CheckMayAcceptChanges()), fault.ReasonMemberUnconfirmed)
		s.ReceiveConfirmation(identity("c", 1), c.now())
		time.Sleep(time.Millisecond)
		assert.NilError(t, s.CheckMayAcceptChanges())
	})
}

// Guards against a dead member that keeps new ones from accepting changes for
// ever, and against a member that is left out before its hold term has certainly
// ended.
func TestUnrenewedRowIsLeftOut(t *testing.T) {
	platform := newTable()
	platform.putRow(identity("b", 1))
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		time.Sleep(holdTerm)
		assert.Equal(t, len(s.Members()), 2)
		time.Sleep(3 * renewPeriod)
		assert.Equal(t, len(s.Members()), 1)
		assert.NilError(t, s.CheckMayAcceptChanges())
	})
}

// Guards against a declaration that an incarnation has ended that removes the
// row of a later one, or leaves the row of the ended one.
func TestStateEndedRemovesRow(t *testing.T) {
	platform := newTable()
	platform.putRow(identity("b", 1))
	platform.putRow(identity("c", 2))
	inBubble(t, platform, func(s *Service, _ *kernel.Kernel, c *clock) {
		platform.update(func() { platform.down = true })
		assert.NilError(t, s.DeclareIncarnationEnded(context.Background(), identity("b", 1)))
		assert.NilError(t, s.DeclareIncarnationEnded(context.Background(), identity("c", 1)))
		time.Sleep(renewPeriod)
		assert.Equal(t, len(s.EndedMembers()), 2)
		platform.update(func() { platform.down = false })
		time.Sleep(renewPeriod)
		assert.Assert(t, !platform.hasRow("b"))
		assert.Assert(t, platform.hasRow("c"))
	})
}

// Guards against a row that stays or is written again after a graceful stop.
func TestDrainDeletesRow(t *testing.T) {
	platform := newTable()
	inBubble(t, platform, func(s *Service, k *kernel.Kernel, c *clock) {
		assert.Assert(t, platform.hasRow("a"))
		assert.NilError(t, k.Drain(context.Background()))
		assert.Equal(t, fault.ReasonOf(s.CheckMayAcceptChanges()), fault.ReasonDraining)
		time.Sleep(3 * renewPeriod)
		assert.Assert(t, !platform.hasRow("a"))
	})
}
