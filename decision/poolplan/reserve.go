package poolplan

import (
	"slices"
	"time"
)

// reservationTime is how long room is kept for a service task that is relocated: a
// stop takes up to a second, and the report of its end has to arrive.
const reservationTime = 3 * time.Second

// reservation keeps room on an executor for a task that is relocated there.
type reservation struct {
	task     *task
	executor *executor
	until    time.Time
}

// reserve keeps room for a task on an executor.
func (p *Plan) reserve(now time.Time, t *task, e *executor) {
	p.release(t)
	p.reservations = append(p.reservations, reservation{t, e, now.Add(reservationTime)})
	t.reservedOn = e
	e.reserved = e.reserved.Add(t.group.step.Demand())
}

// release ends the reservation of a task, if it has one.
func (p *Plan) release(t *task) {
	if t.reservedOn == nil {
		return
	}
	t.reservedOn.reserved = t.reservedOn.reserved.Sub(t.group.step.Demand())
	t.reservedOn = nil
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return r.task == t })
}

// releaseUnused ends the reservations that are too old or of no use any more.
func (p *Plan) releaseUnused(now time.Time) {
	for _, r := range slices.Clone(p.reservations) {
		if now.After(r.until) || r.task.group.job.closed() || p.executors[r.executor.ID] != r.executor || !p.mayStartOn(r.executor) {
			p.release(r.task)
		}
	}
}
