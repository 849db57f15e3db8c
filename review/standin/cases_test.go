//go:build review

package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// configApply is config-apply-ms of the settings.
	configApply = 2 * time.Second
	// finishTime is finish_s: how long after the end of the traffic jobs are looked at.
	finishTime = 14 * time.Second
	// idleTime is how long a job must have nothing running for the rule LOST.
	idleTime = 3 * time.Second
)

// movedRoute: a configuration sends a queue to another service, and a client sends
// a job that was accepted before once more.
var movedRoute = scenario{
	services: []string{"svc-a", "svc-b"}, executors: 3,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}, "invoice": {duration: 8 * time.Second, ending: "done"}},
	run: func(d *deployment) ([]string, error) {
		if err := warmUp(d, "short"); err != nil {
			return nil, err
		}
		id, body := jobID(1), job{"invoice", []step{{Count: 4, CPU: 1000, MemoryMB: 256, EstimateMs: 8000}}}
		if !d.submit(d.daemons[0], id, body) {
			return nil, fmt.Errorf("%w: job not accepted", errNotRun)
		}
		if err := await(5*time.Second, "the job runs", func() bool { return d.running(id) == 4 }); err != nil {
			return nil, err
		}
		service := "svc-a"
		if d.trouble {
			service = "svc-b"
		}
		d.configure(2, []string{"svc-a", "svc-b"}, route("r-2", service))
		time.Sleep(configApply + 500*time.Millisecond)
		d.submit(d.daemons[1], id, body)
		time.Sleep(8*time.Second + 2*time.Second)
		d.state(d.daemons[0], id)
		return twice(d.record.snapshot(), time.Now()), nil
	},
}

// rebornExecutor: idle executors crash and start again under their ids; jobs arrive
// meanwhile.
var rebornExecutor = scenario{
	services: []string{"svc-a"}, executors: 9,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}, "invoice": {duration: 2 * time.Second, ending: "done"}},
	run: func(d *deployment) ([]string, error) {
		if err := warmUp(d, "short"); err != nil {
			return nil, err
		}
		random := rand.New(rand.NewPCG(1, 0))
		for round := range 12 {
			time.Sleep(2 * time.Second)
			e := d.fleet.executors[fmt.Sprintf("i-svc-a-%d", 1+random.IntN(6))]
			if d.trouble {
				e.crash()
				time.Sleep(time.Second)
				d.fleet.start(e.id, e.service, e.kind, e.address)
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			id := jobID(1 + round)
			d.submit(d.daemons[round%2], id, job{"invoice", []step{{Count: 6, CPU: 1000, MemoryMB: 256, EstimateMs: 2000, AntiAffinity: 1}}})
			if err := await(15*time.Second, "the job is completed", func() bool {
				time.Sleep(300 * time.Millisecond)
				return d.state(d.daemons[0], id) == "completed"
			}); err != nil {
				return nil, err
			}
		}
		return twice(d.record.snapshot(), time.Now()), nil
	},
}

// renamedRoute: a version of the configuration removes the route of a job that runs
// and adds one of the same path to the same service; then a work item fails once.
var renamedRoute = scenario{
	services: []string{"svc-a"}, executors: 3,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}, "booking": {duration: 4 * time.Second, ending: "done", failsOnce: true}},
	run: func(d *deployment) ([]string, error) {
		if err := warmUp(d, "short"); err != nil {
			return nil, err
		}
		id := jobID(1)
		if !d.submit(d.daemons[0], id, job{"booking", []step{{Count: 3, CPU: 1000, MemoryMB: 256, EstimateMs: 4000}}}) {
			return nil, fmt.Errorf("%w: job not accepted", errNotRun)
		}
		if err := await(2*time.Second, "the job runs", func() bool { return d.running(id) == 3 }); err != nil {
			return nil, err
		}
		if d.trouble {
			d.configure(2, []string{"svc-a"}, route("r-2", "svc-a"))
		}
		time.Sleep(12 * time.Second)
		if state := d.state(d.daemons[0], id); state != "completed" {
			return []string{fmt.Sprintf("job %s is shown as %s after %d of 3 attempts of a work item", id, state, d.failures(id))}, nil
		}
		return nil, nil
	},
}

// failures returns how many runs of a job have ended failed.
func (d *deployment) failures(id string) int {
	n := 0
	for _, r := range d.record.snapshot() {
		if jobOf(r.Task) == id && r.How == "failed" {
			n++
		}
	}
	return n
}

