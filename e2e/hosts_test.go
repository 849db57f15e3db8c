package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// hostStepsTimeout covers the steps of a host: 10 s of drain, 5 s to settle, the
// lag of the host list and the rounds in between.
const hostStepsTimeout = 60 * time.Second

// exitNotRun is the exit status of fuchsiactl for a change that was refused
// and has no effect.
const exitNotRun = 4

// runCtl runs fuchsiactl against one entry host and returns its exit status
// and what it wrote to standard error.
func (c *cluster) runCtl(t *testing.T, h *entryHost, args ...string) (status int, text string) {
	t.Helper()
	args = append([]string{"--server", "http://" + h.adminAddress}, args...)
	tool := exec.CommandContext(t.Context(), filepath.Join(binaryDir, "fuchsiactl"), args...)
	tool.Env = append(os.Environ(), "FUCHSIAFRONT_OPERATOR_KEY="+c.operator.Format())
	var stderr bytes.Buffer
	tool.Stderr = &stderr
	err := tool.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return tool.ProcessState.ExitCode(), stderr.String()
}

// hostStatus returns what an entry host shows of a host.
func (c *cluster) hostStatus(t *testing.T, h *entryHost, name string) *wirev1.HostStatus {
	t.Helper()
	req := connect.NewRequest(&wirev1.ListHostStatusRequest{})
	c.authorize(req)
	resp, err := h.admin.ListHostStatus(t.Context(), req)
	assert.NilError(t, err)
	for _, status := range resp.Msg.Hosts {
		if status.Name == name {
			return status
		}
	}
	return &wirev1.HostStatus{}
}

// waitHostStatus waits until all entry hosts show a host as wanted.
func (c *cluster) waitHostStatus(t *testing.T, name, what string, wanted func(*wirev1.HostStatus) bool) {
	t.Helper()
	for _, h := range c.hosts {
		eventually(t, hostStepsTimeout, fmt.Sprintf("%s %s on %s", name, what, h.name), func() bool {
			return wanted(c.hostStatus(t, h, name))
		})
	}
}

// executionsOn returns the executions on a server that started within a time.
func (c *cluster) executionsOn(t *testing.T, server string, from, to time.Time) (runs []*wirev1.Execution) {
	t.Helper()
	for _, x := range c.executions(t).Executions {
		start := time.UnixMicro(x.StartUnixUs)
		if x.Server == server && start.After(from) && start.Before(to) {
			runs = append(runs, x)
		}
	}
	return runs
}

// hasRun reports whether a server ran work of a queue after a time.
func (c *cluster) hasRun(t *testing.T, server, queue string, from time.Time) bool {
	t.Helper()
	for _, x := range c.executionsOn(t, server, from, time.Now()) {
		if x.Queue == queue {
			return true
		}
	}
	return false
}

func inService(pool string) func(*wirev1.HostStatus) bool {
	return func(s *wirev1.HostStatus) bool { return s.Pool == pool && s.Step == "" && s.Phase == "live" }
}

// Guards against a drained backend server that goes on getting work or does
// not serve again, a drain beyond the budget, and a moved one that stays with
// the work of its old pool.
func TestHostsDrainReturnAndMove(t *testing.T) {
	c := startCluster(t)
	calls, e := newCallRecorder(), newObservations()
	c.waitInForce(t, c.apply(t, c.hosts[0], testSection()), c.hosts)
	const server, other, moved = "klang-quotes-01", "klang-quotes-02", "klang-ledger-01"
	c.waitHostStatus(t, server, "assigned", inService("quotes"))
	c.waitHostStatus(t, moved, "assigned", inService("ledger"))
	started := time.Now()
	stop := runLoad(t, c, calls, e, 1)
	defer stop()
	eventually(t, startTimeout, "load on "+server, func() bool { return c.hasRun(t, server, "quotes", started) })

	status, text := c.runCtl(t, c.hosts[0], "host", "drain", server)
	assert.Equal(t, status, 0, text)
	status, text = c.runCtl(t, c.hosts[len(c.hosts)-1], "host", "drain", other)
	assert.Equal(t, status, exitNotRun, text)
	assert.Assert(t, strings.Contains(text, "maxUnavailable") && strings.Contains(text, "availability-budget"), text)
	eventually(t, hostStepsTimeout, server+" leaving", func() bool { return c.hostStatus(t, c.hosts[0], server).Phase == "leaving" })
	left := time.Now()
	c.waitHostStatus(t, server, "drained", func(s *wirev1.HostStatus) bool { return s.Step == "maintenance" })
	time.Sleep(maxLeavingDelay)
	returning := time.Now()
	runs := c.executionsOn(t, server, left.Add(maxLeavingDelay), returning)
	assert.Equal(t, len(runs), 0, "leaving server got work: %v", runs)

	status, text = c.runCtl(t, c.hosts[1], "host", "return", server)
	assert.Equal(t, status, 0, text)
	c.waitHostStatus(t, server, "back", inService("quotes"))
	back := time.Now()
	eventually(t, startTimeout, server+" serves again", func() bool { return c.hasRun(t, server, "quotes", back) })

	status, text = c.runCtl(t, c.hosts[2], "host", "move", moved, "quotes")
	assert.Equal(t, status, 0, text)
	c.waitHostStatus(t, moved, "moved", inService("quotes"))
	at := time.Now()
	eventually(t, startTimeout, moved+" serves its new pool", func() bool { return c.hasRun(t, moved, "quotes", at) })
	time.Sleep(maxLeavingDelay)
	assert.Assert(t, !c.hasRun(t, moved, "stock", at.Add(time.Second)), "%s serves its old pool", moved)
	stop()
	checkGuarantees(t, c, calls, e)
}
