// Package follow decides when a process that follows the changes in the platform's
// store sends its calls.
//
// The store holds back the answer to a call until something changes. It may also never
// answer a call, for example one that was sent while it was silent, and a call is given
// up only after seconds. A change that is made just after the store has become reachable
// again must be known sooner than that. Where the answer is small, a call whose answer is
// overdue does not hold up the next one (Hedged). Answers that may be large are requested
// by one call at a time, because several would share the link of the host and all time
// out (Single).
package follow

import "time"

// Policy is a way to follow changes.
type Policy struct {
	// Wait is how long the store may hold back its answer while nothing changes.
	Wait time.Duration
	// MaxOpen is the number of calls that may be without an outcome at once.
	MaxOpen int
}

var (
	// Hedged sends another call when an answer is overdue. Three open calls, which are
	// given up after 2 s, never delay the next one beyond MaxGap.
	Hedged = Policy{Wait: time.Second, MaxOpen: 3}
	// Single sends one call at a time. Its Wait, the time after which a call is given
	// up and RetryDelay are together below 3 s.
	Single = Policy{Wait: 400 * time.Millisecond, MaxOpen: 1}
)

const (
	// RetryDelay is the delay before the next call after one that failed.
	RetryDelay = 250 * time.Millisecond

	// An answer is overdue patienceFactor times the store's response time after the
	// store should have sent it, within minPatience and maxPatience.
	patienceFactor = 2
	minPatience    = 400 * time.Millisecond
	maxPatience    = 800 * time.Millisecond
)

// MaxGap returns the longest time between two calls, whatever becomes of them, where a
// call is given up giveUp after its wait.
func (p Policy) MaxGap(giveUp time.Duration) time.Duration {
	if p.MaxOpen == 1 {
		return p.Wait + giveUp + RetryDelay
	}
	return p.Wait + maxPatience
}

// Call is a call that is to be sent.
type Call struct {
	Number int64
	// Wait is how long the store may hold back its answer.
	Wait time.Duration
	// Doubtful is set while calls fail or answers are overdue. Then changes may have
	// become many, and an answer is wanted at once.
	Doubtful bool
}

// Follower decides on the calls of one follower.
type Follower struct {
	policy Policy
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

// New returns a follower that has sent no call yet.
func New(p Policy) *Follower { return &Follower{policy: p, open: make(map[int64]bool, p.MaxOpen)} }

// Next returns the call to send now, or else when to ask again unless a call ends
// earlier. response is the store's usual response time.
func (f *Follower) Next(now time.Time, response time.Duration) (call Call, ok bool, again time.Time) {
	pending := f.number > f.answered && f.open[f.number]
	switch {
	case len(f.open) >= f.policy.MaxOpen:
		return Call{}, false, now.Add(RetryDelay)
	case pending && now.Before(f.overdueAt):
		return Call{}, false, f.overdueAt
	case !pending && now.Before(f.retryAt):
		return Call{}, false, f.retryAt
	}
	f.doubtful = f.doubtful || pending
	f.number++
	f.open[f.number] = true
	call = Call{Number: f.number, Wait: f.policy.Wait, Doubtful: f.doubtful}
	if f.doubtful && f.policy.MaxOpen > 1 {
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
