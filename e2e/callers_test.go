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

// callResult is the result of one request as its caller saw it.
type callResult struct {
	id         string
	echo       string
	team       string
	queue      string
	host       string
	sentAt     time.Time
	answeredAt time.Time
	status     int
	// outcome is done, not-run or unknown, or lost if the connection ended
	// before the whole reply was read.
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

// callerRequest is one request that a caller sends.
type callerRequest struct {
	queue      string
	key        string
	id         string
	idempotent bool
	workMs     int
	echo       string
	timeoutMs  int
}

// callRecorder records the results of all calls of a test.
type callRecorder struct {
	client  *http.Client
	mu      sync.Mutex
	results []callResult
}

func newCallRecorder() *callRecorder {
	return &callRecorder{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send posts one request to an entry host and records the result.
func (r *callRecorder) send(h *entryHost, team string, req callerRequest) callResult {
	result := callResult{echo: req.echo, team: team, queue: req.queue, host: h.name, sentAt: time.Now(), outcome: "lost", id: req.id}
	resp, err := r.client.Do(newRequest(h, req))
	result.answeredAt = time.Now()
	if err == nil {
		result.read(resp)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	return result
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

func (r *callResult) read(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.status = resp.StatusCode
	r.outcome = resp.Header.Get("Outcome")
	if r.id == "" {
		r.id = resp.Header.Get("Request-Id")
	}
	if r.outcome == "done" {
		json.Unmarshal(body, &r.reply)
		return
	}
	var refused refusalBody
	json.Unmarshal(body, &refused)
	r.reason = refused.Reason
}

// all returns the results so far.
func (r *callRecorder) all() []callResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]callResult(nil), r.results...)
}