// oddEntry: another writer leaves an entry among those of the executors that lacks
// fields and names the address of an executor that is at work.
var oddEntry = scenario{
	services: []string{"svc-a"}, executors: 9,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}, "invoice": {duration: 8 * time.Second, ending: "done"}},
	run: func(d *deployment) ([]string, error) {
		if err := warmUp(d, "short"); err != nil {
			return nil, err
		}
		id := jobID(1)
		if !d.submit(d.daemons[0], id, job{"invoice", []step{{Count: 6, CPU: 2000, MemoryMB: 1024, EstimateMs: 8000}}}) {
			return nil, fmt.Errorf("%w: job not accepted", errNotRun)
		}
		if err := await(5*time.Second, "the job runs", func() bool { return d.running(id) == 6 }); err != nil {
			return nil, err
		}
		time.Sleep(200 * time.Millisecond)
		if d.trouble {
			entry := map[string]any{
				"service": "svc-a", "address": d.fleet.executors["i-svc-a-1"].address, "zone": "z1", "state": "ready",
				"sequence": 1, "born": time.Now().UnixMilli(), "capacity": map[string]any{"cpu": executorCPU, "mem-mb": 65536, "gpu": 0},
			}
			d.store.put("servers", "i-odd", entry)
			d.record.log("another writer leaves the entry servers/i-odd, without version, slots, warmup-left-ms, machine, labels and clock-ms: %v", entry)
		}
		time.Sleep(12 * time.Second)
		d.state(d.daemons[0], id)
		return twice(d.record.snapshot(), time.Now()), nil
	},
}

// longLabels: another writer leaves an entry with long, odd labels and without other
// fields among those of the executors, before the clients' jobs come.
var longLabels = scenario{
	services: []string{"svc-a"}, executors: 9,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}},
	run: func(d *deployment) ([]string, error) {
		if d.trouble {
			label := strings.Repeat("<", 190)
			var labels []string
			for range 60 {
				labels = append(labels, label)
			}
			stored := d.store.put("servers", "i-odd", map[string]any{
				"service": "svc-a", "address": "127.0.0.1:9", "state": "ready", "sequence": 1, "labels": labels, "capacity": map[string]any{"cpu": executorCPU, "mem-mb": 65536, "gpu": 0},
			})
			d.record.log("another writer leaves the entry servers/i-odd, with %d labels of %d bytes, without other fields; stored: %v", len(labels), len(label), stored)
		}
		var accepted []string
		for n := range 10 {
			if d.submit(d.daemons[n%2], jobID(n), job{"short", []step{{Count: 4, CPU: 1000, MemoryMB: 256, EstimateMs: 200}}}) {
				accepted = append(accepted, jobID(n))
			}
		}
		time.Sleep(finishTime)
		var breaches []string
		for _, id := range accepted {
			if state := d.state(d.daemons[0], id); state != "completed" {
				breaches = append(breaches, id+" "+state)
			}
		}
		return breaches, nil
	},
}

// failingService: the work items of a job that lasts fail soon after each start.
// Other clients' jobs go on.
var failingService = scenario{
	services: []string{"svc-a"}, executors: 9,
	behaviours: map[string]behaviour{"short": {duration: 300 * time.Millisecond, ending: "done"}, "serve": {}, "fail": {duration: 10 * time.Millisecond, ending: "failed"}},
	run:        runFailingService,
}

const (
	lastingItems = 36
	itemCPU      = 500
	// trafficTime is how long clients send jobs.
	trafficTime = 75 * time.Second
	// trafficInterval is the time between the jobs of the other clients.
	trafficInterval = 250 * time.Millisecond
	// Work items of the two steps of these jobs.
	firstItems, secondItems = 6, 4
)

