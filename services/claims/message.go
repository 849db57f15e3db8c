package claims

import (
	"sync/atomic"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// answer is what the duty replies to one claim.
type answer struct {
	record services.ClaimRecord
	say    claim.CallerReply
	detail string
}

// Who settled a claimWait first.
const (
	waiting int32 = iota
	answered
	left
)

// claimWait is a request that waits for its claim.
type claimWait struct {
	key   string
	hash  string
	by    claim.Claimant
	reply *ring.Ring[answer]
	// settled makes sure that a claim is either handed to the requester or
	// withdrawn, but not both.
	settled atomic.Int32
}

// leave reports whether the requester left before it was answered.
func (w *claimWait) leave() bool { return w.settled.CompareAndSwap(waiting, left) }

// tell answers the requester and reports whether it was still there.
func (w *claimWait) tell(a answer) bool {
	if !w.settled.CompareAndSwap(waiting, answered) {
		return false
	}
	return w.reply.Offer(a)
}

func (w *claimWait) receive(c *committer) { c.admit(w) }

// end is the end of a claim of this process.
type end struct {
	key         string
	state       claim.State
	status      int
	contentType string
	body        []byte
	object      string
}

// withoutAnswer returns the end of a request whose answer is not kept.
func (e end) withoutAnswer() end {
	return end{key: e.key, state: e.state}
}

func (e end) receive(c *committer) { c.finish(e) }

// drain asks for an answer once no claim of this process is open.
type drain struct{ reply *ring.Ring[struct{}] }

func (d drain) receive(c *committer) { c.drains = append(c.drains, d) }
