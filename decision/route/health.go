package route

import "time"

const (
	// ejectionThreshold is the number of consecutive failures that eject a server.
	ejectionThreshold = 5
	// baseEjectionTime grows by a factor of two up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// recoveryThreshold is the number of consecutive successes after which the
	// next ejection is short again.
	recoveryThreshold = 20
)

// Result is what an attempt tells of a server's health.
type Result int

// The results.
const (
	// Succeeded is a whole answer.
	Succeeded Result = iota
	// Refused is a refusal for lack of slots, or because the server leaves.
	Refused
	// Failed is a connection error, a wrong or missing answer, or an answer
	// of status 5xx.
	Failed
)

// health decides whether a server is ejected. After an ejection the server is
// on probation: it gets one attempt at a time until one succeeds, and one
// failure ejects it again for twice as long.
type health struct {
	consecutiveFailures  int
	consecutiveSuccesses int
	ejections            int
	ejectedUntil         time.Time
	onProbation          bool
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) isUsable(inFlight int, now time.Time) bool {
	if h.isEjected(now) {
		return false
	}
	return !h.onProbation || inFlight == 0
}

func (h *health) record(r Result, now time.Time, mayEject bool) {
	if h.isEjected(now) {
		// An attempt that started before the ejection says nothing new.
		return
	}
	switch r {
	case Succeeded:
		h.succeed()
	case Failed:
		h.consecutiveSuccesses = 0
		h.consecutiveFailures++
		if (h.consecutiveFailures >= ejectionThreshold || h.onProbation) && mayEject {
			h.eject(now)
		}
	}
}

func (h *health) succeed() {
	h.consecutiveFailures = 0
	h.onProbation = false
	h.consecutiveSuccesses++
	if h.consecutiveSuccesses >= recoveryThreshold {
		h.ejections = 0
	}
}

func (h *health) eject(now time.Time) {
	length := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejections++
	h.consecutiveFailures = 0
	h.onProbation = true
	h.ejectedUntil = now.Add(length)
}

// restore ends an ejection early.
func (h *health) restore() {
	h.ejectedUntil = time.Time{}
	h.onProbation = false
}

// mayEject reports whether s may be ejected too, so that never more than half
// of the pool is ejected or on probation.
func (p *pool) mayEject(s *server) bool {
	out := 1
	for _, other := range p.servers {
		if other != s && other.health.onProbation {
			out++
		}
	}
	return 2*out <= len(p.servers)
}

// restoreExcessEjections restores servers after the pool has become smaller.
func (p *pool) restoreExcessEjections() {
	out := 0
	for _, s := range p.servers {
		if !s.health.onProbation {
			continue
		}
		if out++; 2*out > len(p.servers) {
			s.health.restore()
		}
	}
}
