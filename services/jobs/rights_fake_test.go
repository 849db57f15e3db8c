package jobs_test

import (
	"context"
	"encoding/json"
	"sync"

	decision "fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// fakeRights counts the rights of one team over all hosts. The rights of jobs are
// in a row of the store, so that they change with the jobs' rows.
type fakeRights struct {
	mu    sync.Mutex
	store *fakeStore
	limit int
	// acquired are the rights of each host that no job is bound to.
	acquired map[string]int
	peak     int
	rings    []*ring.Ring[string]
	waiting  map[string]int
}

// hostRights is one host's access to the rights.
type hostRights struct {
	*fakeRights
	platform *fakePlatform
	self     decision.Holder
}

const rightsKey = "rights/team"

func decodeRights(r services.Row) (out decision.Row) {
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &out); err != nil {
			panic(err)
		}
	}
	return out
}

func (r *fakeRights) Provision(*kernel.Context) error { return nil }
func (r *hostRights) Acquire(_ context.Context, team string, n int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count()+n > r.limit {
		return fault.New(&fault.NotRun, fault.ReasonTeamLimit, "acquire", "", "limit of team %s", team)
	}
	r.acquired[r.self.Host] += n
	return nil
}

func (r *hostRights) Release(string, int) { r.adjust(-1) }

func (r *hostRights) adjust(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acquired[r.self.Host] += n
	if r.acquired[r.self.Host] < 0 {
		panic("right released twice")
	}
	r.notifyFreed()
}

func (r *fakeRights) notifyFreed() {
	for _, freed := range r.rings {
		freed.OfferLatest("team")
	}
}

// freeAcquired frees the rights of a host that ended, but for those of its jobs.
func (r *fakeRights) freeAcquired(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acquired[host] = 0
	r.notifyFreed()
}

func (r *hostRights) SetWaiting(string, int) {}

func (r *hostRights) SetWaitingJobs(_ string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[r.self.Host] = n
}

func (r *fakeRights) WatchFreedRights(name string) services.FreedRing {
	freed := ring.New[string](name, 8, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rings = append(r.rings, freed)
	return freed
}
func (r *fakeRights) Usage() []services.RightsUsage { return nil }

// count returns the rights of jobs and of all hosts.
func (r *fakeRights) count() int {
	n := r.store.rightsRow().Sum()
	for _, acquired := range r.acquired {
		n += acquired
	}
	return n
}

func (s *fakeStore) rightsRow() decision.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decodeRights(s.rows[rightsKey])
}

func (r *fakeRights) inUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count()
}

func (r *fakeRights) waitingOf(host string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[host]
}

func (r *fakeRights) recordPeak(held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peak = max(r.peak, held)
}

func (r *fakeRights) peakInUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

func (r *hostRights) PlaceJob(ctx context.Context, _ string) (services.RightsChange, error) {
	return r.rightsChange(ctx, true, func(row decision.Row) (decision.Row, bool) {
		row.Limit.Rights = row.Sum() + 1
		row, _ = row.Take(r.self, 1)
		return row.PlaceJob(r.self)
	})
}

func (r *hostRights) AdoptJob(ctx context.Context, _ string, from services.Identity) (services.RightsChange, error) {
	return r.rightsChange(ctx, false, func(row decision.Row) (decision.Row, bool) {
		return row.AdoptJob(decision.Holder{Host: from.Name, Incarnation: from.Incarnation}, r.self)
	})
}

func (r *hostRights) EndJob(ctx context.Context, _ string, from services.Identity) (services.RightsChange, error) {
	h := decision.Holder{Host: from.Name, Incarnation: from.Incarnation}
	return r.rightsChange(ctx, false, func(row decision.Row) (decision.Row, bool) {
		row, ok := row.EndJob(h)
		row, _ = row.GiveBack(h, 1)
		return row, ok
	})
}

func (r *hostRights) rightsChange(ctx context.Context, placed bool, change func(decision.Row) (decision.Row, bool)) (services.RightsChange, error) {
	rows, err := r.platform.Get(ctx, rightsKey)
	if err != nil {
		return services.RightsChange{}, err
	}
	next, ok := change(decodeRights(rows[0]))
	if !ok {
		return services.RightsChange{}, fault.New(&fault.NotRun, fault.ReasonNoJobRight, "account for job", "", "no right")
	}
	value, err := json.Marshal(next)
	return services.RightsChange{
		Condition: services.Condition{Key: rightsKey, Version: rows[0].Version},
		Write:     services.Write{Key: rightsKey, Value: value},
		Settle: func(result services.CommitResult, err error) {
			bound := result.Committed || (err != nil && !fault.IsNotRun(err))
			switch {
			case placed && bound:
				r.adjust(-1)
			case bound:
				r.adjust(0)
			}
		},
	}, err
}
