// Package soak runs the daemon as separate processes against a stand-in for the
// users' platform, injects random, overlapping faults from outside, and checks
// the guarantees by what clients and executors observe.
//
//	go test ./soak -run TestSoak -soak.seed=7 -soak.time=2m -soak.hosts=6
package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

var (
	seed          = flag.Uint64("soak.seed", 1, "seed of the faults")
	faultDuration = flag.Duration("soak.time", 12*time.Second, "time for which faults are injected")
	logFolder     = flag.String("soak.logs", "", "folder for the logs of the processes; none when empty")
	hostCount     = flag.Int("soak.hosts", 3, "number of processes")
)

const (
	executorCount = 6
	taskDuration  = 250 * time.Millisecond
	// settleTimeout is the time after the last fault within which every accepted
	// job must complete. It covers a takeover, the leases of earlier owners, and
	// the work itself.
	settleTimeout  = 40 * time.Second
	submitInterval = 60 * time.Millisecond
	// repeatEvery is the number of jobs after which one that was accepted is submitted
	// again, repeatAge jobs later.
	repeatEvery = 4
	repeatAge   = 30
	// Every longJobEvery-th job has a task that takes between minLongTask and maxLongTask,
	// so that runs outlast the takeover of their pool by another host.
	longJobEvery = 16
	minLongTask  = 1500 * time.Millisecond
	maxLongTask  = 4 * time.Second
	longTaskStep = 500 * time.Millisecond
	longJobBody  = `{"spec":%q,"phases":[{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":%d}]}`
	// tenantMaximum is the tenant's upper limit, which waiting work reaches, and taskCPU
	// and failingTaskCPU are what its tasks take, in thousandths of a processor.
	tenantMaximum  = 8000
	taskCPU        = 500
	failingTaskCPU = 100
)

// TestSoak guards against lost, repeated and overlapping work under series of
// overlapping faults.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fuchsiafrontd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/fuchsiafrontd").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	s := newSoakRun(t, binary, *seed, *hostCount)
	s.waitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.submitJobs(stop) })
	s.evacuateZones(*seed)
	s.injectFaults(*faultDuration)
	s.restartHosts()
	s.checkEvacuation()
	close(stop)
	clients.Wait()
	s.fleet.EndLateOrders()
	s.checkGuarantees()
}

// fault is a kind of fault. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func() (end func())
}

func (s *soakRun) faults() []fault {
	return append(s.linkFaults(), []fault{
		{"kill a host", func() func() { return s.signalRandomHost("KILL", "") }},
		{"stop a host gracefully", func() func() { return s.signalRandomHost("TERM", "") }},
		{"freeze a host", func() func() { return s.signalRandomHost("STOP", "CONT") }},
		{"reload a host's settings", func() func() { return s.signalRandomHost("HUP", "") }},
		{"store down", func() func() { s.fleet.Store.SetDown(true); return func() { s.fleet.Store.SetDown(false) } }},
		{"store loses replies", func() func() { s.fleet.Store.LoseReplies(1 + s.random.IntN(8)); return func() {} }},
		{"store forgets its history", func() func() { s.fleet.Store.DropHistory(); return func() {} }},
		{"store carries out a save late", func() func() {
			s.fleet.Store.DelayCommits("progress", 1)
			return func() { s.fleet.Store.ApplyDelayed() }
		}},
		{"executor falls silent", func() func() {
			id := s.executors[s.random.IntN(len(s.executors))]
			s.changeExecutor(id, func(e *fleetplatform.Executor) { e.SetLoseReplies(true) })
			return func() { s.changeExecutor(id, func(e *fleetplatform.Executor) { e.SetLoseReplies(false) }) }
		}},
		{"configuration changes", func() func() {
			s.configure()
			return func() {}
		}},
		{"odd entry of another writer", func() func() {
			s.fleet.Store.PutBytes("servers", "", "i-other", s.randomOddEntry())
			return func() { s.fleet.Store.Remove("servers", "", "i-other") }
		}},
	}...)
}

