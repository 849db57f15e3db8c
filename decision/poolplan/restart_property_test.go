package poolplan

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a task that runs twice because orders to one incarnation of an executor
// are carried out by a later one: seconds late, over a connection that a relay keeps, with
// starts that are not in order, beside cuts and takeovers.
func TestTasksRunOnceOverRestarts(t *testing.T) {
	for name, faults := range map[string]worldFaults{
		"late orders":     {late: 0.05, lost: 0.02},
		"latest orders":   {late: 0.05, lost: 0.02, latest: maxLateness},
		"relay":           {relay: true, lost: 0.02},
		"clock steps":     {late: 0.05, clockSteps: true},
		"cuts":            {late: 0.05, lost: 0.02, cuts: true, clockSteps: true},
		"relay and cuts":  {late: 0.05, relay: true, cuts: true},
		"takeovers":       {lost: 0.05, takeovers: true, clockSteps: true},
		"relay takeovers": {relay: true, takeovers: true},
		"failing tasks":   {late: 0.05, lost: 0.02, latest: maxLateness, failing: 0.2},
		"late takeovers":  {late: 0.05, lost: 0.02, latest: maxLateness, takeovers: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				w := newRestartWorld(seed, faults)
				if broken := w.run(12*time.Second, 40*time.Second); len(broken) > 0 {
					rt.Fatalf("%s\n%s", strings.Join(w.trace, "\n"), strings.Join(broken, "\n"))
				}
			})
		})
	}
}
