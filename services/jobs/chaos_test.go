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

// Guards against a job that is lost, runs twice, or runs without a right,
// under any mixture of partitions, lost replies, silent and failing workers
// and cancellations, with several schedulers.
func TestAnyMixtureOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		if t.Failed() {
			rt.Fatalf("seed %d", seed)
		}
	})
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	w := newTestCluster(t, 3, 8)
	var hosts []*jobs.Service
	for i := range 3 {
		s, k := w.startHost(fmt.Sprint("h", i), nil)
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
		w.injectFault(random)
		time.Sleep(time.Duration(random.IntN(20)) * time.Second)
	}
	w.clearFaults()
	time.Sleep(6 * time.Minute)
	runs := map[string]int{}
	for _, e := range w.executions() {
		runs[strings.TrimPrefix(e.Job, "team/")]++
	}
	for id, ok := range accepted {
		if !ok {
			assert.Equal(t, runs[id], 0, "job %s was said to be not run", id)
			continue
		}
		row := string(w.store.row("job/team/" + id))
		assert.Assert(t, row != "", "job %s is lost", id)
		status := state(t, hosts[0], id)
		assert.Assert(t, status == "done" || status == "failed" || status == "cancelled", "job %s is %s", id, status)
		if strings.Contains(row, `"idempotent":false`) {
			assert.Assert(t, runs[id] <= 1, "job %s ran %d times", id, runs[id])
		}
		if status == "done" {
			assert.Assert(t, runs[id] > 0, "job %s is done and never ran", id)
		}
	}
	assert.Equal(t, w.rights.inUse(), 0)
	assert.Assert(t, w.rights.peakInUse() <= 8)
}

// injectFault changes one fault at random.
func (w *testCluster) injectFault(random *rand.Rand) {
	host := w.partitions[fmt.Sprint("h", random.IntN(3))]
	target := w.workers[fmt.Sprint("w", random.IntN(3))]
	coin := random.IntN(3) == 0
	switch random.IntN(4) {
	case 0:
		host.platform.Store(coin)
	case 1:
		host.workers.Store(coin)
	case 2:
		target.SetFaults(worker.Faults{
			Down:      coin && random.IntN(2) == 0,
			LoseReply: random.IntN(3) == 0,
			Silent:    random.IntN(5) == 0,
			Delay:     time.Duration(random.IntN(5)) * time.Second,
		})
	default:
		w.store.update(func(s *fakeStore) { s.loseReplies = coin })
	}
}

func (w *testCluster) clearFaults() {
	for _, c := range w.partitions {
		c.platform.Store(false)
		c.workers.Store(false)
	}
	for _, target := range w.workers {
		target.SetFaults(worker.Faults{})
	}
	w.store.update(func(s *fakeStore) { s.down, s.loseReplies = false, false })
}
