package jobintake

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// refusalsRingCapacity is the number of refusals that wait to be noted. One that
	// finds no room is not noted; those of the same tenant around it are.
	refusalsRingCapacity = 256
	// refusingFor is how long after a refusal the bound for the same pool and tenant stays
	// at that at which refusal stops: the time for which a summary holds.
	refusingFor = waitestimate.MaxSummaryAge
	// minRefusalGap is the time within which another refusal changes nothing.
	minRefusalGap = 100 * time.Millisecond
)

// refusingKey is a pool and a tenant.
type refusingKey struct{ pool, tenant string }

// hysteresis remembers for which pools and tenants jobs were refused a short time ago. The
// duty jobdesk.refusals owns it; readers get an immutable copy.
type hysteresis struct {
	clock     services.Clock
	refusals  *ring.Ring[refusingKey]
	published atomic.Pointer[map[refusingKey]time.Time]
}

func (h *hysteresis) rings(clock services.Clock, scope tally.Scope) {
	h.clock = clock
	h.refusals = ring.New[refusingKey]("jobdesk.refusals", refusalsRingCapacity, scope)
	h.published.Store(&map[refusingKey]time.Time{})
}

// refused notes a refusal. It may be called from any goroutine.
func (h *hysteresis) refused(pool, tenant string) { h.refusals.Offer(refusingKey{pool, tenant}) }

// refusing reports whether jobs were refused a short time ago.
func (h *hysteresis) refusing(pool, tenant string) bool {
	at, ok := (*h.published.Load())[refusingKey{pool, tenant}]
	return ok && h.clock().Sub(at) < refusingFor
}

// run is the duty jobdesk.refusals.
func (h *hysteresis) run(ctx context.Context) {
	for {
		key, err := h.refusals.Take(ctx)
		if err != nil {
			return
		}
		h.note(key)
	}
}

func (h *hysteresis) note(key refusingKey) {
	now, known := h.clock(), *h.published.Load()
	if at, ok := known[key]; ok && now.Sub(at) < minRefusalGap {
		return
	}
	next := maps.Clone(known)
	maps.DeleteFunc(next, func(_ refusingKey, at time.Time) bool { return now.Sub(at) >= refusingFor })
	next[key] = now
	h.published.Store(&next)
}
