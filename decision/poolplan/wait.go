package poolplan

import "time"

// waitReason is why tasks that are ready do not start.
type waitReason int

const (
	notWaiting waitReason = iota
	// waitInherited means that an earlier owner may have started them.
	waitInherited
	// waitRenewal means that the owner was silent when the job was recorded and
	// has not renewed since, so that a successor may take the job for not begun.
	waitRenewal
	// waitPossibleSuccessor means that a later owner may have seen their end.
	waitPossibleSuccessor
	// waitAdvice means that the advice service has not answered.
	waitAdvice
	// waitGang means that runs of the gang have not ended.
	waitGang
	// waitLimit means that the tenant may have no more running here.
	waitLimit
	// waitRoom means that no executor that may run them has room.
	waitRoom
)

var waitReasonNames = [...]string{"", "inherited", "renewal", "possible-successor", "advice", "gang-members", "tenant-limit", "room"}

const (
	// waitNoteDelay is how long a group has waited when its reason is first noted.
	waitNoteDelay = 200 * time.Millisecond
	// waitNoteInterval separates the notes of one group, which bounds the log.
	waitNoteInterval = time.Second
)

// noteWait notes why a group waits, when it has waited for a while and the
// reason is not the one noted before.
func (p *Plan) noteWait(now time.Time, g *group, why waitReason) {
	if why == notWaiting || why == g.notedWait || now.Sub(g.readyAt) < waitNoteDelay || now.Sub(g.waitNotedAt) < waitNoteInterval {
		return
	}
	g.notedWait, g.waitNotedAt = why, now
	p.addEvent(Event{What: "tasks wait", Job: g.job.spec.ID, Task: g.tasks[0].id().String(), Reason: waitReasonNames[why], Age: now.Sub(g.readyAt)})
}
