package pools

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
)

// A start is sent once the record that names it has been written to a connection to the
// store. What is on its way there when this process is killed is still carried out, and the
// next owner reads it seconds later. To wait for the answer as well would leave the room on
// the executors empty for 20 ms between two tasks.

// startRecordWait is how long a start waits for its record at most. While the store is slow
// or away, starts are sent without one: a later owner does not know of them.
const startRecordWait = 100 * time.Millisecond

// startQueue has the starts of a pool that wait until their record is on its way.
type startQueue struct {
	waiting []unsentStart
	// planned numbers the starts; those up to recorded are on record for certain.
	planned, recorded int64
}

type unsentStart struct {
	order   poolplan.Start
	number  int64
	sendDue time.Time
}

// add adds a start that was planned at now.
func (q *startQueue) add(now time.Time, o poolplan.Start) {
	q.planned++
	q.waiting = append(q.waiting, unsentStart{o, q.planned, now.Add(startRecordWait)})
}

// hasUnrecorded reports whether a start is not on record.
func (q *startQueue) hasUnrecorded() bool { return q.recorded < q.planned }

// takeThrough removes and returns the starts up to a number.
func (q *startQueue) takeThrough(through int64) []unsentStart {
	return q.take(func(s unsentStart) bool { return s.number <= through })
}

// takeDue returns the starts that do not wait for their record any longer.
func (q *startQueue) takeDue(now time.Time) []unsentStart {
	return q.take(func(s unsentStart) bool { return !now.Before(s.sendDue) })
}

// take removes and returns the first starts for which ready holds. They wait in the order
// in which they were planned.
func (q *startQueue) take(ready func(unsentStart) bool) []unsentStart {
	n := 0
	for n < len(q.waiting) && ready(q.waiting[n]) {
		n++
	}
	taken := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return taken
}

// nextDue returns when the next start is sent without a record; ok is false if none waits.
func (q *startQueue) nextDue() (due time.Time, ok bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	return q.waiting[0].sendDue, true
}

// sendDueStarts sends the starts whose record could not be sent in time.
func (p *planner) sendDueStarts(m *managedPool) {
	due := m.starts.takeDue(p.now)
	if len(due) == 0 {
		return
	}
	p.s.meters.startsUnrecorded.Inc(int64(len(due)))
	p.s.log.Warn().Str("pool", m.name).Int("starts", len(due)).Dur("waited", startRecordWait).Msg("starts sent without a record: none could be sent to the store in time")
	p.sendStarts(m, due)
}

func (p *planner) sendStarts(m *managedPool, starts []unsentStart) {
	for i := range starts {
		o := starts[i].order
		p.s.meters.starts.Inc(1)
		p.s.meters.taskWait.RecordDuration(o.Waited)
		p.s.log.Info().Str("pool", m.name).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
			Str("peer", o.Executor).Int64("life", o.StartedMs).Str("reason", o.Reason).Dur("waited", o.Waited).Int64("fence", o.FencingToken).
			Int64("lease_until_ms", o.LeaseUntilMs).Msg("start")
		p.send(p.s.orderCalls, startCall{m.ref(), o})
	}
}
