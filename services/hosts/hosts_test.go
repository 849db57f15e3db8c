package hosts

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// lister is a fake of the platform's host list. If hangs is set, a read fails at
// its deadline.
type lister struct {
	mu    sync.Mutex
	hosts []fleet.Host
	hangs bool
	reads int
}

func (l *lister) Provision(*kernel.Context) error { return nil }

func (l *lister) ListHosts(ctx context.Context) ([]fleet.Host, error) {
	l.mu.Lock()
	l.reads++
	hangs, hosts := l.hangs, append([]fleet.Host(nil), l.hosts...)
	l.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, fault.New(&fault.NotRun, fault.ReasonPlatformDown, "list hosts", "platform", "%w", ctx.Err())
	}
	return hosts, nil
}

func (l *lister) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *lister) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// runService runs f on the started service in a synctest bubble.
func runService(t *testing.T, f func(*Service, *lister)) {
	synctest.Test(t, func(t *testing.T) {
		l := &lister{hosts: []fleet.Host{{Name: "s1", Phase: fleet.PhaseLive}, {Name: "s2", Phase: fleet.PhaseLive}}}
		s := New(time.Now)
		k := kernel.New(zerolog.Nop(), nil)
		k.Register(services.NamePlatform, l)
		k.Register(services.NameHosts, s)
		assert.NilError(t, k.Start(t.Context()))
		f(s, l)
		assert.NilError(t, k.Stop(t.Context()))
	})
}

// TestListIsReadOnceASecond guards against an outdated list, against entry hosts
// that read once a second although they are not designated, and against one that
// becomes designated and still waits until its copy has reached maxCopyAge.
func TestListIsReadOnceASecond(t *testing.T) {
	runService(t, func(s *Service, l *lister) {
		time.Sleep(22 * time.Second)
		assert.Assert(t, l.readCount() >= 20 && l.readCount() <= 23, "%d reads", l.readCount())
		assert.Assert(t, time.Since(s.Hosts().AsOf) <= 1100*time.Millisecond)
		s.SetDesignatedHostReader(false)
		time.Sleep(2 * time.Second)
		before := l.readCount()
		time.Sleep(20 * time.Second)
		assert.Assert(t, l.readCount()-before <= 4, "%d reads in 20 s while not designated", l.readCount()-before)
		before = l.readCount()
		s.SetDesignatedHostReader(false)
		s.SetDesignatedHostReader(true)
		time.Sleep(1100 * time.Millisecond)
		assert.Assert(t, l.readCount() > before, "no read within 1.1 s of becoming designated")
	})
}

// TestZoneReadsOnceASecond guards against a zone that reads the list more than
// once a second in total while the designated reader rotates, and against
// outdated copies.
func TestZoneReadsOnceASecond(t *testing.T) {
	runService(t, func(first *Service, l *lister) {
		zone := []*Service{first}
		for range 2 {
			s := New(time.Now)
			k := kernel.New(zerolog.Nop(), nil)
			k.Register(services.NamePlatform, l)
			k.Register(services.NameHosts, s)
			assert.NilError(t, k.Start(t.Context()))
			defer func() { assert.NilError(t, k.Stop(context.Background())) }()
			zone = append(zone, s)
		}
		time.Sleep(time.Second / 2)
		before := l.readCount()
		const seconds = 60
		for second := range seconds {
			for i, s := range zone {
				s.SetDesignatedHostReader(i == second%len(zone))
			}
			time.Sleep(time.Second)
			for i, s := range zone {
				age := time.Since(s.Hosts().AsOf)
				assert.Assert(t, second < 3 || age <= 5200*time.Millisecond, "copy %d is %v old", i, age)
			}
		}
		assert.Assert(t, l.readCount()-before <= seconds, "%d reads in %d s", l.readCount()-before, seconds)
	})
}

// TestFailedReadIsRepeatedWithoutDesignation guards against an entry host that
// waits until it is designated, or for another maxCopyAge, after reads that
// failed.
func TestFailedReadIsRepeatedWithoutDesignation(t *testing.T) {
	runService(t, func(s *Service, l *lister) {
		time.Sleep(time.Second)
		s.SetDesignatedHostReader(false)
		l.update(func() { l.hangs = true })
		time.Sleep(5 * time.Second)
		before := l.readCount()
		time.Sleep(20 * time.Second)
		assert.Assert(t, l.readCount()-before >= 8, "%d reads of 2 s each in 20 s", l.readCount()-before)
		l.update(func() { l.hangs = false })
		time.Sleep(3500 * time.Millisecond)
		assert.Assert(t, time.Since(s.Hosts().AsOf) <= 3500*time.Millisecond, "copy is %v old", time.Since(s.Hosts().AsOf))
	})
}

// TestLeavingTakesEffectWhileReadHangs guards against a leaving host that is
// shown as live until the platform answers a read.
func TestLeavingTakesEffectWhileReadHangs(t *testing.T) {
	runService(t, func(s *Service, l *lister) {
		time.Sleep(time.Second / 2)
		l.update(func() { l.hangs = true })
		time.Sleep(time.Second)
		before := s.Hosts()
		s.ReportLeaving("s1")
		synctest.Wait()
		assert.Equal(t, s.Hosts().Hosts[0].Phase, fleet.PhaseLeaving)
		assert.Equal(t, s.Hosts().Hosts[1].Phase, fleet.PhaseLive)
		assert.Equal(t, before.Hosts[0].Phase, fleet.PhaseLive, "a published copy was modified")
		assert.Equal(t, s.Hosts().AsOf, before.AsOf, "a failed read made the list newer")
	})
}

// TestLeavingReportEnds guards against a returned host that is still shown as
// leaving, and against a lagging list that cancels a report at once.
func TestLeavingReportEnds(t *testing.T) {
	runService(t, func(s *Service, l *lister) {
		time.Sleep(time.Second)
		s.ReportLeaving("s1")
		s.ReportLeaving("s2")
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.Hosts().Hosts[0].Phase, fleet.PhaseLeaving)
		l.update(func() { l.hosts[0].Phase = fleet.PhaseLeaving })
		time.Sleep(2 * time.Second)
		l.update(func() { l.hosts[0].Phase = fleet.PhaseLive })
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.Hosts().Hosts[0].Phase, fleet.PhaseLive, "the list has shown the host leaving and live again")
		assert.Equal(t, s.Hosts().Hosts[1].Phase, fleet.PhaseLeaving)
		time.Sleep(leavingReportLifetime)
		assert.Equal(t, s.Hosts().Hosts[1].Phase, fleet.PhaseLive)
	})
}
