// Package connwatch detects silent connections to a backend server: connections
// that are open, report no error, and will never answer again.
//
// A busy connection without progress is only a suspect, because a request that
// runs for 30 s makes no progress either, and closing its connection would lose
// its answer. Three rules distinguish the two:
//
//   - Before an open connection carries another request, it is checked with
//     HEAD / on the same connection, and closed if it does not answer within
//     StallTimeout. At that point no byte of the request has been written, so
//     the request has not run and goes to another connection. The check costs
//     one round trip; without it, each connection in steady use that goes
//     silent would lose a request, which the next rule may not detect.
//   - While there is a suspect, a probe sends HEAD / on a new connection. Every
//     reply, including that to a probe, carries the number of slots in use at
//     the backend server, and a running request holds a slot. If the server
//     reports that no slot is in use, for a period in which an answer in
//     transit would have arrived, no suspect is running, and all are closed.
//   - Connections whose peer host no longer acknowledges are closed by TCP
//     keep-alive and TCP_USER_TIMEOUT, which do not affect a running request.
//
// If other work always uses slots of the server, the protocol gives no means to
// distinguish a suspect from a long request. Such a suspect is kept until the
// deadline of its request.
package connwatch

import "time"

const (
	// StallTimeout is the time without progress after which a busy connection
	// is a suspect, and the time in which an open one must answer a check.
	StallTimeout = time.Second
	// transitAllowance covers the transit of a request to the server and of its
	// answer back.
	transitAllowance = 250 * time.Millisecond
	// ProbePeriod is the time between probes while there is a suspect.
	ProbePeriod = 500 * time.Millisecond
)

// Connection is the state of one connection.
type Connection struct {
	// Busy is set while a request is being written or its answer is awaited.
	Busy bool
	// LastProgress is the last time at which a byte was written or read.
	LastProgress time.Time
}

// Monitor evaluates the slot reports of one backend server. The zero value is
// ready for use. It must be used by one goroutine only.
type Monitor struct {
	// idleReportAt is the time of a report that no slot was in use. It becomes
	// confirmedIdleAt once all reports until transitAllowance later have shown
	// the same.
	idleReportAt    time.Time
	confirmedIdleAt time.Time
	lastProbeAt     time.Time
}

// Report records the number of slots in use from a reply that arrived at now.
func (m *Monitor) Report(slotsInUse int, now time.Time) {
	switch {
	case slotsInUse > 0:
		m.idleReportAt, m.confirmedIdleAt = time.Time{}, time.Time{}
	case m.idleReportAt.IsZero():
		m.idleReportAt = now
	case now.Sub(m.idleReportAt) >= transitAllowance:
		m.confirmedIdleAt, m.idleReportAt = m.idleReportAt, now
	}
}

// IsSilent reports whether c will never answer: when the server sent the report
// of confirmedIdleAt, the request had reached it, and an answer in transit at
// that time would have arrived by now.
func (m *Monitor) IsSilent(c Connection, now time.Time) bool {
	return isSuspect(c, now) && !m.confirmedIdleAt.Before(c.LastProgress.Add(2*transitAllowance))
}

// StartProbeIfDue reports whether a probe on a new connection is due, and if so
// records it as sent.
func (m *Monitor) StartProbeIfDue(connections []Connection, now time.Time) bool {
	hasSuspect := false
	for _, c := range connections {
		hasSuspect = hasSuspect || isSuspect(c, now)
	}
	if !hasSuspect {
		return false
	}
	if now.Sub(m.lastProbeAt) < ProbePeriod {
		return false
	}
	m.lastProbeAt = now
	return true
}

func isSuspect(c Connection, now time.Time) bool {
	return c.Busy && now.Sub(c.LastProgress) >= StallTimeout
}
