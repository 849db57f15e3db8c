package e2e

import (
	"fmt"
	"slices"
	"time"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// evidence is what the checker judges: what backend servers really ran, and
// what callers and operators were told.
type evidence struct {
	executions *wirev1.ListExecutionsResponse
	told       []told
	// nonIdempotent holds the identifiers of requests that may run once.
	nonIdempotent map[string]bool
	// limits by team, in force during the whole run.
	limits map[string]int32
	// queueTeam is the only team whose work each queue may run.
	queueTeam map[string]string
	// withdrawnAt is when the withdrawal of all keys of a team was reported
	// to the operator as in force.
	withdrawnAt map[string]time.Time
	// leftAt is when a backend server was marked as leaving.
	leftAt map[string]time.Time
	// revisions are the revisions that each host showed, in order.
	revisions map[string][]uint64
}

const (
	// withdrawnWithin is the time after which a withdrawn key runs nothing.
	withdrawnWithin = 4 * time.Second
	// leavingWithin is the time after which a leaving server gets nothing.
	leavingWithin = 3 * time.Second
)

// violations returns every broken guarantee, one line each.
func (e *evidence) violations() []string {
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	runs := map[string][]time.Time{}
	for _, x := range e.executions.Executions {
		runs[x.RequestId] = append(runs[x.RequestId], time.UnixMicro(x.StartUnixUs))
		e.judgeExecution(x, report)
	}
	for id, starts := range runs {
		if n := len(starts); e.nonIdempotent[id] && n > 1 {
			report("request %s ran %d times", id, n)
		}
	}
	attempts := map[string][]told{}
	for _, t := range e.told {
		attempts[t.id] = append(attempts[t.id], t)
	}
	for _, t := range e.told {
		e.judgeAnswer(t, runs[t.id], attempts[t.id], report)
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

func (e *evidence) judgeExecution(x *wirev1.Execution, report func(string, ...any)) {
	if x.Job {
		return
	}
	started := time.UnixMicro(x.StartUnixUs)
	if want := e.queueTeam[x.Queue]; x.Team != want {
		report("queue %s ran request %s of team %s, want %s", x.Queue, x.RequestId, x.Team, want)
	}
	if at, ok := e.withdrawnAt[x.Team]; ok && started.After(at.Add(withdrawnWithin)) {
		report("request %s ran %v after the key was withdrawn", x.RequestId, started.Sub(at))
	}
	if at, ok := e.leftAt[x.Server]; ok && started.After(at.Add(leavingWithin)) {
		report("server %s got request %s %v after it was leaving", x.Server, x.RequestId, started.Sub(at))
	}
}

func (e *evidence) judgeAnswer(t told, starts []time.Time, attempts []told, report func(string, ...any)) {
	switch t.outcome {
	case "not-run":
		for _, start := range starts {
			if !startedByLaterAttempt(t, start, attempts) {
				report("request %s was told not-run (%s) by %s at %s and ran at %s", t.id, t.reason, t.host, clock(t.at), clock(start))
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
func startedByLaterAttempt(t told, start time.Time, attempts []told) bool {
	if start.Before(t.at.Truncate(time.Microsecond)) {
		return false
	}
	for _, later := range attempts {
		sent := later.sent.Truncate(time.Microsecond)
		if !later.sent.Before(t.at) && !start.Before(sent) {
			return true
		}
	}
	return false
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
