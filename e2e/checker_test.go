package e2e

import (
	"fmt"
	"slices"
	"time"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// observations is what the checker judges: what backend servers really ran, and
// what callers and operators were told.
type observations struct {
	executions  *wirev1.ListExecutionsResponse
	callResults []callResult
	// runAtMostOnce holds the identifiers of requests that may run once.
	runAtMostOnce map[string]bool
	// limits by team, in force during the whole run.
	limits map[string]int32
	// queueTeam is the only team whose work each queue may run.
	queueTeam map[string]string
	// keysWithdrawnAt is when the withdrawal of all keys of a team was reported
	// to the operator as in force.
	keysWithdrawnAt map[string]time.Time
	// leavingSince is when a backend server was marked as leaving.
	leavingSince map[string]time.Time
	// revisions are the revisions that each host showed, in order.
	revisions map[string][]uint64
}

const (
	// maxWithdrawalDelay is the time after which a withdrawn key runs nothing.
	maxWithdrawalDelay = 4 * time.Second
	// maxLeavingDelay is the time after which a leaving server gets nothing.
	maxLeavingDelay = 3 * time.Second
)

// violations returns every broken guarantee, one line each.
func (e *observations) violations() []string {
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	runs := map[string][]time.Time{}
	for _, x := range e.executions.Executions {
		runs[x.RequestId] = append(runs[x.RequestId], time.UnixMicro(x.StartUnixUs))
		e.checkExecution(x, report)
	}
	for id, starts := range runs {
		if n := len(starts); e.runAtMostOnce[id] && n > 1 {
			report("request %s ran %d times", id, n)
		}
	}
	attempts := map[string][]callResult{}
	for _, t := range e.callResults {
		attempts[t.id] = append(attempts[t.id], t)
	}
	for _, t := range e.callResults {
		e.checkResult(t, runs[t.id], attempts[t.id], report)
	}
	for team, limit := range e.limits {
		if peak := e.executions.PeakByTeam[team]; peak > limit {
			report("team %s had %d running, over its limit of %d", team, peak, limit)
		}
	}
	for host, revisions := range e.revisions {
		if !slices.IsSorted(revisions) {
			report("host %s went back: %v", host, revisions)
		}
	}
	return out
}

func (e *observations) checkExecution(x *wirev1.Execution, report func(string, ...any)) {
	if x.Job {
		return
	}
	started := time.UnixMicro(x.StartUnixUs)
	if want := e.queueTeam[x.Queue]; x.Team != want {
		report("queue %s ran request %s of team %s, want %s", x.Queue, x.RequestId, x.Team, want)
	}
	if at, ok := e.keysWithdrawnAt[x.Team]; ok && started.After(at.Add(maxWithdrawalDelay)) {
		report("request %s ran %v after the key was withdrawn", x.RequestId, started.Sub(at))
	}
	if at, ok := e.leavingSince[x.Server]; ok && started.After(at.Add(maxLeavingDelay)) {
		report("server %s got request %s %v after it was leaving", x.Server, x.RequestId, started.Sub(at))
	}
}

func (e *observations) checkResult(t callResult, starts []time.Time, attempts []callResult, report func(string, ...any)) {
	switch t.outcome {
	case "not-run":
		for _, start := range starts {
			if !startedByLaterAttempt(t, start, attempts) {
				report("request %s was told not-run (%s) by %s at %s and ran at %s", t.id, t.reason, t.host, formatTime(t.answeredAt), formatTime(start))
			}
		}
	case "done":
		if t.reply.Echo != t.echo {
			report("request %s with body %q got the answer to %q", t.id, t.echo, t.reply.Echo)
		}
		if len(starts) == 0 {
			report("request %s was answered and never ran", t.id)
		}
	}
}

// startedByLaterAttempt reports whether a run began after the caller had been
// told not-run and had asked again under the same identifier. Such a run
// belongs to the later attempt and does not make the refusal untrue.
func startedByLaterAttempt(t callResult, start time.Time, attempts []callResult) bool {
	if start.Before(t.answeredAt.Truncate(time.Microsecond)) {
		return false
	}
	for _, later := range attempts {
		sent := later.sentAt.Truncate(time.Microsecond)
		if !later.sentAt.Before(t.answeredAt) && !start.Before(sent) {
			return true
		}
	}
	return false
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
