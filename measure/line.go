package measure

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/fairqueue"
	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
)

// admission orders the waiting requests of one entry host and holds its part
// of the teams' limits.
type admission interface {
	admit(r *request, now time.Time) fault.Reason
	// next returns the request that starts next, already counted as running,
	// or nil. free is the estimate of free slots of the service.
	next(service, slots, free int, now time.Time) *request
	// putBack returns a request that was not run to the front.
	putBack(r *request, now time.Time)
	ended(r *request, now time.Time)
	expire(now time.Time) []*request
	work(team int) (running, waiting int)
	// waits reports whether requests of a service wait.
	waits(service int) bool
}

// plain serves first come first served, and splits each limit evenly over the
// entry hosts. Requests of a team at its part of the limit are passed over.
type plain struct {
	d       deployment
	waiting [][][]*request // by service and team, oldest first
	running []int
}

func newPlain(d deployment) *plain {
	p := &plain{d: d, running: make([]int, len(d.teams))}
	for range d.servers {
		p.waiting = append(p.waiting, make([][]*request, len(d.teams)))
	}
	return p
}

func (p *plain) admit(r *request, _ time.Time) fault.Reason {
	if len(p.waiting[r.service][r.team]) >= maxWaiting {
		return fault.ReasonQueueFull
	}
	p.waiting[r.service][r.team] = append(p.waiting[r.service][r.team], r)
	return ""
}

func (p *plain) next(service, _, free int, _ time.Time) *request {
	if free <= 0 {
		return nil
	}
	best := -1
	lines := p.waiting[service]
	for t, line := range lines {
		if len(line) == 0 || p.running[t] >= max(1, p.d.teams[t].limit/p.d.entryHosts) {
			continue
		}
		if best < 0 || line[0].arrived.Before(lines[best][0].arrived) {
			best = t
		}
	}
	if best < 0 {
		return nil
	}
	r := lines[best][0]
	lines[best] = lines[best][1:]
	p.running[best]++
	return r
}

func (p *plain) putBack(r *request, _ time.Time) {
	p.running[r.team]--
	line := &p.waiting[r.service][r.team]
	*line = append([]*request{r}, *line...)
}

func (p *plain) ended(r *request, _ time.Time) { p.running[r.team]-- }

func (p *plain) expire(now time.Time) []*request {
	var expired []*request
	for s := range p.waiting {
		for t, line := range p.waiting[s] {
			for len(line) > 0 && !now.Before(line[0].deadline) {
				expired = append(expired, line[0])
				line = line[1:]
			}
			p.waiting[s][t] = line
		}
	}
	return expired
}

func (p *plain) work(team int) (running, waiting int) {
	for s := range p.waiting {
		waiting += len(p.waiting[s][team])
	}
	return p.running[team], waiting
}

func (p *plain) waits(service int) bool {
	for _, line := range p.waiting[service] {
		if len(line) > 0 {
			return true
		}
	}
	return false
}

// fair uses decision/fairqueue and decision/rights.
type fair struct {
	d      deployment
	set    *fairqueue.Scheduler
	ledger *rights.Ledger
	// lack is told when the host needs rights of a team.
	lack    func(team int)
	waiting []int
	// queued is the number of waiting requests of each service.
	queued []int
	// queues are the names of the queues by service and team.
	queues [][]string
	// entries holds the queue entry of each waiting or running request.
	entries map[*request]*fairqueue.Entry
}

func newFair(d deployment, self rights.Holder, now time.Time, lack func(team int)) *fair {
	f := &fair{
		d: d, set: fairqueue.New(), ledger: rights.NewLedger(self, now), lack: lack,
		waiting: make([]int, len(d.teams)), queued: make([]int, len(d.servers)),
		entries: make(map[*request]*fairqueue.Entry),
	}
	for s := range d.servers {
		var names []string
		for _, t := range d.teams {
			names = append(names, serviceName(s)+"/"+t.name)
		}
		f.queues = append(f.queues, names)
	}
	return f
}

func (f *fair) admit(r *request, now time.Time) fault.Reason {
	team := f.d.teams[r.team]
	e, reason := f.set.Admit(fairqueue.Request{
		Queue: f.queues[r.service][r.team], Team: team.name, Pool: serviceName(r.service),
		Class: team.class, Share: team.share, MaxWaiting: maxWaiting, Deadline: r.deadline,
	}, r, now)
	if reason != "" {
		return reason
	}
	f.entries[r] = e
	f.wait(r, 1, now)
	return ""
}

func (f *fair) wait(r *request, n int, now time.Time) {
	team := r.team
	f.waiting[team] += n
	f.queued[r.service] += n
	name := f.d.teams[team].name
	f.ledger.SetWaiting(now, name, f.waiting[team])
	if f.ledger.NeedsBalancing(name) {
		f.lack(team)
	}
}

func (f *fair) next(service, slots, free int, now time.Time) *request {
	for {
		e := f.set.Next(fairqueue.Pool{Name: serviceName(service), Slots: slots, Free: free, HasUrgentQueue: true})
		if e == nil {
			return nil
		}
		r := e.Value.(*request)
		if f.ledger.Acquire(now, e.Team, 1) != "" {
			f.set.Block(e.Team)
			f.lack(r.team)
			continue
		}
		f.set.Start(e, now)
		f.wait(r, -1, now)
		return r
	}
}

func (f *fair) putBack(r *request, now time.Time) {
	f.release(r, now)
	f.set.Requeue(f.entries[r], now)
	f.wait(r, 1, now)
}

func (f *fair) ended(r *request, now time.Time) {
	f.release(r, now)
	delete(f.entries, r)
}

func (f *fair) release(r *request, now time.Time) {
	name := f.d.teams[r.team].name
	f.set.RequestEnded(name)
	f.ledger.Release(now, name, 1)
	f.unblock(name)
}

// unblock lets a team start again once it has a free right.
func (f *fair) unblock(team string) {
	if f.ledger.ClearRefusalIfAvailable(team) {
		f.set.Unblock(team)
	}
}

func (f *fair) expire(now time.Time) []*request {
	var expired []*request
	for _, e := range f.set.Expire(now) {
		r := e.Value.(*request)
		delete(f.entries, r)
		f.wait(r, -1, now)
		expired = append(expired, r)
	}
	return expired
}

func (f *fair) work(team int) (running, waiting int) {
	return f.set.Running(f.d.teams[team].name), f.waiting[team]
}

func (f *fair) waits(service int) bool { return f.queued[service] > 0 }
