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

// operation is what an operator asks for.
type operation int

const (
	operationGrant operation = iota
	operationReturn
	operationStartWave
	operationStopWave
)

// message is what the duty maintenance.plan receives; one field is set.
type message struct {
	request    *request
	callResult *callResult
}

// request is an operator's request with the ring for its one answer.
type request struct {
	ctx       context.Context
	operation operation
	changeID  string
	host      string
	cause     budget.Cause
	toPool    string
	wave      budget.Wave
	reply     *ring.Ring[answer]
}

type answer struct {
	entry budget.LedgerEntry
	wave  budget.Wave
	err   error
}

func (p *planner) receive(ctx context.Context, m message) {
	switch {
	case m.callResult != nil:
		p.recordCallResult(*m.callResult)
	case m.request.ctx.Err() != nil:
		// The requester has gone and was told that the outcome is unknown.
		p.service.countRefusal(fault.ReasonDeadline)
	default:
		m.request.reply.Offer(p.serve(ctx, m.request))
	}
}

// serve decides r on the newest view and commits it, again from a fresh view
// after each conflict.
func (p *planner) serve(ctx context.Context, r *request) answer {
	var a answer
	limited, cancel := context.WithTimeout(r.ctx, commitTimeout)
	defer cancel()
	err := p.decideAndCommit(ctx, limited, r.changeID, func(d *budget.Draft) error {
		a = answer{}
		if !d.RecordOperation(r.changeID) {
			a = repeatedAnswer(d, r)
			return errNoChange
		}
		refusal := r.apply(d, &a, p.service.hosts.Hosts())
		if refusal == nil {
			return nil
		}
		p.service.countRefusal(refusal.Reason)
		return fault.New(&fault.NotRun, refusal.Reason, stepPlan, r.host, "%w", refusal)
	})
	if err != nil {
		return answer{err: err}
	}
	return a
}

// repeatedAnswer answers a request that took effect earlier.
func repeatedAnswer(d *budget.Draft, r *request) answer {
	out, _ := d.LedgerEntry(r.host)
	w, _ := d.Wave(r.wave.ID)
	return answer{entry: out, wave: w}
}

// apply decides r on d and fills in a.
func (r *request) apply(d *budget.Draft, a *answer, list *fleet.HostList) (refusal *budget.Refusal) {
	switch r.operation {
	case operationGrant:
		a.entry, refusal = d.Grant(budget.Request{Host: r.host, Cause: r.cause, MoveTo: r.toPool})
	case operationReturn:
		a.entry, refusal = d.Return(r.host)
	case operationStartWave:
		a.wave = budget.Wave{ID: r.wave.ID, Pool: r.wave.Pool, MaxParallel: r.wave.MaxParallel, MaxFailed: r.wave.MaxFailed}
		a.wave.Pending = waveHosts(d, r.wave, list)
		refusal = d.StartWave(a.wave)
	case operationStopWave:
		refusal = d.StopWave(r.wave.ID, r.wave.StopReason)
	}
	return refusal
}

// waveHosts returns the hosts of a new wave in order: those that w names, or
// all of its pool.
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
