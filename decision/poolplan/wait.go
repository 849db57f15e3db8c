package poolplan

import "time"

// waitReason is why tasks that are ready do not start.
type waitReason int

const (
	notWaiting waitReason = iota
	// waitInherited means that a previous owner may have started them.
	waitInherited
	// waitOwnershipRenewal means that the owner had not renewed its ownership for
	// a while when the job was recorded and has not renewed it since, so that a
	// successor may assume that the job has not begun.
	waitOwnershipRenewal
	// waitPossibleSuccessor means that a later owner may have recorded their
	// end.
	waitPossibleSuccessor
	// waitLateStart means that a start without an answer may still be carried out.
	waitLateStart
	// waitRestartDelay means that service tasks fail soon after each start.
	waitRestartDelay
	// waitAdvice means that the advice service has not answered.
	waitAdvice
	// waitGang means that earlier runs of the gang have not ended.
	waitGang
	// waitLimit means that the tenant has reached its limit here.
	waitLimit
	// waitInheritedUse means that runs of a previous owner that are not known yet may
	// use what the tenant's limit leaves here.
	waitInheritedUse
	// waitPlace means that they wait for room in their preferred placement.
	waitPlace
	// waitRoom means that no executor that may run them has room.
	waitRoom
)

var waitReasonNames = [...]string{"", "inherited", "renewal", "possible-successor", "late-start", "restart-delay", "advice", "gang-members", "tenant-limit", "inherited-use", "place", "room"}

const (
	// waitLogDelay is how long a group must have waited before its reason is
	// logged.
	waitLogDelay = 200 * time.Millisecond
	// waitLogInterval is the minimum time between events of one group, which
	// limits the log.
	waitLogInterval = time.Second
)

// logWait logs why a group waits, when it has waited for a while and the
// reason has changed since it was last logged.
func (p *Plan) logWait(now time.Time, g *group, reason waitReason) {
	if reason == notWaiting || reason == g.loggedWait || now.Sub(g.readyAt) < waitLogDelay || now.Sub(g.waitLoggedAt) < waitLogInterval {
		return
	}
	g.loggedWait, g.waitLoggedAt = reason, now
	e := Event{Kind: "tasks wait", Job: g.job.spec.ID, Task: g.tasks[0].id().String(), Reason: waitReasonNames[reason], Age: now.Sub(g.readyAt)}
	if reason == waitPlace {
		e.EndsIn = g.lastWaitEnd().Sub(now)
	}
	p.addEvent(e)
}

// lastWaitEnd returns when the last wait of the group's tasks for a preferred placement ends
// at the latest.
func (g *group) lastWaitEnd() (last time.Time) {
	waits := []*placementWait{g.wait}
	for _, t := range g.tasks {
		waits = append(waits, t.wait)
	}
	for _, w := range waits {
		if w != nil && !w.over && w.until.After(last) {
			last = w.until
		}
	}
	return last
}
