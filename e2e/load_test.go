package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	loadClients   = 24
	loadTimeoutMs = 3000
	// loadRetries is how often a caller asks again, at another entry host,
	// under the same identifier.
	loadRetries     = 2
	requestInterval = 20 * time.Millisecond
	// revisionPollInterval is the time between two looks at a host's revision.
	revisionPollInterval = 100 * time.Millisecond
)

// load sends seeded work of all kinds until its context ends.
type load struct {
	cluster  *cluster
	calls    *callRecorder
	observed *observations
	seed     uint64

	mu sync.Mutex
}

// runLoad starts the load and returns a function that stops it and waits.
func runLoad(t *testing.T, c *cluster, calls *callRecorder, e *observations, seed uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cluster: c, calls: calls, observed: e, seed: seed}
	var sending sync.WaitGroup
	for worker := range loadClients {
		sending.Go(func() { l.run(ctx, worker) })
	}
	for _, h := range c.hosts {
		sending.Go(func() { l.watchRevision(ctx, h) })
	}
	return func() {
		cancel()
		sending.Wait()
	}
}

func (l *load) run(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(worker)))
	for n := 0; ctx.Err() == nil; n++ {
		team, req := l.nextRequest(random, fmt.Sprintf("w%d-%d", worker, n))
		l.send(random, team, req)
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
}

// watchRevision records the revisions that a host shows, so that a host which
// goes back is seen.
func (l *load) watchRevision(ctx context.Context, h *entryHost) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		doc, err := l.cluster.document(callCtx, h)
		cancel()
		if err == nil {
			l.mu.Lock()
			l.observed.revisions[h.name] = append(l.observed.revisions[h.name], doc.Revision)
			l.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(revisionPollInterval):
		}
	}
}

// nextRequest chooses a request: on the open queue, keyed without an identifier, or
// keyed with one.
func (l *load) nextRequest(random *rand.Rand, name string) (string, callerRequest) {
	req := callerRequest{workMs: 5 + random.IntN(80), echo: name, timeoutMs: loadTimeoutMs}
	switch random.IntN(4) {
	case 0:
		req.queue = "prices"
		return "sales", req
	case 1:
		req.queue, req.key, req.idempotent = "stock", ledgerKey.Format(), true
		return "ledger", req
	case 2:
		req.queue, req.key = "quotes", salesKey.Format()
		return "sales", req
	}
	req.queue, req.key, req.id = "quotes", salesKey.Format(), "order-"+name
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed.runAtMostOnce[req.id] = true
	return "sales", req
}

// send sends req and asks again at other hosts while the outcome is not known
// and the request has an identifier.
func (l *load) send(random *rand.Rand, team string, req callerRequest) {
	for range loadRetries + 1 {
		h := l.cluster.hosts[random.IntN(len(l.cluster.hosts))]
		got := l.calls.send(h, team, req)
		if got.outcome == "done" || req.id == "" {
			return
		}
	}
}
