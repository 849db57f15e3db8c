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

// hostStepsTimeout covers the maintenance steps of a host: 10 s of drain, 5 s to
// settle, the lag of the host list and the planning rounds in between.
const hostStepsTimeout = 60 * time.Second

// exitNotRun is the exit status of fuchsiactl for a change that was refused and had
// no effect.
const exitNotRun = 4

// runCtl runs fuchsiactl against one entry host and returns its exit status and its
// standard error.
func (c *cluster) runCtl(t *testing.T, h *entryHost, args ...string) (status int, errorText string) {
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

// hostStatus returns the status of a host as an entry host reports it.
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

// waitHostStatus waits until all entry hosts report the wanted status of a host.
func (c *cluster) waitHostStatus(t *testing.T, name, state string, wanted func(*wirev1.HostStatus) bool) {
	t.Helper()
	for _, h := range c.hosts {
		eventually(t, hostStepsTimeout, fmt.Sprintf("%s %s on %s", name, state, h.name), func() bool {
			return wanted(c.hostStatus(t, h, name))
		})
	}
}

// executionsOn returns the executions on a server that started between from and to.
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

// hasRun reports whether a server started work of a queue after from.
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

// Guards against a drained backend server that still gets work or does not serve
// again after its return, a drain beyond the availability budget, and a moved server
// that still gets the work of its old pool.
func TestHostsDrainReturnAndMove(t *testing.T) {
	c := startCluster(t)
	calls, observed := newCallRecorder(), newObservations()
	c.waitInForce(t, c.apply(t, c.hosts[0], testSection()), c.hosts)
	const server, other, moved = "klang-quotes-01", "klang-quotes-02", "klang-ledger-01"
	c.waitHostStatus(t, server, "assigned", inService("quotes"))
	c.waitHostStatus(t, moved, "assigned", inService("ledger"))
	started := time.Now()
	stop := runLoad(t, c, calls, observed, 1)
	defer stop()
	eventually(t, startTimeout, "load on "+server, func() bool { return c.hasRun(t, server, "quotes", started) })

	status, errorText := c.runCtl(t, c.hosts[0], "host", "drain", server)
	assert.Equal(t, status, 0, errorText)
	status, errorText = c.runCtl(t, c.hosts[len(c.hosts)-1], "host", "drain", other)
	assert.Equal(t, status, exitNotRun, errorText)
	assert.Assert(t, strings.Contains(errorText, "maxUnavailable") && strings.Contains(errorText, "availability-budget"), errorText)
	eventually(t, hostStepsTimeout, server+" leaving", func() bool { return c.hostStatus(t, c.hosts[0], server).Phase == "leaving" })
	leavingSince := time.Now()
	c.waitHostStatus(t, server, "drained", func(s *wirev1.HostStatus) bool { return s.Step == "maintenance" })
	time.Sleep(maxLeavingDelay)
	beforeReturn := time.Now()
	runs := c.executionsOn(t, server, leavingSince.Add(maxLeavingDelay), beforeReturn)
	assert.Equal(t, len(runs), 0, "%s got work while leaving: %v", server, runs)

	status, errorText = c.runCtl(t, c.hosts[1], "host", "return", server)
	assert.Equal(t, status, 0, errorText)
	c.waitHostStatus(t, server, "back", inService("quotes"))
	inServiceSince := time.Now()
	eventually(t, startTimeout, server+" serves again", func() bool { return c.hasRun(t, server, "quotes", inServiceSince) })

	status, errorText = c.runCtl(t, c.hosts[2], "host", "move", moved, "quotes")
	assert.Equal(t, status, 0, errorText)
	c.waitHostStatus(t, moved, "moved", inService("quotes"))
	movedAt := time.Now()
	eventually(t, startTimeout, moved+" serves its new pool", func() bool { return c.hasRun(t, moved, "quotes", movedAt) })
	time.Sleep(maxLeavingDelay)
	assert.Assert(t, !c.hasRun(t, moved, "stock", movedAt.Add(time.Second)), "%s still serves its old pool", moved)
	stop()
	checkGuarantees(t, c, calls, observed)
}
