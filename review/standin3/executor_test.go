//go:build review

package standin3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the platform that the settings of the processes name too.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	migrateTime = 1500 * time.Millisecond
	startupTime = 200 * time.Millisecond
	leaseCheck  = 10 * time.Millisecond
)

// order is an order to an executor.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      int64  `json:"fencing-token"`
	LastSeen   int    `json:"last-seen"`
	WaitMs     int    `json:"wait-ms"`
	Percent    int    `json:"percent"`
	path       string
	expected   string
}

type runKey struct {
	task    string
	attempt int
}

// run is one run of a work item.
type run struct {
	runKey
	executor *executor
	life     *life
	began    time.Time
	late     bool
	lasts    bool
	duration time.Duration
	ended    time.Time
	how      string
	number   int
	// noted is when last-seen reached the end; zero if it has not.
	noted time.Time
}

// life is one boot of an executor.
type life struct {
	born    time.Time
	fence   int64
	lease   int64
	running map[runKey]*run
	ended   []*run
	// past has the highest attempt of each work item that has ended or was stopped here.
	past   map[string]int
	ends   int
	acked  int
	notify chan struct{}
}

func (l *life) clockMs() int64 { return 1000 + time.Since(l.born).Milliseconds() }

// executor is one executor of the platform. Its lives share identifier and address.
type executor struct {
	w        *world
	id       string
	service  string
	machine  string
	zone     string
	labels   []string
	cpu      int
	memMB    int
	address  string
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	life     *life
	sequence int
	// cut is set while no machine of the system reaches the executor.
	cut bool
	// late returns how much later than its arrival an order is carried out without an
	// answer; zero for at once.
	late func(o *order) time.Duration
	gone bool
}

func (w *world) addExecutor(id, service, machine string, cpu int, labels ...string) *executor {
	e := &executor{w: w, id: id, service: service, machine: machine, zone: "z1", labels: labels, cpu: cpu, memMB: 65536}
	l := listen()
	e.listener, e.address = l, l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	e.start()
	return e
}

// start begins a boot of the executor, which reports to the registry at once.
func (e *executor) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life = &life{born: time.Now(), running: make(map[runKey]*run), past: make(map[string]int), notify: make(chan struct{})}
	e.sequence = 0
	e.w.note("executor %s started, born %d", e.id, e.life.born.UnixMilli())
	go e.beat(e.life)
	go e.watchLease(e.life)
}

// crash ends the present boot without a report.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.note("executor %s crashed", e.id)
	e.end("gone")
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		silent := e.life == nil
		e.mu.Unlock()
		if silent {
			e.w.store.remove("servers", e.id)
		}
	})
}

func (e *executor) end(how string) {
	l := e.life
	e.life = nil
	for _, r := range l.running {
		e.w.recordEnd(r, how)
	}
	close(l.notify)
}

// leave ends the executor for good.
func (e *executor) leave() {
	e.mu.Lock()
	e.gone = true
	if e.life != nil {
		e.end("gone")
	}
	e.mu.Unlock()
	_ = e.server.Close()
	e.w.store.remove("servers", e.id)
}

func (e *executor) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	e.w.note("executor %s cut from all machines of the system: %v", e.id, cut)
}

func (e *executor) beat(l *life) {
	for {
		e.mu.Lock()
		if e.life != l {
			e.mu.Unlock()
			return
		}
		e.sequence++
		entry := map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
			"capacity": map[string]int{"cpu": e.cpu, "mem-mb": e.memMB, "gpu": 0}, "labels": e.labels, "machine": e.machine,
			"clock-ms": l.clockMs(), "sequence": e.sequence, "born": l.born.UnixMilli(),
		}
		e.mu.Unlock()
		e.w.store.put("servers", e.id, entry)
		time.Sleep(heartbeat)
	}
}

