package placewait

import (
	"math"
	"time"
)

// Action is what a task, or a group that starts together, does.
type Action int

const (
	// StartHere means that it starts where there is room now.
	StartHere Action = iota
	// Wait means that it waits for room in the preferred placement.
	Wait
	// Prepare means that it waits, and that room in the preferred placement is kept for
	// it as runs end.
	Prepare
)

var actionNames = [...]string{"start here", "wait", "prepare"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Request describes the work that could start away from its preferred placement now.
type Request struct {
	// Remaining is the median of the duration in the preferred placement, LogDeviation
	// the standard deviation of its logarithm.
	Remaining    time.Duration
	LogDeviation float64
	// Factor is by how much the work takes longer elsewhere.
	Factor float64
	// Openings is how many ends of runs the work needs: one for a task, and the number of
	// members without room for a group. Ahead is how many ends go to others that wait for
	// the same room and start first.
	Openings, Ahead int
	// AwayDelay is how long it is expected to take until there is room elsewhere again, if
	// the room that is there now is given to others; zero if nobody else waits.
	AwayDelay time.Duration
	// IdleShare is the part of the work's own capacity that is kept idle meanwhile,
	// although others could use it.
	IdleShare float64
	// Deadlines are the times at which the work has to be complete so that its job keeps
	// its value: that of the objective, and that after which it has no value. Those that
	// have passed are not positive and have no effect.
	Deadlines []time.Duration
	// Group is set for work that starts together, for which room has to be kept.
	Group bool
}

// Decision is the answer to a request.
type Decision struct {
	Action Action
	// Until is when the wait ends at the latest; zero for StartHere.
	Until time.Duration
	// Gain is by how much the work is expected to end sooner, less what others lose.
	Gain time.Duration
}

// Decide returns whether the work waits for the supply in its preferred placement. A wait
// is never longer than what the preferred placement saves of the expected duration, and
// never makes work miss a deadline that it is expected to meet elsewhere.
func Decide(r *Request, s *Supply) Decision {
	limit := r.longestWait()
	if limit < grid[0] || len(s.ends) < r.Ahead+r.Openings {
		// Whoever comes after all ends would wait for runs that have not begun yet.
		return Decision{}
	}
	var best Decision
	o := newOutcome(r)
	for i, t := range grid {
		if t > limit {
			break
		}
		o.extend(t, s.atLeast(i, r.Ahead+r.Openings))
		if gain := o.gain(); gain > best.Gain && o.keepsDeadlines() {
			best = Decision{Action: r.waitAction(), Until: t, Gain: gain}
		}
	}
	return best
}

func (r *Request) waitAction() Action {
	if r.Group {
		return Prepare
	}
	return Wait
}

// longestWait returns the longest wait that can be worthwhile.
func (r *Request) longestWait() time.Duration {
	if r.Factor <= 1 || r.Remaining <= 0 || r.Openings <= 0 {
		return 0
	}
	away := r.times(r.Factor)
	limit := time.Duration(float64(away-r.Remaining) / (1 + r.IdleShare))
	for _, d := range r.Deadlines {
		if away <= d {
			limit = min(limit, d-away-r.AwayDelay)
		}
	}
	return limit
}

// times returns the expected duration times a factor.
func (r *Request) times(factor float64) time.Duration {
	return time.Duration(float64(r.Remaining) * factor)
}

// outcome is what is expected of a wait that ends at a time at the latest.
type outcome struct {
	r *Request
	// meanDuration is the mean of the duration in the preferred placement, in nanoseconds.
	meanDuration float64
	until        time.Duration
	// found is the probability that there is room until then, and foundAfter the sum of the
	// times at which there is, each times its probability.
	found, foundAfter float64
	// metWhenFound is, for each deadline, the probability that room is found and the
	// deadline met.
	metWhenFound []float64
	// metHere is the expected number of deadlines that are met by a start now.
	metHere float64
}

func newOutcome(r *Request) *outcome {
	o := &outcome{r: r, metWhenFound: make([]float64, len(r.Deadlines))}
	o.meanDuration = float64(r.Remaining) * math.Exp(r.LogDeviation*r.LogDeviation/2)
	for _, d := range r.Deadlines {
		o.metHere += r.endsWithin(d, r.Factor)
	}
	return o
}

// endsWithin returns the probability that the work takes at most d with a factor.
func (r *Request) endsWithin(d time.Duration, factor float64) float64 {
	return logNormalCDF(d, r.times(factor), r.LogDeviation)
}

// extend extends the wait to t, until which room is found with a probability.
func (o *outcome) extend(t time.Duration, found float64) {
	added := max(found-o.found, 0)
	o.until = t
	o.found += added
	o.foundAfter += added * float64(t)
	for i, d := range o.r.Deadlines {
		o.metWhenFound[i] += added * o.r.endsWithin(d-t, 1)
	}
}

// gain returns by how much the work is expected to end sooner than by a start now, less
// the cost of what is kept idle.
func (o *outcome) gain() time.Duration {
	notFound := 1 - o.found
	waited := o.foundAfter + notFound*float64(o.until)
	saved := o.found * (o.r.Factor - 1) * o.meanDuration
	return time.Duration(saved - waited*(1+o.r.IdleShare) - notFound*float64(o.r.AwayDelay))
}

// keepsDeadlines reports whether as many deadlines are expected to be met as by a start
// now.
func (o *outcome) keepsDeadlines() bool {
	met := 0.0
	for i, d := range o.r.Deadlines {
		met += o.metWhenFound[i] + (1-o.found)*o.r.endsWithin(d-o.until-o.r.AwayDelay, o.r.Factor)
	}
	return met >= o.metHere
}
