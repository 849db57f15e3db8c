package route

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 5
	// firstEjection grows by a factor of two up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// forgiveAfter is the number of consecutive successes after which the
	// next ejection is short again.
	forgiveAfter = 20
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
	failures  int
	successes int
	ejections int
	until     time.Time
	probation bool
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

func (h *health) usable(inFlight int, now time.Time) bool {
	if h.ejected(now) {
		return false
	}
	return !h.probation || inFlight == 0
}

func (h *health) record(r Result, now time.Time, mayEject bool) {
	if h.ejected(now) {
		// An attempt that started before the ejection says nothing new.
		return
	}
	switch r {
	case Succeeded:
		h.succeed()
	case Failed:
		h.successes = 0
		h.failures++
		if (h.failures >= ejectAfter || h.probation) && mayEject {
			h.eject(now)
		}
	}
}

func (h *health) succeed() {
	h.failures = 0
	h.probation = false
	h.successes++
	if h.successes >= forgiveAfter {
		h.ejections = 0
	}
}

func (h *health) eject(now time.Time) {
	length := min(maxEjection, firstEjection<<min(h.ejections, 10))
	h.ejections++
	h.failures = 0
	h.probation = true
	h.until = now.Add(length)
}

// restore ends an ejection early.
func (h *health) restore() {
	h.until = time.Time{}
	h.probation = false
}

// mayEject reports whether s may be ejected too, so that never more than half
// of the pool is ejected or on probation.
func (p *pool) mayEject(s *server) bool {
	out := 1
	for _, other := range p.servers {
		if other != s && other.health.probation {
			out++
		}
	}
	return 2*out <= len(p.servers)
}

// limitEjected restores servers after the pool has become smaller.
func (p *pool) limitEjected() {
	out := 0
	for _, s := range p.servers {
		if !s.health.probation {
			continue
		}
		if out++; 2*out > len(p.servers) {
			s.health.restore()
		}
	}
}
