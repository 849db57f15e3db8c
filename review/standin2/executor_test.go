//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = 6 * time.Second
	stopTime  = 100 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	// startup is how long a work item that lasts takes until it is at work.
	startup = 900 * time.Millisecond
)

// run is one run of a work item.
type run struct {
	Task     string
	Attempt  int
	Executor string
	Host     string
	Spec     string
	Start    time.Time
	End      time.Time
	How      string
	// Noted is set when last-seen reached the end before the lease lapsed.
	Noted bool

	cpu     int
	tenant  string
	number  int64
	lapsed  bool
	stopped bool
	x       *executor
}

func (r *run) live() bool { return r.End.IsZero() }

// executor is one life of a machine, as the pages describe it.
type executor struct {
	w       *world
	id      string
	machine string
	service string
	zone    string
	rack    string
	cpu     int
	born    time.Time
	address string
	close   func()

	mu      sync.Mutex
	up      bool
	fence   int64
	lease   int64
	runs    map[string]*run
	ended   map[string]int
	ends    []*run
	lastEnd int64
	wake    chan struct{}
	// refuses makes the executor unhealthy: it answers starts with 503.
	refuses bool
	// mute keeps the executor's reports from the store.
	mute func() bool
	seq  int
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

func (x *executor) entry() map[string]any {
	x.seq++
	return map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "1", "slots": 8, "state": "ready", "warmup-left-ms": 0, "sequence": x.seq,
		"capacity": map[string]any{"cpu": x.cpu, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", x.rack}, "machine": x.machine, "born": x.born.UnixMilli(), "clock-ms": x.clock(),
	}
}

type orderBody struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (x *executor) handler() http.Handler {
	mux := http.NewServeMux()
	order := func(path string, serve func(*orderBody, *http.Request) (int, map[string]any)) {
		mux.HandleFunc("POST /fuchsiafront/"+path, func(w http.ResponseWriter, r *http.Request) {
			var o orderBody
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			host := x.w.hostOf(o.Fence)
			blocked := func() bool {
				x.mu.Lock()
				up := x.up
				x.mu.Unlock()
				return !up || x.w.cut != nil && x.w.cut(host, x)
			}
			if blocked() {
				<-r.Context().Done()
				return
			}
			// The way there and back, and what else the executor does.
			time.Sleep(time.Duration(500+rand.Intn(4000)) * time.Microsecond)
			if r.Header.Get("X-Fuchsiafront-Expected-Executor") != x.id {
				reply(w, http.StatusMisdirectedRequest, map[string]any{"clock-ms": x.clock()})
				return
			}
			x.mu.Lock()
			stale := o.Fence < x.fence
			x.fence = max(x.fence, o.Fence)
			x.mu.Unlock()
			status, body := http.StatusConflict, map[string]any{"reason": "fence"}
			if !stale {
				status, body = serve(&o, r)
			}
			if blocked() {
				<-r.Context().Done()
				return
			}
			if body == nil {
				body = map[string]any{}
			}
			body["clock-ms"] = x.clock()
			body["born"] = x.born.UnixMilli()
			reply(w, status, body)
		})
	}
	order("run-start", x.start)
	order("run-stop", x.stop)
	order("hold", x.hold)
	order("pace", func(*orderBody, *http.Request) (int, map[string]any) { return http.StatusOK, nil })
	return mux
}

func (x *executor) extend(until int64) {
	until = min(until, x.clock()+maxHold.Milliseconds())
	x.lease = max(x.lease, until)
}

// expire ends everything when the lease has run out. The caller holds x.mu.
func (x *executor) expire() {
	if x.clock() <= x.lease {
		return
	}
	for _, r := range x.runs {
		x.end(r, "lapsed")
	}
	for _, r := range x.ends {
		r.lapsed = true
	}
}

// end ends a run. The caller holds x.mu.
func (x *executor) end(r *run, how string) {
	if x.runs[r.Task] != r {
		return
	}
	delete(x.runs, r.Task)
	x.ended[r.Task] = max(x.ended[r.Task], r.Attempt)
	x.lastEnd++
	r.number = x.lastEnd
	x.w.endRun(r, how)
	x.ends = append(x.ends, r)
	close(x.wake)
	x.wake = make(chan struct{})
}

func (x *executor) start(o *orderBody, _ *http.Request) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.refuses {
		return http.StatusServiceUnavailable, nil
	}
	x.expire()
	if o.Deadline <= x.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	if r := x.runs[o.Task]; r != nil && r.Attempt == o.Attempt {
		x.extend(o.Deadline)
		return http.StatusOK, nil
	}
	x.extend(o.Deadline)
	if o.Attempt <= x.ended[o.Task] || x.runs[o.Task] != nil && o.Attempt <= x.runs[o.Task].Attempt {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	r := &run{Task: o.Task, Attempt: o.Attempt, Executor: x.id, Host: x.w.hostOf(o.Fence), Spec: o.Spec, x: x}
	x.runs[o.Task] = r
	x.w.beginRun(r)
	var ms int
	if _, err := fmt.Sscanf(o.Spec, "ms=%d", &ms); err == nil {
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.expire()
			if !r.stopped {
				x.end(r, "done")
			}
		})
	}
	return http.StatusOK, nil
}

func (x *executor) stop(o *orderBody, _ *http.Request) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire()
	if r := x.runs[o.Task]; r != nil && r.Attempt <= o.Attempt {
		r.stopped = true
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.end(r, "stopped")
		})
		return http.StatusOK, nil
	}
	x.ended[o.Task] = max(x.ended[o.Task], o.Attempt)
	return http.StatusOK, nil
}

func (x *executor) hold(o *orderBody, r *http.Request) (int, map[string]any) {
	x.mu.Lock()
	x.expire()
	if o.Deadline > 0 {
		x.extend(o.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		x.w.note(x.ends[0])
		x.ends = x.ends[1:]
	}
	wake, listed := x.wake, len(x.ends) > 0
	x.mu.Unlock()
	if !listed && o.Wait > 0 {
		t := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
		defer t.Stop()
		select {
		case <-wake:
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire()
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		percent := 50
		measure := 100
		if strings.HasPrefix(r.Spec, "last") {
			percent = 0
			if time.Since(r.Start) > startup {
				percent = 100
			}
		} else {
			percent = int(time.Since(r.Start).Milliseconds()/20) % 100
		}
		running = append(running, []any{r.Task, r.Attempt, "", percent, measure})
	}
	for _, r := range x.ends {
		if len(finished) == 500 {
			break
		}
		finished = append(finished, []any{r.number, r.Task, r.Attempt, r.How, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// leaseLoop ends what runs when the lease runs out.
func (x *executor) leaseLoop(stop chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			x.mu.Lock()
			x.expire()
			x.mu.Unlock()
		}
	}
}
