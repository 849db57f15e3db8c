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
	// loadRetries is how often a caller retries, at a random entry host, under
	// the same identifier.
	loadRetries     = 2
	requestInterval = 20 * time.Millisecond
	// revisionPollInterval is the time between two reads of a host's revision.
	revisionPollInterval = 100 * time.Millisecond
)

// load sends seeded requests of all kinds until its context ends.
type load struct {
	cluster  *cluster
	calls    *callRecorder
	observed *observations
	seed     uint64

	mu sync.Mutex
}

// runLoad starts the load and returns a function that stops it and waits for its end.
func runLoad(t *testing.T, c *cluster, calls *callRecorder, observed *observations, seed uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cluster: c, calls: calls, observed: observed, seed: seed}
	var sending sync.WaitGroup
	for client := range loadClients {
		sending.Go(func() { l.run(ctx, client) })
	}
	for _, h := range c.hosts {
		sending.Go(func() { l.watchRevision(ctx, h) })
	}
	return func() {
		cancel()
		sending.Wait()
	}
}

func (l *load) run(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(client)))
	for sequence := 0; ctx.Err() == nil; sequence++ {
		team, req := l.nextRequest(random, fmt.Sprintf("w%d-%d", client, sequence))
		l.send(random, team, req)
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
}

// watchRevision records the revisions that a host reports, so that the checker finds
// a host that goes back to an earlier one.
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

// nextRequest chooses a request: to the open queue, with a key but no identifier, or
// with a key and an identifier.
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

// send sends req to a random host and, if the request has an identifier, retries
// until it is done, at most loadRetries times.
func (l *load) send(random *rand.Rand, team string, req callerRequest) {
	for range loadRetries + 1 {
		h := l.cluster.hosts[random.IntN(len(l.cluster.hosts))]
		got := l.calls.send(h, team, req)
		if got.outcome == "done" || req.id == "" {
			return
		}
	}
}
