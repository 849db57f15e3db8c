package entryfakes

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

// Mode is how the fake platform treats a call.
type Mode int

const (
	Up Mode = iota
	Down
	// LoseReply applies a commit and loses the reply.
	LoseReply
	// DelayCommit loses the reply and applies the commit only on Deliver.
	DelayCommit
)

// Platform is an in-memory table and object store with faults.
type Platform struct {
	Mu               sync.Mutex
	Rows             map[string]services.Row
	Objects          map[string][]byte
	Version          uint64
	CommitCalls      int
	mode             Mode
	FailObjectWrites bool
	commitDelay      time.Duration
	delayed          []services.Transaction
}

func NewPlatform() *Platform {
	return &Platform{Rows: map[string]services.Row{}, Objects: map[string][]byte{}}
}

func (p *Platform) Provision(*kernel.Context) error { return nil }

func (p *Platform) SetMode(m Mode) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	p.mode = m
}

// SetCommitDelay sets how long a commit takes.
func (p *Platform) SetCommitDelay(d time.Duration) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	p.commitDelay = d
}

func platformError(kind string) error {
	if kind == "unknown" {
		return fault.New(&fault.Unknown, fault.ReasonPlatformDown, "commit", "platform", "reply lost")
	}
	return fault.New(&fault.NotRun, fault.ReasonPlatformDown, "call", "platform", "down")
}

func (p *Platform) Get(_ context.Context, keys ...string) ([]services.Row, error) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	if p.mode == Down {
		return nil, platformError("")
	}
	var rows []services.Row
	for _, key := range keys {
		row := p.Rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (p *Platform) Scan(_ context.Context, prefix, after string, limit int) ([]services.Row, bool, error) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	var rows []services.Row
	for _, key := range slices.Sorted(maps.Keys(p.Rows)) {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, p.Rows[key])
		}
	}
	return rows[:min(limit, len(rows))], len(rows) > limit, nil
}

func (p *Platform) Commit(ctx context.Context, tx services.Transaction) (services.CommitResult, error) {
	p.Mu.Lock()
	delay := p.commitDelay
	p.Mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return services.CommitResult{}, ctx.Err()
	}
	p.Mu.Lock()
	defer p.Mu.Unlock()
	p.CommitCalls++
	switch p.mode {
	case Down:
		return services.CommitResult{}, platformError("")
	case LoseReply:
		p.apply(tx)
		return services.CommitResult{}, platformError("unknown")
	case DelayCommit:
		p.delayed = append(p.delayed, tx)
		return services.CommitResult{}, platformError("unknown")
	default:
		return p.apply(tx), nil
	}
}

func (p *Platform) apply(tx services.Transaction) services.CommitResult {
	var failed []services.Row
	for _, c := range tx.Conditions {
		if row := p.Rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return services.CommitResult{Current: failed}
	}
	p.Version++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(p.Rows, w.Key)
			continue
		}
		p.Rows[w.Key] = services.Row{Key: w.Key, Value: w.Value, Version: p.Version}
	}
	return services.CommitResult{Committed: true, Version: p.Version}
}

// ApplyDelayed applies the late commits.
func (p *Platform) ApplyDelayed() {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	for _, tx := range p.delayed {
		p.apply(tx)
	}
	p.delayed = nil
}

func (p *Platform) PutObject(_ context.Context, name string, data []byte) error {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	if p.FailObjectWrites {
		return platformError("")
	}
	p.Objects[name] = data
	return nil
}

func (p *Platform) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	data, ok := p.Objects[name]
	return data, ok, nil
}

func (p *Platform) ListHosts(context.Context) ([]fleet.Host, error) { return nil, nil }