func runFailingService(d *deployment) ([]string, error) {
	if err := warmUp(d, "short"); err != nil {
		return nil, err
	}
	spec := "serve"
	if d.trouble {
		spec = "fail"
	}
	if !d.submit(d.daemons[0], jobID(1), job{spec, []step{{Count: lastingItems, CPU: itemCPU, MemoryMB: 128, LongRunning: true}}}) {
		return nil, fmt.Errorf("%w: job not accepted", errNotRun)
	}
	var accepted []string
	begun := time.Now()
	for n := 0; time.Since(begun) < trafficTime; n++ {
		id := jobID(100 + n)
		if d.submit(d.daemons[n%2], id, job{"short", []step{{Count: firstItems, CPU: itemCPU, MemoryMB: 128, EstimateMs: 300}, {Count: secondItems, CPU: itemCPU, MemoryMB: 128, EstimateMs: 300, After: []int{0}}}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(trafficInterval)
	}
	d.record.log("the traffic ends; %d jobs were accepted; the store has refused %d transactions for the size of a value", len(accepted), d.store.tooLargeCount())
	time.Sleep(finishTime)
	idle := d.idleJobs(accepted)
	time.Sleep(idleTime)
	var breaches []string
	again := d.idleJobs(accepted)
	used, capacity := d.coresInUse()
	d.record.log("%d of %d thousandths of a core are in use", used, capacity)
	for _, id := range accepted {
		if idle[id] != "" && idle[id] == again[id] && used < capacity/2 {
			breaches = append(breaches, fmt.Sprintf("job %s, shown as %s: for %v nothing of it has run, and %s", id, d.state(d.daemons[0], id), idleTime, idle[id]))
		}
	}
	noted, ends := 0, 0
	for _, r := range d.record.snapshot() {
		if r.How == "done" || r.How == "failed" {
			ends++
			if r.noted {
				noted++
			}
		}
	}
	d.record.log("%d ends were listed, %d of them taken note of", ends, noted)
	return breaches, nil
}

// coresInUse returns what the work items in progress use of the service, and its
// capacity, in thousandths of a core. All work items of this case take itemCPU.
func (d *deployment) coresInUse() (used, capacity int) {
	for _, r := range d.record.snapshot() {
		if r.End.IsZero() {
			used += itemCPU
		}
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return used, len(d.fleet.executors) * executorCPU
}

// idleJobs returns, for each job of which nothing runs, the work items whose turn
// has come: those of the first step that have not ended done or, when all of them
// have, those of the second.
func (d *deployment) idleJobs(ids []string) map[string]string {
	done, inProgress := make(map[string]bool), make(map[string]bool)
	for _, r := range d.record.snapshot() {
		if r.How == "done" {
			done[r.Task] = true
		}
		if r.End.IsZero() {
			inProgress[jobOf(r.Task)] = true
		}
	}
	idle := make(map[string]string)
	for _, id := range ids {
		if inProgress[id] {
			continue
		}
		for i, count := range []int{firstItems, secondItems} {
			open := 0
			for k := range count {
				if !done[fmt.Sprintf("%s.0.%d.%d", id, i, k)] {
					open++
				}
			}
			if open > 0 {
				idle[id] = fmt.Sprintf("the turn of %d work items of step %d has come", open, i)
				break
			}
		}
	}
	return idle
}

// slowLink: the daemon that owns a pool is killed and starts again. The links of the
// daemons are those of small machines, and the pool has had some thousand jobs.
var slowLink = scenario{
	services: []string{"svc-a"}, executors: 9, linkMbps: 10,
	behaviours: map[string]behaviour{"short": {duration: 200 * time.Millisecond, ending: "done"}, longSpec: {duration: 200 * time.Millisecond, ending: "done"}},
	run:        runSlowLink,
}

const (
	// beforeKill and afterKill are how long clients send jobs before and after the
	// owner is killed.
	beforeKill, afterKill = 55 * time.Second, 20 * time.Second
	// downTime is how long the killed process is down.
	downTime = 3500 * time.Millisecond
	// busyInterval and calmInterval are the times between jobs before and after.
	busyInterval, calmInterval = 12 * time.Millisecond, 250 * time.Millisecond
	// maxSpecBytes is the longest spec of the protocol.
	maxSpecBytes = 4000
)

var longSpec = strings.Repeat("s", maxSpecBytes)

func runSlowLink(d *deployment) ([]string, error) {
	if err := warmUp(d, "short"); err != nil {
		return nil, err
	}
	var accepted []string
	send := func(n int, interval time.Duration) {
		if d.submit(d.daemons[n%2], jobID(1+n), job{longSpec, []step{{Count: 1, CPU: itemCPU, MemoryMB: 128, EstimateMs: 200}}}) {
			accepted = append(accepted, jobID(1+n))
		}
		time.Sleep(interval)
	}
	n := 0
	for begun := time.Now(); time.Since(begun) < beforeKill; n++ {
		send(n, busyInterval)
	}
	if d.trouble {
		owner, err := d.owner("svc-a")
		if err != nil {
			return nil, err
		}
		d.record.log("%s, the owner of the pool, is killed; %d jobs were accepted so far", owner.name, len(accepted))
		_ = owner.command.Process.Kill()
		<-owner.ended
		time.AfterFunc(downTime, func() {
			d.record.log("%s starts again: %v", owner.name, owner.start())
		})
	}
	for begun := time.Now(); time.Since(begun) < afterKill; n++ {
		send(n, calmInterval)
	}
	d.record.log("the traffic ends; %d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	return d.neverStarted(accepted), nil
}

// neverStarted returns the breaches of the rule LOST: jobs of which no work item has
// begun, or runs, for idleTime.
func (d *deployment) neverStarted(accepted []string) []string {
	idle := d.unstarted(accepted)
	time.Sleep(idleTime)
	again := d.unstarted(accepted)
	var breaches []string
	for _, id := range accepted {
		if idle[id] && again[id] {
			breaches = append(breaches, fmt.Sprintf("job %s: for %v nothing of it has run, and its turn has come", id, idleTime))
		}
	}
	if len(breaches) > 0 {
		d.record.log("the first of them is shown as %s", d.state(d.daemons[0], strings.Fields(breaches[0])[1][:16]))
	}
	return breaches
}

func (d *deployment) unstarted(ids []string) map[string]bool {
	begun := make(map[string]bool)
	for _, r := range d.record.snapshot() {
		if r.How == "done" || r.End.IsZero() {
			begun[jobOf(r.Task)] = true
		}
	}
	open := make(map[string]bool)
	for _, id := range ids {
		open[id] = !begun[id]
	}
	return open
}
