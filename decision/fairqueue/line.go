package fairqueue

import "slices"

// line holds the waiting requests of one team in one class of a pool, oldest
// first.
type line struct {
	team        string
	class       *class
	share       float64
	first, last *Entry
	length      int
	// pass is the virtual time of the next start; it breaks ties of use so
	// that starts follow the shares.
	pass float64
	rate rate
}

// before orders lines of equal use.
func (l *line) before(o *line) bool {
	if l.pass != o.pass {
		return l.pass < o.pass
	}
	return l.team < o.team
}

func (c *class) deactivate(l *line) {
	i := slices.Index(c.active, l)
	last := len(c.active) - 1
	c.active[i] = c.active[last]
	c.active = c.active[:last]
}

func (l *line) pushBack(e *Entry) {
	e.prev, e.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	l.length++
}

func (l *line) pushFront(e *Entry) {
	e.prev, e.next = nil, l.first
	if l.first == nil {
		l.last = e
	} else {
		l.first.prev = e
	}
	l.first = e
	l.length++
}

func (l *line) unlink(e *Entry) {
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

func (e *Entry) waits() bool { return e.prev != nil || e.line.first == e }

// deadlines is a heap of the waiting entries by deadline.
type deadlines []*Entry

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlines) Push(x any) {
	e := x.(*Entry)
	e.heapIndex = len(*d)
	*d = append(*d, e)
}

func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}
