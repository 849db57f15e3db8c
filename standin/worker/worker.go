// Package worker is a stand-in for the platform's workers: it implements the
// task service of one worker over an HTTP handler, runs tasks as timers, and
// injects faults. It records every execution for a checker.
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// DefaultUsageLag is how far reported usage lags behind a task.
const DefaultUsageLag = 2 * time.Second

// Reasons for which a worker refuses a start.
const (
	RefusedNoRoom       = "no-room"
	RefusedLeaving      = "leaving"
	RefusedNeverStarted = "never-started"
)

// Payload is what a task does: it runs for RunMs, then succeeds with Output or
// fails.
type Payload struct {
	RunMs          int64  `json:"runMs"`
	Output         string `json:"output,omitempty"`
	Fail           bool   `json:"fail,omitempty"`
	UseMilliCPU    int64  `json:"useMilliCPU,omitempty"`
	UseMemoryBytes int64  `json:"useMemoryBytes,omitempty"`
}

// Execution is one run of a task's body. End is zero while it runs.
type Execution struct {
	Worker string
	Job    string
	Token  string
	Start  time.Time
	End    time.Time
}

// Faults are the faults that a worker shows.
type Faults struct {
	// Down closes every connection before the call has an effect.
	Down bool
	// Delay precedes the effect of each call.
	Delay time.Duration
	// LoseReply closes the connection after the effect.
	LoseReply bool
	// Silent lets the effect take place and never answers.
	Silent bool
	// FailAll makes every started task fail at once.
	FailAll bool
	// Leaving refuses new tasks.
	Leaving bool
}

// Config describes one worker.
type Config struct {
	Name     string
	Capacity fleet.Resources
	// UsageLag is how far reported usage lags; zero means DefaultUsageLag.
	UsageLag time.Duration
}

// Worker is one stand-in worker. Its methods may be used concurrently.
type Worker struct {
	config  Config
	handler http.Handler

	mu         sync.Mutex
	faults     Faults
	free       fleet.Resources
	tasks      map[string]*task
	executions []Execution
}

// task is one token. A token that was never started has state NEVER for good.
type task struct {
	token          string
	state          v1.TaskState
	detail         string
	output         []byte
	checkpoint     string
	resources      fleet.Resources
	payload        Payload
	started        time.Time
	remaining      time.Duration
	percent        int32
	progressAt     time.Time
	executionIndex int
	endTimer       *time.Timer
	leaseTimer     *time.Timer
}

// New returns a worker without tasks.
func New(config Config) *Worker {
	if config.UsageLag == 0 {
		config.UsageLag = DefaultUsageLag
	}
	w := &Worker{config: config, free: config.Capacity, tasks: make(map[string]*task)}
	_, w.handler = fuchsiafrontv1connect.NewWorkerServiceHandler(&taskHandler{worker: w})
	return w
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.config.Name }

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Executions returns a copy of all executions so far.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.executions...)
}

// Free returns the room that no task takes.
func (w *Worker) Free() fleet.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.free
}

// ServeHTTP serves the task service with the worker's faults.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if !wait(req.Context(), faults.Delay) {
		return
	}
	if !faults.LoseReply && !faults.Silent {
		w.handler.ServeHTTP(rw, req)
		return
	}
	w.handler.ServeHTTP(&discard{header: make(http.Header)}, req)
	if faults.Silent {
		<-req.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// discard takes a reply that is not sent.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

func fromWire(r *v1.Resources) fleet.Resources {
	return fleet.Resources{MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}

func toWire(r fleet.Resources) *v1.Resources {
	return &v1.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func parsePayload(data []byte) (Payload, error) {
	var p Payload
	if len(data) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return p, nil
}
