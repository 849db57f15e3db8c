package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// jobsEndTimeout bounds the time in which the jobs of a test end; it covers a
// schedule lease of 15 s and a task lease of 30 s after the loss of a host.
const jobsEndTimeout = 90 * time.Second

type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

// callJobAPI sends one call about jobs and decodes the answer into out.
func callJobAPI(h *entryHost, method, path, key, id string, body []byte, out any) (int, error) {
	r, err := http.NewRequest(method, "http://"+h.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		r.Header.Set("Idempotency-Key", id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(data, out)
}

// submitJob submits a job until it is recorded, under one identifier.
func submitJob(t *testing.T, h *entryHost, id string, runMs int) {
	t.Helper()
	payload, err := json.Marshal(map[string]any{"runMs": runMs, "output": "sorted " + id})
	assert.NilError(t, err)
	body, err := json.Marshal(map[string]any{
		"resources": map[string]int64{"milliCPU": 1000, "memoryBytes": 1 << 30},
		"payload":   payload,
	})
	assert.NilError(t, err)
	eventually(t, startTimeout, "job "+id+" recorded", func() bool {
		var status jobStatus
		code, err := callJobAPI(h, http.MethodPost, "/v1/queues/sorting/jobs", ledgerKey.Format(), id, body, &status)
		return err == nil && code == http.StatusCreated
	})
}

// Guards against jobs that are lost, run twice, or answered with another job's
// output when the entry host that schedules them dies.
func TestJobsSurviveEntryHost(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	const jobs = 8
	for i := range jobs {
		submitJob(t, c.hosts[i%len(c.hosts)], fmt.Sprintf("sort-%d", i), 1000)
	}
	eventually(t, jobsEndTimeout, "first job running", func() bool { return jobExecutions(t, c)["ledger/sort-0"] > 0 })
	lost := c.hosts[0]
	lost.process.signal(t, syscall.SIGKILL)
	lost.process.wait(t, startTimeout)
	reader := c.hosts[1]
	for i := range jobs {
		id := fmt.Sprintf("sort-%d", i)
		var status jobStatus
		eventually(t, jobsEndTimeout, "job "+id+" done", func() bool {
			_, err := callJobAPI(reader, http.MethodGet, "/v1/jobs/"+id, ledgerKey.Format(), "", nil, &status)
			return err == nil && status.State == "done"
		})
		var output []byte
		code, err := callJobAPI(reader, http.MethodGet, "/v1/jobs/"+id+"/result", ledgerKey.Format(), "", nil, &output)
		assert.NilError(t, err)
		assert.Equal(t, code, http.StatusOK)
		assert.Equal(t, string(output), "sorted "+id)
	}
	code, err := callJobAPI(reader, http.MethodGet, "/v1/jobs/sort-0", salesKey.Format(), "", nil, &jobStatus{})
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusNotFound, "another team reads the job")
	runs := jobExecutions(t, c)
	assert.Equal(t, len(runs), jobs)
	for id, n := range runs {
		assert.Equal(t, n, 1, "runs of job %s", id)
	}
	checkGuarantees(t, c, calls, e)
}

// jobExecutions returns how often each job, named team/id, was started on a
// worker.
func jobExecutions(t *testing.T, c *cluster) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for _, x := range c.executions(t).Executions {
		if x.Job {
			runs[x.RequestId]++
		}
	}
	return runs
}
