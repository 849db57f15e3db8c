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
	request *request
	called  *called
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
	out  budget.LedgerEntry
	wave budget.Wave
	err  error
}

func (p *planner) receive(ctx context.Context, m message) {
	switch {
	case m.called != nil:
		p.recordCall(*m.called)
	case m.request.ctx.Err() != nil:
		// The requester has gone and was told that the outcome is unknown.
		p.s.refused(fault.ReasonDeadline)
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
	err := p.change(ctx, limited, r.changeID, func(d *budget.Draft) error {
		a = answer{}
		if !d.RecordOperation(r.changeID) {
			a = repeated(d, r)
			return errNothing
		}
		refusal := r.apply(d, &a, p.s.hosts.Hosts())
		if refusal == nil {
			return nil
		}
		p.s.refused(refusal.Reason)
		return fault.New(&fault.NotRun, refusal.Reason, stepPlan, r.host, "%w", refusal)
	})
	if err != nil {
		return answer{err: err}
	}
	return a
}

// repeated answers a request that took effect earlier.
func repeated(d *budget.Draft, r *request) answer {
	out, _ := d.LedgerEntry(r.host)
	w, _ := d.Wave(r.wave.ID)
	return answer{out: out, wave: w}
}

// apply decides r on d and fills in a.
func (r *request) apply(d *budget.Draft, a *answer, list *fleet.HostList) (refusal *budget.Refusal) {
	switch r.operation {
	case operationGrant:
		a.out, refusal = d.Grant(budget.Request{Host: r.host, Cause: r.cause, MoveTo: r.toPool})
	case operationReturn:
		a.out, refusal = d.Return(r.host)
	case operationStartWave:
		a.wave = budget.Wave{ID: r.wave.ID, Pool: r.wave.Pool, MaxParallel: r.wave.MaxParallel, MaxFailed: r.wave.MaxFailed}
		a.wave.Pending = pending(d, r.wave, list)
		refusal = d.StartWave(a.wave)
	case operationStopWave:
		refusal = d.StopWave(r.wave.ID, r.wave.StopReason)
	}
	return refusal
}

// pending returns the hosts of a new wave in order: those that w names, or
// all of its pool.
func pending(d *budget.Draft, w budget.Wave, list *fleet.HostList) []string {
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
