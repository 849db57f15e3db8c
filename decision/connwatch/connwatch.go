// Package connwatch decides which connections to a backend server are silent:
// open, without an error, and never to answer again.
//
// A connection without progress while others work is only a suspect, because
// a request that runs for 30 s makes no progress either, and closing its
// connection would lose its answer. Three rules tell the two apart:
//
//   - An open connection is asked first (HEAD / on the same connection) before
//     it carries another request, and closed when it does not answer within
//     the stall bound. No byte of a request was written by then, so the request
//     is not run and goes to another connection. The question costs one round
//     trip; without it, connections in steady use that go silent would each
//     swallow a request that the next rule may not find.
//   - While a suspect exists, a new connection is opened that sends HEAD /.
//     Replies, also that one, carry the slots in use at the backend server. A
//     running request holds a slot. When the server reports that no slot is in
//     use, over a grace period in which an answer under way would have
//     arrived, no suspect is running, and all of them are closed.
//   - Connections whose peer host no longer acknowledges are closed by TCP
//     keep-alive and TCP_USER_TIMEOUT, which a running request passes.
//
// A suspect on a server whose slots other work always uses cannot be told from
// a long request by any means of the protocol. It is kept until the deadline of
// its request.
package connwatch

import "time"

const (
	// StallTimeout is the time without progress after which a busy connection
	// is a suspect, and the time that an open one has to answer.
	StallTimeout = time.Second
	// transitAllowance covers the way of a request to the server and of its answer
	// back.
	transitAllowance = 250 * time.Millisecond
	// ProbePeriod is the time between probes while there is a suspect.
	ProbePeriod = 500 * time.Millisecond
)

// Connection is the state of one connection.
type Connection struct {
	// Busy is set while a request is written or its answer awaited.
	Busy bool
	// LastProgress is the last time at which a byte was written or read.
	LastProgress time.Time
}

// Monitor holds what one backend server reported of itself. The zero value is
// ready for use. It has one owner.
type Monitor struct {
	// idleReportAt is the time of a report that no slot was in use. It becomes
	// settled when reports have shown the same until grace later.
	idleReportAt    time.Time
	confirmedIdleAt time.Time
	lastProbeAt     time.Time
}

// Report records that a reply which arrived at now carried the number of slots
// in use.
func (w *Monitor) Report(used int, now time.Time) {
	switch {
	case used > 0:
		w.idleReportAt, w.confirmedIdleAt = time.Time{}, time.Time{}
	case w.idleReportAt.IsZero():
		w.idleReportAt = now
	case now.Sub(w.idleReportAt) >= transitAllowance:
		w.confirmedIdleAt, w.idleReportAt = w.idleReportAt, now
	}
}

// IsSilent reports whether c will never answer: when the server sent the settled
// report, the request had reached it, and an answer that was under way then
// would have arrived by now.
func (w *Monitor) IsSilent(c Connection, now time.Time) bool {
	return isSuspect(c, now) && !w.confirmedIdleAt.Before(c.LastProgress.Add(2*transitAllowance))
}

// StartProbeIfDue reports whether a probe on a new connection is due, and if so
// counts it as sent.
func (w *Monitor) StartProbeIfDue(connections []Connection, now time.Time) bool {
	found := false
	for _, c := range connections {
		found = found || isSuspect(c, now)
	}
	if !found {
		return false
	}
	if now.Sub(w.lastProbeAt) < ProbePeriod {
		return false
	}
	w.lastProbeAt = now
	return true
}

func isSuspect(c Connection, now time.Time) bool {
	return c.Busy && now.Sub(c.LastProgress) >= StallTimeout
}
