//go:build review

// Package standin runs one case of the review: it serves stand-ins of the store, of
// the executors and of the clients, starts the project's daemons as separate
// processes, and checks one rule by what these stand-ins have seen. It is built as a
// test program (review/build.sh), and is called by the scripts of the cases:
//
//	target/review-standin CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not
// run. With TROUBLE=0 the case runs without its disruption.
package standin

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"testing"
	"time"
)

// timeLimit is how long a case may take; a script has 120 s.
const timeLimit = 112 * time.Second

// defaultLinkMbps is bandwidth-mbps of the small sites.
const defaultLinkMbps = 1000

// guard ends the case, with its daemons, when it takes too long or is stopped.
func (d *deployment) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	d.killDaemons()
	fmt.Fprintln(os.Stderr, "could not run: stopped, or not done within", timeLimit)
	os.Exit(2)
}

// scenario is one case. It returns the breaches of the rule.
type scenario struct {
	services   []string
	executors  int
	behaviours map[string]behaviour
	// linkMbps is the bandwidth of the daemons' links; zero means that of small sites.
	linkMbps float64
	run      func(*deployment) ([]string, error)
}

var scenarios = map[string]scenario{
	"failing-service": failingService,
	"moved-route":     movedRoute,
	"reborn-executor": rebornExecutor,
	"odd-entry":       oddEntry,
	"renamed-route":   renamedRoute,
	"long-labels":     longLabels,
	"slow-link":       slowLink,
}

// TestMain plays a case instead of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	breaches, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case len(breaches) > 0:
		fmt.Printf("rule broken, %d times; the first: %s\n", len(breaches), breaches[0])
		os.Exit(1)
	}
	fmt.Println("rule held")
	os.Exit(0)
}

func play(name, recordPath string, trouble bool) ([]string, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("no case %q", name)
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	defer record.file.Close()
	d, platform, err := newDeployment(record, s.behaviours, trouble)
	if err != nil {
		return nil, err
	}
	defer d.close()
	d.linkMbps = cmp.Or(s.linkMbps, defaultLinkMbps)
	go d.guard()
	d.configure(1, s.services, route("r-1", s.services[0]))
	for _, service := range s.services {
		for n := range s.executors {
			d.fleet.start(fmt.Sprintf("i-%s-%d", service, n+1), service, "kind-"+service, "")
		}
	}
	if err := d.startDaemons(2, platform); err != nil {
		return nil, err
	}
	breaches, err := s.run(d)
	slices.Sort(breaches)
	for _, b := range breaches {
		record.log("RULE BROKEN: %s", b)
	}
	record.log("end: %d breaches, error %v", len(breaches), err)
	return breaches, err
}

// warmUp runs a first job, so that the pools have owners which know the executors.
func warmUp(d *deployment, spec string) error {
	id := jobID(0)
	if err := await(readyTimeout, "a first job is accepted", func() bool {
		return d.submit(d.daemons[0], id, job{spec, []step{{Count: 1, CPU: 500, MemoryMB: 128, EstimateMs: 200}}})
	}); err != nil {
		return err
	}
	return await(readyTimeout, "the first job is completed", func() bool {
		time.Sleep(200 * time.Millisecond)
		return d.state(d.daemons[1], id) == "completed"
	})
}
