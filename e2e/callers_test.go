package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// callResult is what one caller was told about one request.
type callResult struct {
	id         string
	echo       string
	team       string
	queue      string
	host       string
	sentAt     time.Time
	answeredAt time.Time
	status     int
	// outcome is done, not-run, unknown, or lost when the connection ended
	// without a whole answer.
	outcome string
	reason  string
	reply   backendReply
}

type backendReply struct {
	RequestID string `json:"requestID"`
	Server    string `json:"server"`
	Echo      string `json:"echo"`
}

type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// callerRequest is one request to send.
type callerRequest struct {
	queue      string
	key        string
	id         string
	idempotent bool
	workMs     int
	echo       string
	timeoutMs  int
}

// callRecorder records what all callers of a test were told.
type callRecorder struct {
	client  *http.Client
	mu      sync.Mutex
	results []callResult
}

func newCallRecorder() *callRecorder {
	return &callRecorder{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send posts one request to a host and records what was told.
func (c *callRecorder) send(h *entryHost, team string, req callerRequest) callResult {
	t := callResult{echo: req.echo, team: team, queue: req.queue, host: h.name, sentAt: time.Now(), outcome: "lost", id: req.id}
	resp, err := c.client.Do(newRequest(h, req))
	t.answeredAt = time.Now()
	if err == nil {
		t.read(resp)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, t)
	return t
}

func newRequest(h *entryHost, req callerRequest) *http.Request {
	body, _ := json.Marshal(map[string]any{"workMs": req.workMs, "echo": req.echo})
	r, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+"/v1/queues/"+req.queue+"/requests", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if req.key != "" {
		r.Header.Set("Authorization", "Bearer "+req.key)
	}
	if req.id != "" {
		r.Header.Set("Idempotency-Key", req.id)
	}
	if req.idempotent {
		r.Header.Set("Idempotent", "true")
	}
	if req.timeoutMs > 0 {
		r.Header.Set("Request-Timeout-Ms", fmt.Sprint(req.timeoutMs))
	}
	return r
}

func (t *callResult) read(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	t.status = resp.StatusCode
	t.outcome = resp.Header.Get("Outcome")
	if t.id == "" {
		t.id = resp.Header.Get("Request-Id")
	}
	if t.outcome == "done" {
		json.Unmarshal(body, &t.reply)
		return
	}
	var r refusalBody
	json.Unmarshal(body, &r)
	t.reason = r.Reason
}

// all returns what was told so far.
func (c *callRecorder) all() []callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]callResult(nil), c.results...)
}
