package route

import "time"

const (
	// ejectionThreshold is the number of consecutive failures that eject a server.
	ejectionThreshold = 5
	// baseEjectionTime is the length of the first ejection. It doubles with each
	// further ejection up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// recoveryThreshold is the number of consecutive successes after which the
	// next ejection lasts baseEjectionTime again.
	recoveryThreshold = 20
)

// Result is the outcome of an attempt as it concerns a server's health.
type Result int

// Results of an attempt.
const (
	// Succeeded is a complete reply.
	Succeeded Result = iota
	// Refused is a refusal for lack of slots or because the server is leaving.
	Refused
	// Failed is a connection error, a malformed or missing reply, or a reply
	// with status 5xx.
	Failed
)

// health tracks whether a server is ejected. After an ejection the server is on
// probation: it gets one attempt at a time until one succeeds, and a single
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
		// The attempt started before the ejection; its result is outdated.
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
	duration := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejections++
	h.consecutiveFailures = 0
	h.onProbation = true
	h.ejectedUntil = now.Add(duration)
}

// restore ends an ejection early.
func (h *health) restore() {
	h.ejectedUntil = time.Time{}
	h.onProbation = false
}

// mayEject reports whether s may be ejected without more than half of the pool
// being ejected or on probation.
func (p *pool) mayEject(s *server) bool {
	ejected := 1
	for _, other := range p.servers {
		if other != s && other.health.onProbation {
			ejected++
		}
	}
	return 2*ejected <= len(p.servers)
}

// restoreExcessEjections restores servers until at most half of the pool is
// ejected or on probation, for a pool that has become smaller.
func (p *pool) restoreExcessEjections() {
	ejected := 0
	for _, s := range p.servers {
		if !s.health.onProbation {
			continue
		}
		if ejected++; 2*ejected > len(p.servers) {
			s.health.restore()
		}
	}
}
