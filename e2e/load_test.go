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
	loadWorkers   = 24
	loadTimeoutMs = 3000
	// loadRetries is how often a caller asks again, at another entry host,
	// under the same identifier.
	loadRetries = 2
	loadPause   = 20 * time.Millisecond
	// revisionPause is the time between two looks at a host's revision.
	revisionPause = 100 * time.Millisecond
)

// load sends seeded work of all kinds until its context ends.
type load struct {
	c     *cluster
	calls *callers
	e     *evidence
	seed  uint64

	mu sync.Mutex
}

// runLoad starts the load and returns a function that stops it and waits.
func runLoad(t *testing.T, c *cluster, calls *callers, e *evidence, seed uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{c: c, calls: calls, e: e, seed: seed}
	var sending sync.WaitGroup
	for worker := range loadWorkers {
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
		team, req := l.next(random, fmt.Sprintf("w%d-%d", worker, n))
		l.send(random, team, req)
		select {
		case <-ctx.Done():
		case <-time.After(loadPause):
		}
	}
}

// watchRevision records the revisions that a host shows, so that a host which
// goes back is seen.
func (l *load) watchRevision(ctx context.Context, h *entryHost) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		doc, err := l.c.document(callCtx, h)
		cancel()
		if err == nil {
			l.mu.Lock()
			l.e.revisions[h.name] = append(l.e.revisions[h.name], doc.Revision)
			l.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(revisionPause):
		}
	}
}

// next chooses a request: on the open queue, keyed without an identifier, or
// keyed with one.
func (l *load) next(random *rand.Rand, name string) (string, call) {
	req := call{workMs: 5 + random.IntN(80), echo: name, timeoutMs: loadTimeoutMs}
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
	l.e.nonIdempotent[req.id] = true
	return "sales", req
}

// send sends req and asks again at other hosts while the outcome is not known
// and the request has an identifier.
func (l *load) send(random *rand.Rand, team string, req call) {
	for range loadRetries + 1 {
		h := l.c.hosts[random.IntN(len(l.c.hosts))]
		got := l.calls.send(h, team, req)
		if got.outcome == "done" || req.id == "" {
			return
		}
	}
}
