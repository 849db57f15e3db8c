package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	rightsservice "fuchsiafront.example/fuchsiafront/services/rights"
)

// noPeers stands for the peers service of a host that hears nobody.
type noPeers struct{}

func (noPeers) Provision(*kernel.Context) error { return nil }
func (noPeers) Status() []services.PeerStatus   { return nil }
func (noPeers) Loads() []services.TeamLoad      { return nil }
func (noPeers) SetLoads([]services.TeamLoad)    {}
func (noPeers) SetLeavingHosts([]string)        {}

// Guards against jobs and the rights service that do not agree on the row of
// rights: jobs that never start or end, rights that are lost, and more jobs
// than the limit while a scheduler dies and another adopts.
func TestLimitWithTheRightsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 4
		w := newTestCluster(t, 2, limit)
		w.rightsService = func() kernel.Service {
			return rightsservice.New(rightsservice.Settings{HoldTerm: time.Hour, LongestRequest: 10 * time.Second})
		}
		w.store.update(func(s *fakeStore) {
			s.version++
			s.rows["member/h1"] = services.Row{Key: "member/h1", Version: s.version}
			s.rows["member/h2"] = services.Row{Key: "member/h2", Version: s.version}
		})
		first, k1 := w.start("h1", nil, jobs.Config{})
		for i := range 10 {
			submit(t, first, fmt.Sprint(i), spec(false, time.Minute))
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.countRunning(), limit)
		assert.NilError(t, k1.Stop(context.Background()))
		w.store.update(func(s *fakeStore) { delete(s.rows, "member/h1") })
		second, k2 := w.start("h2", nil, jobs.Config{})
		defer k2.Stop(context.Background())
		for range 240 {
			assert.Assert(t, w.countRunning() <= limit, "%d jobs run", w.countRunning())
			assert.Assert(t, w.store.rightsRow().Sum() <= limit)
			time.Sleep(time.Second)
		}
		for i := range 10 {
			assert.Equal(t, state(t, second, fmt.Sprint(i)), "done")
		}
		assert.Equal(t, len(w.executions()), 10)
	})
}
