package fairqueue

import "slices"

// flow holds the waiting requests of one team in one class of a pool, oldest
// first.
type flow struct {
	team        string
	class       *classQueue
	share       float64
	first, last *Entry
	length      int
	// virtualStart is the virtual time of the next start; it breaks ties of use so
	// that starts follow the shares.
	virtualStart float64
	rate         startRate
}

// startsBefore orders lines of equal use.
func (l *flow) startsBefore(o *flow) bool {
	if l.virtualStart != o.virtualStart {
		return l.virtualStart < o.virtualStart
	}
	return l.team < o.team
}

func (c *classQueue) deactivate(l *flow) {
	i := slices.Index(c.activeFlows, l)
	last := len(c.activeFlows) - 1
	c.activeFlows[i] = c.activeFlows[last]
	c.activeFlows = c.activeFlows[:last]
}

func (l *flow) pushBack(e *Entry) {
	e.prev, e.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	l.length++
}

func (l *flow) pushFront(e *Entry) {
	e.prev, e.next = nil, l.first
	if l.first == nil {
		l.last = e
	} else {
		l.first.prev = e
	}
	l.first = e
	l.length++
}

func (l *flow) unlink(e *Entry) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	l.length--
}

func (e *Entry) isWaiting() bool { return e.prev != nil || e.flow.first == e }

// deadlineHeap is a heap of the waiting entries by deadline.
type deadlineHeap []*Entry

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineHeap) Push(x any) {
	e := x.(*Entry)
	e.heapIndex = len(*d)
	*d = append(*d, e)
}

func (d *deadlineHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}
