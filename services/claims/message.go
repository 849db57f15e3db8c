package claims

import (
	"sync/atomic"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// claimResult is what the duty replies to one claim.
type claimResult struct {
	record      services.ClaimRecord
	callerReply claim.CallerReply
	detail      string
}

// Who settled a claimWaiter first.
const (
	unsettled int32 = iota
	answered
	abandoned
)

// claimWaiter is a request that waits for its claim.
type claimWaiter struct {
	key      string
	hash     string
	claimant claim.Claimant
	reply    *ring.Ring[claimResult]
	// settled makes sure that a claim is either handed to the requester or
	// withdrawn, but not both.
	settled atomic.Int32
}

// abandon reports whether the requester left before it was answered.
func (w *claimWaiter) abandon() bool { return w.settled.CompareAndSwap(unsettled, abandoned) }

// deliver answers the requester and reports whether it was still there.
func (w *claimWaiter) deliver(a claimResult) bool {
	if !w.settled.CompareAndSwap(unsettled, answered) {
		return false
	}
	return w.reply.Offer(a)
}

func (w *claimWaiter) receive(c *committer) { c.addClaim(w) }

// claimEnd is the end of a claim of this process.
type claimEnd struct {
	key         string
	state       claim.State
	status      int
	contentType string
	body        []byte
	object      string
}

// withoutAnswer returns the end of a request whose answer is not kept.
func (e claimEnd) withoutAnswer() claimEnd {
	return claimEnd{key: e.key, state: e.state}
}

func (e claimEnd) receive(c *committer) { c.addEnd(e) }

// drainRequest asks for an answer once no claim of this process is open.
type drainRequest struct{ reply *ring.Ring[struct{}] }

func (d drainRequest) receive(c *committer) { c.drainRequests = append(c.drainRequests, d) }
