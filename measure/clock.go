package measure

import (
	"container/heap"
	"time"
)

// clock is virtual time with the events that are to come. Events of one time
// run in the order in which they were added, so that a run repeats exactly.
type clock struct {
	now   time.Time
	added uint64
	queue events
}

type event struct {
	at    time.Time
	order uint64
	call  func()
}

func (c *clock) after(d time.Duration, call func()) {
	c.added++
	heap.Push(&c.queue, event{c.now.Add(d), c.added, call})
}

// every runs call after each period, until the run ends.
func (c *clock) every(period time.Duration, call func()) {
	c.after(period, func() {
		call()
		c.every(period, call)
	})
}

func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.call()
	}
	c.now = end
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
