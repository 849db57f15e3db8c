//go:build review

package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one run of a work item on one life of an executor.
type run struct {
	Task     string
	Attempt  int
	Executor string
	Service  string
	Start    time.Time
	// End is zero while the run is in progress.
	End time.Time
	How string

	bornMs   int64
	number   int64
	expected time.Duration
	// noted is set when last-seen has reached the end; lapsed when the lease ended
	// between the end and that.
	noted, lapsed bool
	notedAt       time.Time
}

// recorder writes what was sent, answered and run, and keeps all runs for the
// check at the end.
type recorder struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	runs []*run
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{startedAt: time.Now(), file: file}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes one line. The caller holds r.mu.
func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

func (r *recorder) startRun(e *executor, task string, attempt int) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := &run{Task: task, Attempt: attempt, Executor: e.id, Service: e.service, Start: time.Now(), bornMs: e.bornMs()}
	r.runs = append(r.runs, started)
	r.write("run begins: %v", started)
	return started
}

func (r *recorder) endRun(ended *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended.End, ended.How = time.Now(), how
	r.write("run ends %s: %v", how, ended)
}

func (r *recorder) markNoted(ended *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ended.noted {
		ended.noted, ended.notedAt = !ended.lapsed, time.Now()
	}
}

func (r *recorder) markLapsed(ended *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended.lapsed = true
}

// snapshot returns copies of all runs.
func (r *recorder) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]run, len(r.runs))
	for i := range r.runs {
		runs[i] = *r.runs[i]
	}
	return runs
}

// minOverlap is how long two runs must have been in progress together to count as
// being so at the same time.
const minOverlap = 50 * time.Millisecond

// twice returns the breaches of the rule TWICE: two runs of one work item at the
// same time on executors that are up, or a start after a run has ended done, if
// that end is taken note of. The runs of a life end when it crashes.
func twice(runs []run, now time.Time) []string {
	byTask := make(map[string][]*run)
	for i := range runs {
		byTask[runs[i].Task] = append(byTask[runs[i].Task], &runs[i])
	}
	var found []string
	for _, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if d := overlap(a, b, now); d >= minOverlap {
					found = append(found, fmt.Sprintf("two runs at the same time for %.2f s: %v, and %v", d.Seconds(), a, b))
				}
				if a.How == "done" && a.noted && b.Start.After(a.End) {
					found = append(found, fmt.Sprintf("start after a run has ended done and its end was taken note of: %v, then %v", a, b))
				}
			}
		}
	}
	return found
}

func overlap(a, b *run, now time.Time) time.Duration {
	begin, end := a.Start, now
	if b.Start.After(begin) {
		begin = b.Start
	}
	for _, r := range []*run{a, b} {
		if !r.End.IsZero() && r.End.Before(end) {
			end = r.End
		}
	}
	return end.Sub(begin)
}
