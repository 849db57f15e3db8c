package poolplan

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits and intervals of calls to the advice service.
const (
	// executorsPerAdviseCall is how many executors one call names. The service
	// takes time for each, and the time allowed for a job covers that of 30 per
	// step.
	executorsPerAdviseCall = 30
	// maxAdviseCalls limits the open calls. The service handles one at a time
	// for each host and refuses more than 32.
	maxAdviseCalls = 8
	// adviseInterval is the time between calls for one step after an answer,
	// adviseRetryDelay after a call without one.
	adviseInterval   = 100 * time.Millisecond
	adviseRetryDelay = time.Second
)

// advice is what the advice service has answered for a group.
type advice struct {
	// callOpen is set while a call is open; nextCallAt is when the next one may
	// be made.
	callOpen            bool
	askedAt, nextCallAt time.Time
	// tickets holds the tickets of the executors that may run the step.
	tickets map[string]ticket
	// denied holds the executors that may not run it; a denial is final.
	denied map[string]bool
}

type ticket struct {
	text       string
	validUntil time.Time
}

// dropExpiredTickets removes the tickets that are no longer valid.
func (a *advice) dropExpiredTickets(now time.Time) {
	for id, t := range a.tickets {
		if !now.Before(t.validUntil) {
			delete(a.tickets, id)
		}
	}
}

// allows reports whether there is a valid ticket for an executor.
func (a *advice) allows(now time.Time, e *executor) bool {
	t, ok := a.tickets[e.ID]
	return ok && now.Before(t.validUntil)
}

// dropTickets removes the tickets for an executor, which are valid for one incarnation.
func (p *Plan) dropTickets(executor string) {
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, g := range o.groups {
				if g.advice != nil {
					delete(g.advice.tickets, executor)
				}
			}
		}
	}
}

// needsAdvice reports whether the group's tasks need tickets.
func (p *Plan) needsAdvice(g *group) bool {
	return p.catalog.TermsOf(&g.job.spec.Queue).Advice != nil
}

// placeWithAdvice starts tasks of a group on executors that may run them, and
// asks about other executors while tasks wait.
func (p *Plan) placeWithAdvice(now time.Time, g *group, candidates []*executor) waitReason {
	if g.advice == nil {
		g.advice = &advice{tickets: make(map[string]ticket), denied: make(map[string]bool)}
	}
	g.advice.dropExpiredTickets(now)
	reason := waitAdvice
	if len(g.advice.tickets) > 0 {
		reason = p.placeByCapacity(now, g, candidates)
	}
	if reason == waitPlace {
		// Tickets for the wanted rack may expire meanwhile.
		p.requestAdvice(now, g, candidates)
	}
	if reason != waitAdvice && reason != waitRoom {
		return reason
	}
	if p.requestAdvice(now, g, candidates) || g.advice.callOpen {
		return waitAdvice
	}
	return reason
}

// requestAdvice asks about executors that have room and no answer yet, and
// reports whether it did.
func (p *Plan) requestAdvice(now time.Time, g *group, candidates []*executor) bool {
	a := g.advice
	if !p.mayAdvise(now, a) {
		return false
	}
	o := Advise{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.stepIndex}
	// Each job begins at a different executor, so that jobs don't all ask for
	// the same ones.
	first := int(xxhash.Sum64String(o.Job) % uint64(len(candidates)))
	if p.waitsForPlacement(g) && g.step.DataRack != "" {
		candidates, first = nearFirst(g.step.DataRack, candidates, first), 0
	}
	for i := range candidates {
		e := candidates[(first+i)%len(candidates)]
		_, allowed := a.tickets[e.ID]
		if allowed || a.denied[e.ID] || !g.step.Demand().Fits(e.free()) || !g.constraintsAllow(e, 0) {
			continue
		}
		if o.Executors = append(o.Executors, e.ID); len(o.Executors) == executorsPerAdviseCall {
			break
		}
	}
	if len(o.Executors) == 0 {
		return false
	}
	p.orderAdvise(now, a, o)
	return true
}

// requestTicket asks whether one executor may run the group's tasks.
func (p *Plan) requestTicket(now time.Time, g *group, e *executor) {
	if p.mayAdvise(now, g.advice) {
		p.orderAdvise(now, g.advice, Advise{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.stepIndex, Executors: []string{e.ID}})
	}
}

func (p *Plan) mayAdvise(now time.Time, a *advice) bool {
	return !a.callOpen && !now.Before(a.nextCallAt) && p.openAdviceCalls < maxAdviseCalls
}

func (p *Plan) orderAdvise(now time.Time, a *advice, o Advise) {
	a.callOpen, a.askedAt = true, now
	p.openAdviceCalls++
	p.orders = append(p.orders, o)
}

// AdviseDone records which executors may run a step, with their tickets. ok is
// false when the call was not answered.
func (p *Plan) AdviseDone(now time.Time, o Advise, allowed map[string]string, validity time.Duration, ok bool) {
	p.openAdviceCalls--
	j := p.jobs[o.Job]
	if j == nil || o.Occurrence >= len(j.occurrences) || o.Step >= len(j.occurrences[o.Occurrence].groups) {
		return
	}
	a := j.occurrences[o.Occurrence].groups[o.Step].advice
	if a == nil {
		return
	}
	a.callOpen, a.nextCallAt = false, now.Add(adviseRetryDelay)
	if !ok {
		return
	}
	a.nextCallAt = now.Add(adviseInterval)
	for _, id := range o.Executors {
		if text, may := allowed[id]; may {
			if e := p.executors[id]; e != nil && e.restarted && a.askedAt.Before(e.addedAt) {
				// The ticket is for an earlier incarnation.
				continue
			}
			a.tickets[id] = ticket{text, a.askedAt.Add(validity)}
		} else {
			a.denied[id] = true
		}
	}
	p.verifyWithTickets(now, j.occurrences[o.Occurrence].groups[o.Step])
}
