package measure

import (
	"container/heap"
	"time"
)

// virtualClock is virtual time with the events that are to come. Events of one time
// run in the order in which they were added, so that a run repeats exactly.
type virtualClock struct {
	now          time.Time
	lastSequence uint64
	pending      eventHeap
}

type event struct {
	at       time.Time
	sequence uint64
	callback func()
}

func (c *virtualClock) after(d time.Duration, call func()) {
	c.lastSequence++
	heap.Push(&c.pending, event{c.now.Add(d), c.lastSequence, call})
}

// every runs call after each period, until the run ends.
func (c *virtualClock) every(period time.Duration, call func()) {
	c.after(period, func() {
		call()
		c.every(period, call)
	})
}

func (c *virtualClock) run(end time.Time) {
	for len(c.pending) > 0 && c.pending[0].at.Before(end) {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.callback()
	}
	c.now = end
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }

func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
