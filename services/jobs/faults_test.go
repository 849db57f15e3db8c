package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	"fuchsiafront.example/fuchsiafront/standin/worker"
)

// Guards against a job that is lost, runs again though not idempotent, or runs
// without a right, under any mixture of partitions, lost replies, silent and
// failing workers and cancellations, with several schedulers.
func TestAnyMixtureOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		if t.Failed() {
			rt.Fatalf("random faults failed with seed %d", seed)
		}
	})
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	cluster := newTestCluster(t, 3, 8)
	var hosts []*jobs.Service
	for i := range 3 {
		s, k := cluster.startHost(fmt.Sprint("h", i), nil)
		hosts = append(hosts, s)
		defer k.Stop(context.Background())
	}
	accepted := map[string]bool{}
	for step := range 20 {
		id := fmt.Sprint(step)
		js := spec(random.IntN(2) == 0, time.Duration(random.IntN(60))*time.Second)
		_, err := hosts[random.IntN(3)].Submit(t.Context(), "team", id, js)
		accepted[id] = err == nil || !fault.IsNotRun(err)
		if random.IntN(4) == 0 {
			_, _ = hosts[random.IntN(3)].Cancel(t.Context(), "team", fmt.Sprint(random.IntN(step+1)))
		}
		cluster.injectFault(random)
		time.Sleep(time.Duration(random.IntN(20)) * time.Second)
	}
	cluster.clearFaults()
	time.Sleep(6 * time.Minute)
	runs := map[string]int{}
	for _, e := range cluster.executions() {
		runs[strings.TrimPrefix(e.Job, "team/")]++
	}
	for id, ok := range accepted {
		if !ok {
			assert.Equal(t, runs[id], 0, "job %s ran although its submission was reported as not run", id)
			continue
		}
		row := string(cluster.store.row("job/team/" + id))
		assert.Assert(t, row != "", "job %s has no row", id)
		status := state(t, hosts[0], id)
		assert.Assert(t, status == "done" || status == "failed" || status == "cancelled", "job %s has not ended, its state is %q", id, status)
		if strings.Contains(row, `"idempotent":false`) {
			assert.Assert(t, runs[id] <= 1, "non-idempotent job %s ran %d times", id, runs[id])
		}
		if status == "done" {
			assert.Assert(t, runs[id] > 0, "job %s is done but never ran", id)
		}
	}
	assert.Equal(t, cluster.rights.inUse(), 0)
	assert.Assert(t, cluster.rights.peakInUse() <= 8)
}

// injectFault changes one fault at random.
func (tc *testCluster) injectFault(random *rand.Rand) {
	host := tc.partitions[fmt.Sprint("h", random.IntN(3))]
	target := tc.workers[fmt.Sprint("w", random.IntN(3))]
	enabled := random.IntN(3) == 0
	switch random.IntN(4) {
	case 0:
		host.platform.Store(enabled)
	case 1:
		host.workers.Store(enabled)
	case 2:
		target.SetFaults(worker.Faults{
			Down:      enabled && random.IntN(2) == 0,
			LoseReply: random.IntN(3) == 0,
			Silent:    random.IntN(5) == 0,
			Delay:     time.Duration(random.IntN(5)) * time.Second,
		})
	default:
		tc.store.update(func(s *fakeStore) { s.loseReplies = enabled })
	}
}

func (tc *testCluster) clearFaults() {
	for _, c := range tc.partitions {
		c.platform.Store(false)
		c.workers.Store(false)
	}
	for _, target := range tc.workers {
		target.SetFaults(worker.Faults{})
	}
	tc.store.update(func(s *fakeStore) { s.down, s.loseReplies = false, false })
}
