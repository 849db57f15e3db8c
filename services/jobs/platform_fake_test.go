package jobs_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// fakeStore is a table and an object store in memory.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]services.Row
	objects map[string][]byte
	version uint64
	writes  int
	down    bool
	// readDelay is how long the reply to a read takes.
	readDelay time.Duration
	// commitDelay is how long a commit takes.
	commitDelay time.Duration
	// loseReplies lets commits take effect and reports them as unknown.
	loseReplies bool
}

// fakePlatform is one host's access to the store. Hold, when set, is called after
// each commit took effect and before the host learns of it.
type fakePlatform struct {
	*fakeStore
	afterCommit func(services.Transaction)
	partitioned *atomic.Bool
}

var errDown = fault.New(&fault.NotRun, fault.ReasonPlatformDown, "table", "platform", "down")

func (p *fakePlatform) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	defer time.Sleep(p.readDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.partitioned.Load() {
		return nil, errDown
	}
	var out []services.Row
	for _, k := range keys {
		r := p.rows[k]
		r.Key = k
		out = append(out, r)
	}
	return out, nil
}

func (p *fakePlatform) Scan(_ context.Context, prefix, after string, limit int) ([]services.Row, bool, error) {
	defer time.Sleep(p.readDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.partitioned.Load() {
		return nil, false, errDown
	}
	var out []services.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b services.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], len(out) > limit, nil
}

func (p *fakePlatform) Commit(_ context.Context, tx services.Transaction) (services.CommitResult, error) {
	time.Sleep(p.commitDelay)
	result, err := p.commit(tx)
	if p.afterCommit != nil && result.Committed {
		p.afterCommit(tx)
	}
	return result, err
}

func (p *fakePlatform) commit(tx services.Transaction) (services.CommitResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.partitioned.Load() {
		return services.CommitResult{}, errDown
	}
	var result services.CommitResult
	for _, c := range tx.Conditions {
		if r := p.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			result.Current = append(result.Current, r)
		}
	}
	if len(result.Current) == 0 {
		p.version++
		for _, w := range tx.Writes {
			p.writes++
			p.rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: p.version}
			if w.Delete {
				delete(p.rows, w.Key)
			}
		}
		result.Committed, result.Version = true, p.version
	}
	if p.loseReplies {
		return services.CommitResult{}, fault.New(&fault.Unknown, fault.ReasonPlatformDown, "commit", "platform", "reply lost")
	}
	return result, nil
}

func (p *fakePlatform) PutObject(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.partitioned.Load() {
		return errDown
	}
	p.objects[name] = data
	return nil
}

func (p *fakePlatform) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	return data, ok, nil
}

func (p *fakePlatform) ListHosts(context.Context) ([]fleet.Host, error) { return nil, nil }
func (p *fakePlatform) Provision(*kernel.Context) error                 { return nil }

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *fakeStore) row(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}

// count returns the number of rows under a prefix.
func (s *fakeStore) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
