// Package follow decides when a process that follows the changes in the platform's
// store sends its calls.
//
// The store holds back the answer to a call until something changes. It may also never
// answer a call, for example one that was sent while it was silent, and a call is given
// up only after seconds. A change that is made just after the store has become reachable
// again must be known sooner than that. So a call whose answer is overdue does not hold
// up the next one.
package follow

import "time"

const (
	// Wait is how long the store may hold back its answer while nothing changes.
	Wait = time.Second
	// MaxOpen is the number of calls that may be without an answer at once. With calls
	// that are given up after 2 s it never delays the next one beyond MaxGap.
	MaxOpen = 3
	// RetryDelay is the delay before the next call after one that failed.
	RetryDelay = 250 * time.Millisecond

	// An answer is overdue patienceFactor times the store's response time after the
	// store should have sent it, within minPatience and maxPatience.
	patienceFactor = 2
	minPatience    = 400 * time.Millisecond
	maxPatience    = 800 * time.Millisecond
)

// MaxGap is the longest time between two calls, whatever becomes of them.
const MaxGap = Wait + maxPatience

// Call is a call that is to be sent.
type Call struct {
	Number int64
	// Wait is how long the store may hold back its answer.
	Wait time.Duration
}

// Follower decides on the calls of one follower. The zero value is ready for use.
type Follower struct {
	// open has the numbers of the calls without an outcome.
	open   map[int64]bool
	number int64
	// overdueAt is when the answer to the latest call is overdue.
	overdueAt time.Time
	retryAt   time.Time
	// answered is the highest number of a call that was answered.
	answered int64
	// doubtful is set while the latest outcome is a failure or an answer is overdue.
	doubtful bool
}

// Next returns the call to send now, or else when to ask again unless a call ends
// earlier. response is the store's usual response time.
func (f *Follower) Next(now time.Time, response time.Duration) (call Call, ok bool, again time.Time) {
	pending := f.number > f.answered && f.open[f.number]
	switch {
	case len(f.open) >= MaxOpen:
		return Call{}, false, now.Add(RetryDelay)
	case pending && now.Before(f.overdueAt):
		return Call{}, false, f.overdueAt
	case !pending && now.Before(f.retryAt):
		return Call{}, false, f.retryAt
	}
	f.doubtful = f.doubtful || pending
	f.number++
	if f.open == nil {
		f.open = make(map[int64]bool, MaxOpen)
	}
	f.open[f.number] = true
	call = Call{Number: f.number, Wait: Wait}
	if f.doubtful {
		// An answer at once tells that the store answers.
		call.Wait = 0
	}
	f.overdueAt = now.Add(call.Wait + min(max(patienceFactor*response, minPatience), maxPatience))
	return call, true, f.overdueAt
}

// Done records the outcome of a call.
func (f *Follower) Done(now time.Time, number int64, answered bool) {
	delete(f.open, number)
	if !answered {
		if number > f.answered {
			f.doubtful, f.retryAt = true, now.Add(RetryDelay)
		}
		return
	}
	f.answered = max(f.answered, number)
	f.doubtful, f.retryAt = false, time.Time{}
}
