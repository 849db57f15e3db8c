package maintenance

import (
	"context"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
)

// operation is the kind of an operator's request.
type operation int

const (
	operationGrant operation = iota
	operationReturn
	operationStartWave
	operationStopWave
)

// message is an input of the duty maintenance.plan; exactly one field is set.
type message struct {
	request    *request
	callResult *callResult
}

// request is an operator's request; its only result goes to reply.
type request struct {
	ctx       context.Context
	operation operation
	changeID  string
	host      string
	cause     budget.Cause
	toPool    string
	wave      budget.Wave
	reply     *ring.Ring[requestResult]
}

type requestResult struct {
	entry budget.LedgerEntry
	wave  budget.Wave
	err   error
}

func (p *planner) receive(ctx context.Context, m message) {
	switch {
	case m.callResult != nil:
		p.recordCallResult(*m.callResult)
	case m.request.ctx.Err() != nil:
		// The requester no longer waits and was told that the outcome is unknown.
		p.service.countRefusal(fault.ReasonDeadline)
	default:
		m.request.reply.Offer(p.serve(ctx, m.request))
	}
}

// serve decides r on the newest view and commits the outcome. After a conflict
// it decides again on a fresh view.
func (p *planner) serve(ctx context.Context, r *request) requestResult {
	var result requestResult
	commitCtx, cancel := context.WithTimeout(r.ctx, commitTimeout)
	defer cancel()
	err := p.decideAndCommit(ctx, commitCtx, r.changeID, func(d *budget.Draft) error {
		result = requestResult{}
		if !d.RecordOperation(r.changeID) {
			result = repeatedResult(d, r)
			return errNoChange
		}
		refusal := r.apply(d, &result, p.service.hosts.Hosts())
		if refusal == nil {
			return nil
		}
		p.service.countRefusal(refusal.Reason)
		return fault.New(&fault.NotRun, refusal.Reason, stepPlan, r.host, "%w", refusal)
	})
	if err != nil {
		return requestResult{err: err}
	}
	return result
}

// repeatedResult returns the result of a request that has already taken effect.
func repeatedResult(d *budget.Draft, r *request) requestResult {
	entry, _ := d.LedgerEntry(r.host)
	w, _ := d.Wave(r.wave.ID)
	return requestResult{entry: entry, wave: w}
}

// apply carries out r on d and fills in result.
func (r *request) apply(d *budget.Draft, result *requestResult, list *fleet.HostList) (refusal *budget.Refusal) {
	switch r.operation {
	case operationGrant:
		result.entry, refusal = d.Grant(budget.Request{Host: r.host, Cause: r.cause, MoveTo: r.toPool})
	case operationReturn:
		result.entry, refusal = d.Return(r.host)
	case operationStartWave:
		result.wave = budget.Wave{ID: r.wave.ID, Pool: r.wave.Pool, MaxParallel: r.wave.MaxParallel, MaxFailed: r.wave.MaxFailed}
		result.wave.Pending = waveHosts(d, r.wave, list)
		refusal = d.StartWave(result.wave)
	case operationStopWave:
		refusal = d.StopWave(r.wave.ID, r.wave.StopReason)
	}
	return refusal
}

// waveHosts returns the hosts of a new wave in the order in which it takes them:
// those of its pool that w.Pending names, or all if it names none.
func waveHosts(d *budget.Draft, w budget.Wave, list *fleet.HostList) []string {
	var members []fleet.Host
	for _, h := range list.Hosts {
		pool, ok := d.Pool(h.Name)
		named := len(w.Pending) == 0 || slices.Contains(w.Pending, h.Name)
		if ok && pool == w.Pool && named {
			members = append(members, h)
		}
	}
	return wave.HostOrder(members)
}
