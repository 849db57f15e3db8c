package measure

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/fairqueue"
	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
)

// admission queues the waiting requests of one entry host and enforces its
// portion of the teams' limits.
type admission interface {
	admit(r *request, now time.Time) fault.Reason
	// next returns the request that starts next, already counted as running,
	// or nil. free is the estimate of free slots of the service.
	next(service, slots, free int, now time.Time) *request
	// requeue puts a request that did not run back at the front of its queue.
	requeue(r *request, now time.Time)
	requestEnded(r *request, now time.Time)
	expire(now time.Time) []*request
	teamLoad(team int) (running, waiting int)
	// hasWaiting reports whether any request waits for the service.
	hasWaiting(service int) bool
}

// fifoAdmission starts requests in order of arrival and splits each limit evenly
// over the entry hosts. It skips teams that have reached their portion.
type fifoAdmission struct {
	deployment deployment
	waiting    [][][]*request // by service and team, oldest first
	running    []int
}

func newFIFOAdmission(d deployment) *fifoAdmission {
	f := &fifoAdmission{deployment: d, running: make([]int, len(d.teams))}
	for range d.servers {
		f.waiting = append(f.waiting, make([][]*request, len(d.teams)))
	}
	return f
}

func (f *fifoAdmission) admit(r *request, _ time.Time) fault.Reason {
	if len(f.waiting[r.service][r.team]) >= maxWaiting {
		return fault.ReasonQueueFull
	}
	f.waiting[r.service][r.team] = append(f.waiting[r.service][r.team], r)
	return ""
}

func (f *fifoAdmission) next(service, _, free int, _ time.Time) *request {
	if free <= 0 {
		return nil
	}
	oldest := -1
	queues := f.waiting[service]
	for t, queue := range queues {
		if len(queue) == 0 || f.running[t] >= max(1, f.deployment.teams[t].limit/f.deployment.entryHosts) {
			continue
		}
		if oldest < 0 || queue[0].arrived.Before(queues[oldest][0].arrived) {
			oldest = t
		}
	}
	if oldest < 0 {
		return nil
	}
	r := queues[oldest][0]
	queues[oldest] = queues[oldest][1:]
	f.running[oldest]++
	return r
}

func (f *fifoAdmission) requeue(r *request, _ time.Time) {
	f.running[r.team]--
	queue := &f.waiting[r.service][r.team]
	*queue = append([]*request{r}, *queue...)
}

func (f *fifoAdmission) requestEnded(r *request, _ time.Time) { f.running[r.team]-- }

func (f *fifoAdmission) expire(now time.Time) []*request {
	var expired []*request
	for s := range f.waiting {
		for t, queue := range f.waiting[s] {
			for len(queue) > 0 && !now.Before(queue[0].deadline) {
				expired = append(expired, queue[0])
				queue = queue[1:]
			}
			f.waiting[s][t] = queue
		}
	}
	return expired
}

func (f *fifoAdmission) teamLoad(team int) (running, waiting int) {
	for s := range f.waiting {
		waiting += len(f.waiting[s][team])
	}
	return f.running[team], waiting
}

func (f *fifoAdmission) hasWaiting(service int) bool {
	for _, queue := range f.waiting[service] {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// fairAdmission admits requests with decision/fairqueue and decision/rights.
type fairAdmission struct {
	deployment deployment
	scheduler  *fairqueue.Scheduler
	ledger     *rights.Ledger
	// onShortage is called when the host needs more rights of a team.
	onShortage    func(team int)
	waitingByTeam []int
	// waitingByService is the number of waiting requests of each service.
	waitingByService []int
	// queueNames holds the queue names by service and team.
	queueNames [][]string
	// entries maps each waiting or running request to its queue entry.
	entries map[*request]*fairqueue.Entry
}

func newFairAdmission(d deployment, self rights.Holder, now time.Time, onShortage func(team int)) *fairAdmission {
	f := &fairAdmission{
		deployment: d, scheduler: fairqueue.New(), ledger: rights.NewLedger(self, now), onShortage: onShortage,
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

// unblock lets a team start requests again once it has a free right.
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
