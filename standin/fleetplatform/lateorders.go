package fleetplatform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Late orders are carried out between minLateness and maxLateness after they arrived.
const (
	minLateness = 2 * time.Second
	maxLateness = 4500 * time.Millisecond
)

// lateOrders decides which orders are carried out late, and carries them out.
type lateOrders struct {
	mu     sync.Mutex
	share  float64
	random *rand.Rand
	// outstanding counts the orders that have not been carried out yet.
	outstanding sync.WaitGroup
}

// SetLateOrders makes the executors leave a share of the orders unanswered and carry them
// out seconds later. The incarnation that is there at that time carries them out, whichever
// they were sent to; without one they are dropped. A seed draws the same sequence again.
func (f *Fleet) SetLateOrders(share float64, seed uint64) {
	f.late.mu.Lock()
	defer f.late.mu.Unlock()
	f.late.share, f.late.random = share, rand.New(rand.NewPCG(seed, 0))
}

// EndLateOrders makes the executors answer all further orders, and waits until the late
// ones have been carried out or dropped.
func (f *Fleet) EndLateOrders() {
	f.SetLateOrders(0, 0)
	f.late.outstanding.Wait()
}

// delayOrder reports whether an order is carried out late, and sees to that.
func (f *Fleet) delayOrder(id string, o *order) bool {
	lateness, delayed := f.late.draw()
	if !delayed {
		return false
	}
	go func() {
		defer f.late.outstanding.Done()
		t := time.NewTimer(lateness)
		defer t.Stop()
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		if s := f.served(id); s != nil {
			// Nobody waits for the response.
			o.late, o.WaitMs = true, 0
			s.executor.carryOut(o)
		}
	}()
	return true
}

// draw decides about one order, and counts it as outstanding if it is delayed.
func (l *lateOrders) draw() (lateness time.Duration, delayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 || l.random.Float64() >= l.share {
		return 0, false
	}
	l.outstanding.Add(1)
	return minLateness + time.Duration(l.random.Int64N(int64(maxLateness-minLateness))), true
}
