package fairqueue

import "slices"

// flow is the FIFO of the waiting requests of one team in one class of a pool.
type flow struct {
	team        string
	class       *classQueue
	share       float64
	first, last *Entry
	length      int
	// virtualStart is the virtual time of the next start. It orders flows of
	// equal use, so that starts follow the shares.
	virtualStart float64
	rate         startRate
}

// startsBefore reports whether f starts before other when both have equal use.
func (f *flow) startsBefore(other *flow) bool {
	if f.virtualStart != other.virtualStart {
		return f.virtualStart < other.virtualStart
	}
	return f.team < other.team
}

func (c *classQueue) deactivate(f *flow) {
	i := slices.Index(c.activeFlows, f)
	last := len(c.activeFlows) - 1
	c.activeFlows[i] = c.activeFlows[last]
	c.activeFlows = c.activeFlows[:last]
}

func (f *flow) pushBack(e *Entry) {
	e.prev, e.next = f.last, nil
	if f.last == nil {
		f.first = e
	} else {
		f.last.next = e
	}
	f.last = e
	f.length++
}

func (f *flow) pushFront(e *Entry) {
	e.prev, e.next = nil, f.first
	if f.first == nil {
		f.last = e
	} else {
		f.first.prev = e
	}
	f.first = e
	f.length++
}

func (f *flow) unlink(e *Entry) {
	if e.prev == nil {
		f.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	f.length--
}

func (e *Entry) isWaiting() bool { return e.prev != nil || e.flow.first == e }

// deadlineHeap is a heap of the waiting entries, earliest deadline first.
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
