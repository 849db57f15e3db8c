package fleethost

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/ctl"
)

// jobOfOneTask returns a job with one task of the given memory.
func jobOfOneTask(cpu, memoryMB int) map[string]any {
	return map[string]any{"spec": "text", "phases": []map[string]any{{"count": 1, "cpu": cpu, "mem-mb": memoryMB, "estimate-ms": 20_000}}}
}

// explainedExecutor returns the executor on which fleet where would place a job, or "".
func (c *cluster) explainedExecutor(job map[string]any) string {
	c.t.Helper()
	body, err := json.Marshal(job)
	assert.NilError(c.t, err)
	file := filepath.Join(c.t.TempDir(), "job.json")
	assert.NilError(c.t, os.WriteFile(file, body, 0o600))
	var stdout, stderr bytes.Buffer
	status := ctl.Main(context.Background(), []string{"--json", "fleet", "--store", c.fleet.Address(), "where", file, "--queue", "queue", "--tenant", "tenant"}, &stdout, &stderr)
	assert.Equal(c.t, status, 0, stderr.String())
	var view struct {
		Executors []struct {
			Executor string
			Placed   int
		}
	}
	assert.NilError(c.t, json.Unmarshal(stdout.Bytes(), &view))
	for _, e := range view.Executors {
		if e.Placed > 0 {
			return e.Executor
		}
	}
	return ""
}

// executorOf returns the executor that runs a job's task, or "".
func (c *cluster) executorOf(id string) string {
	for _, r := range c.fleet.Recorder.Runs() {
		if strings.HasPrefix(r.Task, id) {
			return r.Executor
		}
	}
	return ""
}

// Guards against an owner that publishes less than its own choice depends on. By
// processors alone the second job would go beside the first, which has taken the memory.
func TestOwnerPlacesWhereExplained(t *testing.T) {
	c := startCluster(t, 1, 3, time.Minute)
	first, second := jobOfOneTask(3000, 6000), jobOfOneTask(500, 4096)
	status, _ := c.call(c.hosts[0], http.MethodPost, jobID(1), testKey, first)
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the first job runs", func() bool { return c.executorOf(jobID(1)) != "" })
	explained := ""
	c.eventually("the command knows of the first job", func() bool {
		explained = c.explainedExecutor(second)
		return explained != "" && explained != c.executorOf(jobID(1))
	})
	status, _ = c.call(c.hosts[0], http.MethodPost, jobID(2), testKey, second)
	assert.Equal(t, status, http.StatusOK)
	c.eventually("the second job runs", func() bool { return c.executorOf(jobID(2)) != "" })
	assert.Equal(t, c.executorOf(jobID(2)), explained)
}
