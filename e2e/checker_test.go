package e2e

import (
	"fmt"
	"slices"
	"time"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// observations holds what the checker compares: what backend servers ran, and the
// replies to callers and operators.
type observations struct {
	executions  *wirev1.ListExecutionsResponse
	callResults []callResult
	// runAtMostOnce holds the identifiers of requests that may run only once.
	runAtMostOnce map[string]bool
	// limits holds the limit of each team, in force during the whole run.
	limits map[string]int32
	// queueTeam maps each queue to the only team whose work it may run.
	queueTeam map[string]string
	// keysWithdrawnAt is when the operator was told that the withdrawal of all
	// keys of a team was accepted.
	keysWithdrawnAt map[string]time.Time
	// leavingSince is when each backend server was marked as leaving.
	leavingSince map[string]time.Time
	// revisions are the revisions that each entry host reported, in order.
	revisions map[string][]uint64
}

const (
	// maxWithdrawalDelay is the time after which no work starts with a withdrawn key.
	maxWithdrawalDelay = 4 * time.Second
	// maxLeavingDelay is the time after which a leaving server gets no request.
	maxLeavingDelay = 3 * time.Second
)

// violations returns every violated guarantee, one line each.
func (o *observations) violations() []string {
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	runs := map[string][]time.Time{}
	for _, x := range o.executions.Executions {
		runs[x.RequestId] = append(runs[x.RequestId], time.UnixMicro(x.StartUnixUs))
		o.checkExecution(x, report)
	}
	for id, starts := range runs {
		if n := len(starts); o.runAtMostOnce[id] && n > 1 {
			report("request %s ran %d times", id, n)
		}
	}
	attempts := map[string][]callResult{}
	for _, r := range o.callResults {
		attempts[r.id] = append(attempts[r.id], r)
	}
	for _, r := range o.callResults {
		o.checkResult(r, runs[r.id], attempts[r.id], report)
	}
	for team, limit := range o.limits {
		if peak := o.executions.PeakByTeam[team]; peak > limit {
			report("team %s had %d requests running at once, over its limit of %d", team, peak, limit)
		}
	}
	for host, revisions := range o.revisions {
		if !slices.IsSorted(revisions) {
			report("entry host %s went back to an earlier revision: %v", host, revisions)
		}
	}
	return out
}

func (o *observations) checkExecution(x *wirev1.Execution, report func(string, ...any)) {
	if x.Job {
		return
	}
	started := time.UnixMicro(x.StartUnixUs)
	if want := o.queueTeam[x.Queue]; x.Team != want {
		report("queue %s ran request %s of team %s, want team %s", x.Queue, x.RequestId, x.Team, want)
	}
	if at, ok := o.keysWithdrawnAt[x.Team]; ok && started.After(at.Add(maxWithdrawalDelay)) {
		report("request %s ran %v after the key was withdrawn", x.RequestId, started.Sub(at))
	}
	if at, ok := o.leavingSince[x.Server]; ok && started.After(at.Add(maxLeavingDelay)) {
		report("server %s ran request %s %v after it was marked as leaving", x.Server, x.RequestId, started.Sub(at))
	}
}

func (o *observations) checkResult(r callResult, starts []time.Time, attempts []callResult, report func(string, ...any)) {
	switch r.outcome {
	case "not-run":
		for _, start := range starts {
			if !startedByLaterAttempt(r, start, attempts) {
				report("request %s got the outcome not-run (%s) from %s at %s, but ran at %s", r.id, r.reason, r.host, formatTime(r.answeredAt), formatTime(start))
			}
		}
	case "done":
		if r.reply.Echo != r.echo {
			report("request %s with body %q got the reply to %q", r.id, r.echo, r.reply.Echo)
		}
		if len(starts) == 0 {
			report("request %s got the outcome done, but never ran", r.id)
		}
	}
}

// startedByLaterAttempt reports whether a run started after the caller got the
// outcome not-run and had retried under the same identifier. Such a run belongs
// to the later attempt and does not contradict the refusal.
func startedByLaterAttempt(refused callResult, start time.Time, attempts []callResult) bool {
	if start.Before(refused.answeredAt.Truncate(time.Microsecond)) {
		return false
	}
	for _, later := range attempts {
		sent := later.sentAt.Truncate(time.Microsecond)
		if !later.sentAt.Before(refused.answeredAt) && !start.Before(sent) {
			return true
		}
	}
	return false
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
