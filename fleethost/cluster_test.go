package fleethost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

const (
	testHost   = "jobs.example"
	testPrefix = "/q/"
	testKey    = "key-1"
	// waitTimeout bounds every wait for the cluster; a takeover takes 3.5 s, and
	// the leases of an earlier owner last 8.7 s.
	waitTimeout = 30 * time.Second
	// stopTimeout is longer than the grace time in the settings file.
	stopTimeout = 15 * time.Second
)

// host is an entry host that runs in the test process.
type host struct {
	jobsAddress, readyAddress string
	stop                      context.CancelFunc
	ended                     chan error
}

type cluster struct {
	t     *testing.T
	fleet *fleetplatform.Fleet
	// maxLease is the longest lease that executors grant.
	maxLease time.Duration
	hosts    []*host
	// logs is the standard output of the hosts.
	logs io.Writer
	// options are those of the hosts that are started from now on.
	options []Option
}

func startCluster(t *testing.T, hosts, executors int, work time.Duration) *cluster {
	t.Helper()
	return startLoggingCluster(t, hosts, executors, work, io.Discard)
}

func startLoggingCluster(t *testing.T, hosts, executors int, work time.Duration, logs io.Writer) *cluster {
	t.Helper()
	return startClusterWithMaxLease(t, hosts, executors, work, fleetplatform.DefaultMaxLease, logs)
}

func startClusterWithMaxLease(t *testing.T, hosts, executors int, work, maxLease time.Duration, logs io.Writer) *cluster {
	t.Helper()
	c := &cluster{t: t, fleet: fleetplatform.StartWithMaxLease(executors, work, maxLease), maxLease: maxLease, logs: logs}
	t.Cleanup(c.fleet.Close)
	c.fleet.Configure(1, testHost, testPrefix, testKey)
	for i := range hosts {
		c.hosts = append(c.hosts, c.startHost(fmt.Sprintf("h%d", i)))
	}
	for _, h := range c.hosts {
		c.eventually("the host is ready", func() bool {
			resp, err := http.Get("http://" + h.readyAddress + "/fuchsiafront/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fleetplatform.FreeAddress()
	assert.NilError(t, err)
	return address
}

func (c *cluster) startHost(name string) *host {
	c.t.Helper()
	h := &host{jobsAddress: freeAddress(c.t), readyAddress: freeAddress(c.t), ended: make(chan error, 1)}
	path := filepath.Join(c.t.TempDir(), "node.toml")
	settings := fleetplatform.SettingsFileWithMaxLease(name, h.jobsAddress, h.readyAddress, c.fleet.Address(), c.maxLease)
	assert.NilError(c.t, os.WriteFile(path, []byte(settings), 0o600))
	process, err := New(path, zerolog.InfoLevel, c.logs, time.Now, c.options...)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() { h.ended <- process.Serve(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		<-h.ended
		h.ended <- nil
	})
	return h
}

func (c *cluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		assert.Assert(c.t, time.Now().Before(deadline), "condition not met within %v: %s", waitTimeout, condition)
		time.Sleep(20 * time.Millisecond)
	}
}

// call makes one client call and returns its status, or zero if it got no reply.
func (c *cluster) call(h *host, method, id, key string, body any) (int, map[string]any) {
	encoded, err := json.Marshal(body)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(method, "http://"+h.jobsAddress+testPrefix+id, bytes.NewReader(encoded))
	assert.NilError(c.t, err)
	req.Host = testHost
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Fuchsiafront-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, answer
}

// twoStepJob returns a job of a step with three tasks and a second step of two
// tasks that follows it.
func twoStepJob() map[string]any {
	return map[string]any{"spec": "text", "phases": []map[string]any{
		{"count": 3, "cpu": 500, "mem-mb": 128, "estimate-ms": 100},
		{"count": 2, "cpu": 500, "mem-mb": 128, "estimate-ms": 100, "after": []int{0}},
	}}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (c *cluster) completed(h *host, id string) bool {
	status, answer := c.call(h, http.MethodGet, id, testKey, nil)
	return status == http.StatusOK && answer["state"] == "completed"
}
