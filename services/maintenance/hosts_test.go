package maintenance

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
)

// TestReplacedHostIsRetired guards against a replaced host that counts against
// the budget of its pool until an operator returns it.
func TestReplacedHostIsRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10, 1)
		n := c.addNode("e1")
		defer n.stop()
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		replaced := c.hosts["w0"]
		delete(c.hosts, "w0")
		c.mu.Unlock()
		time.Sleep(29 * time.Minute)
		_, err := n.service.Drain(t.Context(), "early", "w1", budget.CauseDrain)
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonBudget)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, n.View().Assignments["w0"], "")
		_, err = n.service.Drain(t.Context(), "late", "w1", budget.CauseDrain)
		assert.NilError(t, err)
		c.mu.Lock()
		c.hosts["w0"] = replaced
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, n.View().Assignments["w0"], "a", "a host that comes back is a new one")
	})
}
