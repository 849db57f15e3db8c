package poolplan

import "time"

// wait is why tasks that are ready do not start.
type wait int

const (
	waitNone wait = iota
	// waitInherited means that an earlier owner may have started them.
	waitInherited
	// waitRenewal means that the owner was silent when the job was recorded and
	// has not renewed since, so that a successor may take the job for not begun.
	waitRenewal
	// waitSuccessor means that a later owner may have seen their end.
	waitSuccessor
	// waitAdvice means that the advice service has not answered.
	waitAdvice
	// waitMembers means that runs of the gang have not ended.
	waitMembers
	// waitLimit means that the tenant may have no more running here.
	waitLimit
	// waitRoom means that no executor that may run them has room.
	waitRoom
)

var waitNames = [...]string{"", "inherited", "renewal", "possible-successor", "advice", "gang-members", "tenant-limit", "room"}

const (
	// waitNoted is how long a group has waited when its reason is first noted.
	waitNoted = 200 * time.Millisecond
	// waitRepeat separates the notes of one group, which bounds the log.
	waitRepeat = time.Second
)

// noteWait notes why a group waits, when it has waited for a while and the
// reason is not the one noted before.
func (p *Plan) noteWait(now time.Time, g *group, why wait) {
	if why == waitNone || why == g.waits || now.Sub(g.readyAt) < waitNoted || now.Sub(g.waitNotedAt) < waitRepeat {
		return
	}
	g.waits, g.waitNotedAt = why, now
	p.note(Event{What: "tasks wait", Job: g.job.spec.ID, Task: g.tasks[0].id().String(), Reason: waitNames[why], Age: now.Sub(g.readyAt)})
}