// moveQueue renames the queue, or sends it to the other service, or both.
func (s *soakRun) moveQueue() {
	services := []string{s.fleet.Service, s.fleet.OtherService}
	s.queue, s.service = fmt.Sprintf("queue-%d", s.moves.IntN(3)), services[s.moves.IntN(len(services))]
	s.t.Logf("queue is now %s of %s", s.queue, s.service)
	s.configure()
}

// configure writes another version of the configuration.
func (s *soakRun) configure() {
	s.configurationVersion++
	s.fleet.ConfigureQueue(s.configurationVersion, s.queue, s.service, testHost, testPrefix, testKey, fmt.Sprintf("key-%d", s.configurationVersion))
}

// randomOddEntry returns an entry of the registry that names no executor: it cannot
// be read, has values out of range, or has the address of a real executor and belongs
// to an unknown service or lacks a field.
func (s *soakRun) randomOddEntry() []byte {
	address := s.executorAddresses[s.executors[s.random.IntN(len(s.executors))]]
	entry := func(service, address, born string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"warmup-left-ms":0,"labels":["a"],"state":"ready","sequence":1,"capacity":{"cpu":1000,"mem-mb":10},"born":%s}`, service, address, born)
	}
	entries := []string{
		"{",
		strings.Repeat(`{"a":`, 10_000),
		entry("svc", "127.0.0.1:99999", "1"),
		entry("svc", address, "9223372036854775807"),
		entry("svc", address, "1e400"),
		entry("unknown", address, fmt.Sprint(time.Now().Add(time.Hour).UnixMilli())),
	}
	if s.moves.IntN(4) == 0 {
		later := entry("svc", address, fmt.Sprint(time.Now().Add(time.Hour).UnixMilli()))
		return []byte(strings.Replace(later, `"version":"v1",`, "", 1))
	}
	return []byte(entries[s.random.IntN(len(entries))])
}

// injectFaults injects faults for d. Up to three overlap.
func (s *soakRun) injectFaults(d time.Duration) {
	s.fleet.SetLateOrders(lateShare, *seed)
	faults := s.faults()
	type active struct {
		name  string
		until time.Time
		end   func()
	}
	var open []active
	for end := time.Now().Add(d); time.Now().Before(end); {
		if len(open) < 3 {
			f := faults[s.random.IntN(len(faults))]
			for _, a := range open {
				if a.name == f.name {
					f.inject = nil
				}
			}
			if f.inject != nil {
				duration := time.Duration(s.random.Int64N(int64(4 * time.Second)))
				s.t.Logf("%s for %v", f.name, duration)
				open = append(open, active{f.name, time.Now().Add(duration), f.inject()})
			}
		}
		if s.moves.IntN(2) == 0 {
			s.moveQueue()
		}
		s.disturbExecutor()
		time.Sleep(time.Duration(s.random.Int64N(int64(1500 * time.Millisecond))))
		kept := open[:0]
		for _, a := range open {
			if time.Now().After(a.until) {
				a.end()
				continue
			}
			kept = append(kept, a)
		}
		open = kept
	}
	s.restarting.finish()
	for _, a := range open {
		a.end()
	}
	for _, id := range s.executors {
		s.fleet.Executor(id).SetRefuseStarts(false)
	}
}

// restartHosts restarts or resumes all processes and waits until they are ready.
func (s *soakRun) restartHosts() {
	for _, h := range s.hosts {
		h.ensureRunning()
	}
	s.waitReady()
}

// checkGuarantees checks that accepted jobs complete and refused ones never run, that
// no task runs twice, and that the tenant stays within its maximum.
func (s *soakRun) checkGuarantees() {
	s.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for id := range s.accepted {
		for {
			state := s.jobState(id)
			if state == "completed" {
				break
			}
			assert.Assert(s.t, time.Now().Before(deadline), "seed %d: accepted job %s is not completed in time: state %q", *seed, id, state)
			time.Sleep(50 * time.Millisecond)
		}
	}
	runs := s.fleet.Recorder.Runs()
	repeated := fleetplatform.RepeatedRuns(runs)
	assert.Equal(s.t, len(repeated), 0, "seed %d: tasks that ran twice:\n%s", *seed, strings.Join(repeated, "\n"))
	s.checkMaximum(runs)
	completed := make(map[string]bool)
	ran := make(map[string]bool)
	lateStarts := 0
	for _, r := range runs {
		ran[fleetplatform.JobOf(r.Task)] = true
		completed[r.Task] = completed[r.Task] || r.Ending == "done"
		if r.Late {
			lateStarts++
		}
	}
	for id, tasks := range s.accepted {
		for _, task := range tasks {
			assert.Assert(s.t, completed[id+task], "seed %d: job %s is completed, but its task %s was never done", *seed, id, task)
		}
	}
	for id := range s.refused {
		assert.Assert(s.t, !ran[id], "seed %d: job %s was refused but has run", *seed, id)
	}
	assert.Assert(s.t, len(s.accepted) > 0, "no job was accepted")
	s.t.Logf("seed %d: %d accepted, %d refused, %d with unknown outcome, %d runs of which %d started late, %d transactions",
		*seed, len(s.accepted), len(s.refused), s.unknownOutcomes, len(runs), lateStarts, s.fleet.Store.CommitCount())
}

// checkMaximum checks that no start brought what the tenant had running above its
// maximum, a tenth of that, and one task.
func (s *soakRun) checkMaximum(runs []fleetplatform.Run) {
	s.t.Helper()
	size := func(r *fleetplatform.Run) int {
		if fleetplatform.JobOf(r.Task) == failingJobID {
			return failingTaskCPU
		}
		return taskCPU
	}
	for i := range runs {
		used := 0
		for k := range runs {
			if !runs[k].Start.After(runs[i].Start) && (runs[k].End.IsZero() || runs[k].End.After(runs[i].Start)) {
				used += size(&runs[k])
			}
		}
		assert.Assert(s.t, used <= tenantMaximum*11/10+taskCPU, "seed %d: the start of %s brings what runs to %d; the maximum is %d", *seed, runs[i].Task, used, tenantMaximum)
	}
}

// job is a job that is submitted, with the ends of the names of its tasks.
type job struct {
	id, body string
	tasks    []string
}

// numberedJob returns the job with a number. Every longJobEvery-th has one long task.
func numberedJob(n int) job {
	id := fmt.Sprintf("%016x", n)
	if n%longJobEvery != 0 {
		return job{id, jobBody, []string{".0.0.0", ".0.0.1", ".0.1.0"}}
	}
	d := minLongTask + time.Duration(n/longJobEvery)*longTaskStep%(maxLongTask-minLongTask+longTaskStep)
	return job{id, fmt.Sprintf(longJobBody, fleetplatform.SpecTakes(d), d.Milliseconds()), []string{".0.0.0"}}
}

// submitJobs submits jobs until stop is closed. Each is submitted until it is accepted
// or not, so that a refusal is final; some that were accepted are submitted again seconds
// later, as if by another attempt of the client. One job has service tasks that fail
// after each start, so that its progress changes all the time.
func (s *soakRun) submitJobs(stop <-chan struct{}) {
	s.call(s.hosts[0], http.MethodPost, failingJobID, strings.NewReader(failingJobBody), nil)
	var accepted []job
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(submitInterval):
		}
		j := numberedJob(n)
		status := s.call(s.hosts[n%len(s.hosts)], http.MethodPost, j.id, strings.NewReader(j.body), nil)
		switch status {
		case http.StatusOK:
			s.accepted[j.id] = j.tasks
			accepted = append(accepted, j)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			s.refused[j.id] = true
		default:
			s.unknownOutcomes++
		}
		if n%repeatEvery == 0 && len(accepted) > repeatAge {
			repeated := accepted[len(accepted)-repeatAge]
			s.call(s.hosts[(n+1)%len(s.hosts)], http.MethodPost, repeated.id, strings.NewReader(repeated.body), nil)
		}
	}
}
