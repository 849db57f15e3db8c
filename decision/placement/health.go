package placement

import "slices"

// UnhealthyAfter is the number of latest starts on a worker, each of a different
// job, that must all have failed for the worker to get no more work.
const UnhealthyAfter = 5

// Health remembers the outcomes of the latest starts on each worker. It is
// not safe for concurrent use.
type Health struct {
	workers map[string][]outcome
}

type outcome struct {
	job    string
	failed bool
}

// NewHealth returns an empty Health.
func NewHealth() *Health { return &Health{workers: make(map[string][]outcome)} }

// Record adds the outcome of a start and reports whether the worker has
// become bad by it. A repeated failure of one job counts once, because the
// job may be the cause.
func (h *Health) Record(worker, job string, failed bool) (turnedBad bool) {
	wasBad := h.Unhealthy(worker)
	latest := slices.DeleteFunc(h.workers[worker], func(o outcome) bool { return o.job == job })
	latest = append(latest, outcome{job, failed})
	if extra := len(latest) - UnhealthyAfter; extra > 0 {
		latest = latest[extra:]
	}
	h.workers[worker] = latest
	return !wasBad && h.Unhealthy(worker)
}

// Unhealthy reports whether the last UnhealthyAfter starts on worker all failed.
func (h *Health) Unhealthy(worker string) bool {
	latest := h.workers[worker]
	if len(latest) < UnhealthyAfter {
		return false
	}
	return !slices.ContainsFunc(latest, func(o outcome) bool { return !o.failed })
}

// Forget clears what is known of a worker, for one that came back from
// maintenance.
func (h *Health) Forget(worker string) { delete(h.workers, worker) }
