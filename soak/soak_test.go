// Package soak runs the daemon as separate processes against the stand-in of the
// users' platform, injects faults from outside in random series that overlap,
// and checks the promises from what clients and executors see.
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
	// settleTimeout is how long after the last fault every accepted job has to be
	// complete: a takeover, the leases of earlier owners, and the work itself.
	settleTimeout  = 40 * time.Second
	submitInterval = 60 * time.Millisecond
)

// TestSoak guards against lost, repeated and overlapping work under faults that
// come in series and overlap.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fuchsiafrontd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/fuchsiafrontd").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	s := newSoakRun(t, binary, *seed, *hostCount)
	s.waitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.submitJobs(stop) })
	s.injectFaults(*faultDuration)
	close(stop)
	clients.Wait()
	s.restartHosts()
	s.checkGuarantees()
}

// fault is one kind of trouble. It returns how to end it.
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
			s.fleet.Executor(id).SetLoseReplies(true)
			return func() { s.fleet.Executor(id).SetLoseReplies(false) }
		}},
		{"configuration changes", func() func() {
			s.configurationVersion++
			s.fleet.Configure(s.configurationVersion, testHost, testPrefix, testKey, fmt.Sprintf("key-%d", s.configurationVersion))
			return func() {}
		}},
		{"entry of another writer", func() func() {
			s.fleet.Store.PutBytes("servers", "", "i-other", []byte("{"))
			return func() { s.fleet.Store.Remove("servers", "", "i-other") }
		}},
	}...)
}

// injectFaults injects faults until d has passed. Up to three overlap.
func (s *soakRun) injectFaults(d time.Duration) {
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
				lasts := time.Duration(s.random.Int64N(int64(4 * time.Second)))
				s.t.Logf("%s for %v", f.name, lasts)
				open = append(open, active{f.name, time.Now().Add(lasts), f.inject()})
			}
		}
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
	for _, a := range open {
		a.end()
	}
}

// restartHosts brings all processes back.
func (s *soakRun) restartHosts() {
	for _, h := range s.hosts {
		h.ensureRunning()
	}
	s.waitReady()
}

// checkGuarantees asserts the promises.
func (s *soakRun) checkGuarantees() {
	s.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for id := range s.accepted {
		for {
			state := s.jobState(id)
			if state == "completed" {
				break
			}
			assert.Assert(s.t, time.Now().Before(deadline), "seed %d: accepted job %s is %q", *seed, id, state)
			time.Sleep(50 * time.Millisecond)
		}
	}
	runs := s.fleet.Recorder.Runs()
	assert.Equal(s.t, len(fleetplatform.Overlaps(runs)), 0, "seed %d: %v", *seed, fleetplatform.Overlaps(runs))
	done := make(map[string]int)
	noted := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[fleetplatform.JobOf(r.Task)] = true
		if r.Ending == "done" {
			done[r.Task]++
		}
		if r.Ending == "done" && r.EndAckedInLease {
			noted[r.Task]++
		}
	}
	for task, n := range noted {
		assert.Assert(s.t, n == 1, "seed %d: task %s was done %d times", *seed, task, n)
	}
	for id := range s.accepted {
		for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0"} {
			assert.Assert(s.t, done[id+task] > 0, "seed %d: job %s is completed, its task %s was never done", *seed, id, task)
		}
	}
	for id := range s.refused {
		assert.Assert(s.t, !ran[id], "seed %d: job %s was refused and has run", *seed, id)
	}
	assert.Assert(s.t, len(s.accepted) > 0, "nothing was accepted")
	s.t.Logf("seed %d: %d accepted, %d refused for good, %d unknown, %d runs, %d transactions",
		*seed, len(s.accepted), len(s.refused), s.unknownOutcomes, len(runs), s.fleet.Store.CommitCount())
}

// submitJobs hands in jobs until stop is closed. Each is tried once, so that a
// refusal is the last word about it.
func (s *soakRun) submitJobs(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(submitInterval):
		}
		id := fmt.Sprintf("%016x", n)
		status := s.call(s.hosts[n%len(s.hosts)], http.MethodPost, id, strings.NewReader(jobBody), nil)
		switch status {
		case http.StatusOK:
			s.accepted[id] = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			s.refused[id] = true
		default:
			s.unknownOutcomes++
		}
	}
}