func (e *executor) watchLease(l *life) {
	for {
		time.Sleep(leaseCheck)
		e.mu.Lock()
		if e.life != l {
			e.mu.Unlock()
			return
		}
		if l.clockMs() > l.lease {
			for _, r := range l.running {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// ServeHTTP carries out an order and answers it, unless the scenario says otherwise.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		respond(w, http.StatusOK, map[string]any{})
		return
	}
	o := &order{path: r.URL.Path, expected: r.Header.Get("X-Fuchsiafront-Expected-Executor")}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	cut, down, late := e.cut, e.life == nil, time.Duration(0)
	if e.late != nil && !cut && !down {
		late = e.late(o)
	}
	e.mu.Unlock()
	switch {
	case cut || late > 0:
		if cut {
			e.w.note("%s %s: lost in the cut", e.id, describe(o))
		}
		if late > 0 {
			time.AfterFunc(late, func() { e.carryOut(o, true) })
		}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case down:
		panic(http.ErrAbortHandler)
	}
	status, body := e.carryOut(o, false)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	respond(w, status, body)
}

// carryOut carries out an order in the boot that is there. Status zero means that none is.
func (e *executor) carryOut(o *order, late bool) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	if l == nil {
		return 0, nil
	}
	if o.expected != e.id {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	if o.Fence < l.fence {
		e.w.note("%s %s refused (fence %d < %d)%s", e.id, describe(o), o.Fence, l.fence, lateMark(late))
		return http.StatusConflict, map[string]any{"reason": "fence", "clock-ms": l.clockMs()}
	}
	l.fence = o.Fence
	status, body := http.StatusOK, map[string]any{}
	switch o.path {
	case "/fuchsiafront/run-start":
		if reason := e.startRun(o, late); reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
		e.w.note("%s %s: %d %v%s", e.id, describe(o), status, body["reason"], lateMark(late))
	case "/fuchsiafront/run-stop":
		if r := l.running[runKey{o.Task, o.Attempt}]; r != nil {
			e.finish(r, "stopped")
		}
		l.past[o.Task] = max(l.past[o.Task], o.Attempt)
		e.w.note("%s %s: %d%s", e.id, describe(o), status, lateMark(late))
	case "/fuchsiafront/hold":
		e.extend(o.DeadlineMs)
		e.acknowledge(o.LastSeen)
		if late {
			e.w.note("%s %s: %d%s", e.id, describe(o), status, lateMark(late))
		}
		e.awaitEnd(o, l, late)
		if e.life != l {
			return 0, nil
		}
		running, finished := [][]any{}, [][]any{}
		for _, r := range l.running {
			running = append(running, []any{r.task, r.attempt, "", r.percent(), 100})
		}
		for _, r := range l.ended {
			finished = append(finished, []any{r.number, r.task, r.attempt, r.how, ""})
		}
		body["running"], body["finished"], body["born"] = running, finished, l.born.UnixMilli()
	case "/fuchsiafront/pace":
	default:
		return http.StatusNotFound, body
	}
	body["clock-ms"] = l.clockMs()
	return status, body
}

// awaitEnd waits for an end as long as a report may be held back. It releases e.mu.
func (e *executor) awaitEnd(o *order, l *life, late bool) {
	if late || o.WaitMs <= 0 || len(l.ended) > 0 {
		return
	}
	notify := l.notify
	e.mu.Unlock()
	select {
	case <-notify:
	case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
	}
	e.mu.Lock()
}

func (r *run) percent() int {
	if r.lasts {
		if time.Since(r.began) < startupTime {
			return 50
		}
		return 100
	}
	return int(min(99, time.Since(r.began)*100/max(r.duration, 1)))
}

func (e *executor) startRun(o *order, late bool) (reason string) {
	l := e.life
	if o.DeadlineMs <= l.clockMs() {
		return "late"
	}
	e.extend(o.DeadlineMs)
	key := runKey{o.Task, o.Attempt}
	if l.running[key] != nil {
		return ""
	}
	if o.Attempt <= l.past[o.Task] {
		return "old"
	}
	duration, how := e.w.outcome(e, key, o.Spec)
	r := &run{runKey: key, executor: e, life: l, began: time.Now(), late: late, lasts: how == "", duration: duration}
	l.running[key] = r
	e.w.recordStart(r)
	if how != "" {
		time.AfterFunc(duration, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.life == l && l.running[key] == r {
				e.finish(r, how)
			}
		})
	}
	return ""
}

// finish ends a run, which is listed until it is acknowledged. The caller holds e.mu.
func (e *executor) finish(r *run, how string) {
	l := r.life
	delete(l.running, r.runKey)
	l.past[r.task] = max(l.past[r.task], r.attempt)
	l.ends++
	r.number = l.ends
	e.w.recordEnd(r, how)
	if r.number > l.acked {
		l.ended = append(l.ended, r)
	}
	close(l.notify)
	l.notify = make(chan struct{})
}

func (e *executor) extend(untilMs int64) {
	l := e.life
	l.lease = max(l.lease, min(untilMs, l.clockMs()+holdMax.Milliseconds()))
}

func (e *executor) acknowledge(number int) {
	l := e.life
	l.acked = max(l.acked, number)
	l.ended = slices.DeleteFunc(l.ended, func(r *run) bool {
		if r.number > l.acked {
			return false
		}
		e.w.recordNoted(r)
		return true
	})
}

func describe(o *order) string {
	switch o.path {
	case "/fuchsiafront/run-start":
		return fmt.Sprintf("run-start %s attempt %d fence %d deadline %d", o.Task, o.Attempt, o.Fence, o.DeadlineMs)
	case "/fuchsiafront/run-stop":
		return fmt.Sprintf("run-stop %s attempt %d fence %d", o.Task, o.Attempt, o.Fence)
	}
	return fmt.Sprintf("%s last-seen %d fence %d", strings.TrimPrefix(o.path, "/fuchsiafront/"), o.LastSeen, o.Fence)
}

func lateMark(late bool) string {
	if late {
		return " (carried out late)"
	}
	return ""
}
