package poolplan

import (
	"time"
)

// Bounds of calls to the advice service.
const (
	// adviseExecutors is how many executors one call names.
	adviseExecutors = 30
	// adviseCalls is how many calls may be open; the service handles one at a
	// time for each host and refuses more than 32.
	adviseCalls = 8
	// adviseRetry separates calls for one step while there is no answer.
	adviseRetry = time.Second
)

// advised reports whether the group may start tasks now: its queue needs no
// advice, or the advice at hand is still valid. Otherwise it asks for advice.
func (p *Plan) advised(now time.Time, g *group, candidates []*executor) bool {
	q, ok := p.catalog.Queue(g.job.spec.Queue)
	if !ok || q.Advice == nil {
		return true
	}
	if g.advice != nil && now.Before(g.advice.until) {
		return true
	}
	if now.Sub(g.adviceAsked) < adviseRetry || p.advising >= adviseCalls {
		return false
	}
	g.advice, g.adviceAsked = nil, now
	o := Advise{Job: g.job.spec.ID, Occurrence: g.number, Step: g.stepNo}
	for _, e := range candidates {
		if len(o.Executors) < adviseExecutors && g.allows(e, 0) {
			o.Executors = append(o.Executors, e.ID)
		}
	}
	if len(o.Executors) == 0 {
		return false
	}
	p.advising++
	p.orders = append(p.orders, o)
	return false
}

// AdviseDone records the executors that may run a step, with their tickets. ok
// is false when there was no answer.
func (p *Plan) AdviseDone(now time.Time, o Advise, allowed map[string]string, validity time.Duration, ok bool) {
	p.advising--
	j := p.jobs[o.Job]
	if j == nil || !ok || o.Occurrence >= len(j.occurrences) || o.Step >= len(j.occurrences[o.Occurrence].groups) {
		return
	}
	g := j.occurrences[o.Occurrence].groups[o.Step]
	g.advice = &advice{allowed: allowed, until: g.adviceAsked.Add(validity)}
}
