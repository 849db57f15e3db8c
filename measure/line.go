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
	// requeue returns a request that was not run to the front.
	requeue(r *request, now time.Time)
	requestEnded(r *request, now time.Time)
	expire(now time.Time) []*request
	teamLoad(team int) (running, waiting int)
	// hasWaiting reports whether requests of a service wait.
	hasWaiting(service int) bool
}

// fifoAdmission serves first come first served, and splits each limit evenly over the
// entry hosts. Requests of a team at its part of the limit are passed over.
type fifoAdmission struct {
	deployment deployment
	waiting    [][][]*request // by service and team, oldest first
	running    []int
}

func newFIFOAdmission(d deployment) *fifoAdmission {
	p := &fifoAdmission{deployment: d, running: make([]int, len(d.teams))}
	for range d.servers {
		p.waiting = append(p.waiting, make([][]*request, len(d.teams)))
	}
	return p
}

func (p *fifoAdmission) admit(r *request, _ time.Time) fault.Reason {
	if len(p.waiting[r.service][r.team]) >= maxWaiting {
		return fault.ReasonQueueFull
	}
	p.waiting[r.service][r.team] = append(p.waiting[r.service][r.team], r)
	return ""
}

func (p *fifoAdmission) next(service, _, free int, _ time.Time) *request {
	if free <= 0 {
		return nil
	}
	best := -1
	lines := p.waiting[service]
	for t, line := range lines {
		if len(line) == 0 || p.running[t] >= max(1, p.deployment.teams[t].limit/p.deployment.entryHosts) {
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

func (p *fifoAdmission) requeue(r *request, _ time.Time) {
	p.running[r.team]--
	line := &p.waiting[r.service][r.team]
	*line = append([]*request{r}, *line...)
}

func (p *fifoAdmission) requestEnded(r *request, _ time.Time) { p.running[r.team]-- }

func (p *fifoAdmission) expire(now time.Time) []*request {
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

func (p *fifoAdmission) teamLoad(team int) (running, waiting int) {
	for s := range p.waiting {
		waiting += len(p.waiting[s][team])
	}
	return p.running[team], waiting
}

func (p *fifoAdmission) hasWaiting(service int) bool {
	for _, line := range p.waiting[service] {
		if len(line) > 0 {
			return true
		}
	}
	return false
}

// fairAdmission uses decision/fairqueue and decision/rights.
type fairAdmission struct {
	deployment deployment
	scheduler  *fairqueue.Scheduler
	ledger     *rights.Ledger
	// onShortage is told when the host needs rights of a team.
	onShortage    func(team int)
	waitingByTeam []int
	// waitingByService is the number of waiting requests of each service.
	waitingByService []int
	// queueNames are the names of the queues by service and team.
	queueNames [][]string
	// entries holds the queue entry of each waiting or running request.
	entries map[*request]*fairqueue.Entry
}

func newFairAdmission(d deployment, self rights.Holder, now time.Time, lack func(team int)) *fairAdmission {
	f := &fairAdmission{
		deployment: d, scheduler: fairqueue.New(), ledger: rights.NewLedger(self, now), onShortage: lack,
		waitingByTeam: make([]int, len(d.teams)), waitingByService: make([]int, len(d.servers)),
		entries: make(map[*request]*fairqueue.Entry),
	}
	for s := range d.servers {
		var names []string
		for _, t := range d.teams {
			names = append(names, serviceName(s)+"/"+t.name)
		}
		f.queueNames = append(f.queueNames, names)
	}
	return f
}

func (f *fairAdmission) admit(r *request, now time.Time) fault.Reason {
	team := f.deployment.teams[r.team]
	e, reason := f.scheduler.Admit(fairqueue.Request{
		Queue: f.queueNames[r.service][r.team], Team: team.name, Pool: serviceName(r.service),
		Class: team.class, Share: team.share, MaxWaiting: maxWaiting, Deadline: r.deadline,
	}, r, now)
	if reason != "" {
		return reason
	}
	f.entries[r] = e
	f.addWaiting(r, 1, now)
	return ""
}

func (f *fairAdmission) addWaiting(r *request, n int, now time.Time) {
	team := r.team
	f.waitingByTeam[team] += n
	f.waitingByService[r.service] += n
	name := f.deployment.teams[team].name
	f.ledger.SetWaiting(now, name, f.waitingByTeam[team])
	if f.ledger.NeedsBalancing(name) {
		f.onShortage(team)
	}
}

func (f *fairAdmission) next(service, slots, free int, now time.Time) *request {
	for {
		e := f.scheduler.Next(fairqueue.Pool{Name: serviceName(service), Slots: slots, Free: free, HasUrgentQueue: true})
		if e == nil {
			return nil
		}
		r := e.Value.(*request)
		if f.ledger.Acquire(now, e.Team, 1) != "" {
			f.scheduler.Block(e.Team)
			f.onShortage(r.team)
			continue
		}
		f.scheduler.Start(e, now)
		f.addWaiting(r, -1, now)
		return r
	}
}

func (f *fairAdmission) requeue(r *request, now time.Time) {
	f.release(r, now)
	f.scheduler.Requeue(f.entries[r], now)
	f.addWaiting(r, 1, now)
}

func (f *fairAdmission) requestEnded(r *request, now time.Time) {
	f.release(r, now)
	delete(f.entries, r)
}

func (f *fairAdmission) release(r *request, now time.Time) {
	name := f.deployment.teams[r.team].name
	f.scheduler.RequestEnded(name)
	f.ledger.Release(now, name, 1)
	f.unblock(name)
}

// unblock lets a team start again once it has a free right.
func (f *fairAdmission) unblock(team string) {
	if f.ledger.ClearRefusalIfAvailable(team) {
		f.scheduler.Unblock(team)
	}
}

func (f *fairAdmission) expire(now time.Time) []*request {
	var expired []*request
	for _, e := range f.scheduler.Expire(now) {
		r := e.Value.(*request)
		delete(f.entries, r)
		f.addWaiting(r, -1, now)
		expired = append(expired, r)
	}
	return expired
}

func (f *fairAdmission) teamLoad(team int) (running, waiting int) {
	return f.scheduler.Running(f.deployment.teams[team].name), f.waitingByTeam[team]
}

func (f *fairAdmission) hasWaiting(service int) bool { return f.waitingByService[service] > 0 }
