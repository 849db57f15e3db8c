// Package catalog is the service that follows the operator's configuration and
// waves. The duty catalog.follow owns the state. Readers get the latest version,
// which never decreases.
package catalog

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxFollowWait is how long the store may hold back a response while nothing
	// changes. A silent connection is detected that much later.
	maxFollowWait = time.Second
	// retryDelay is the delay before a failed read is retried.
	retryDelay = 250 * time.Millisecond
)

// Service implements services.Catalogs.
type Service struct {
	log         zerolog.Logger
	operator    services.OperatorStore
	clock       services.Clock
	view        atomic.Pointer[view]
	changeRings []*ring.Ring[struct{}]
	ageGauge    tally.Gauge
	scope       tally.Scope
}

// view is the state that readers see. It is not modified once published.
type view struct {
	catalog *catalog.Catalog
	waves   map[int]services.MaintenanceWave
	readAt  time.Time
}

// New returns the service.
func New(clock services.Clock) *Service {
	s := &Service{clock: clock}
	s.view.Store(&view{waves: map[int]services.MaintenanceWave{}})
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log, s.scope = c.Log, c.Scope
	s.ageGauge = c.Scope.Gauge("catalog_age_seconds")
	var err error
	s.operator, err = kernel.Lookup[services.OperatorStore](c, services.NamePlatform)
	c.AddRestartableDuty("catalog.follow", s.follow)
	return err
}

// Catalog implements services.Catalogs.
func (s *Service) Catalog() *catalog.Catalog { return s.view.Load().catalog }

// Waves implements services.Catalogs.
func (s *Service) Waves() []services.MaintenanceWave {
	v := s.view.Load()
	waves := make([]services.MaintenanceWave, 0, len(v.waves))
	for _, n := range slices.Sorted(maps.Keys(v.waves)) {
		waves = append(waves, v.waves[n])
	}
	return waves
}

// WatchChanges implements services.Catalogs.
func (s *Service) WatchChanges(name string) services.ChangedRing {
	r := ring.New[struct{}](name, 1, s.scope)
	s.changeRings = append(s.changeRings, r)
	return r
}

// follow reads the whole state once, then its changes.
func (s *Service) follow(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		state, err := s.read(ctx, version)
		if err != nil {
			s.ageGauge.Update(s.clock().Sub(s.view.Load().readAt).Seconds())
			services.Sleep(ctx, retryDelay)
			continue
		}
		if state.VersionExpired {
			s.log.Info().Int64("version", version).Msg("store no longer has the changes since this version; reading all")
			version = 0
			continue
		}
		version = max(version, state.Version)
		s.apply(state)
	}
}

func (s *Service) read(ctx context.Context, version int64) (services.OperatorState, error) {
	if version == 0 {
		return s.operator.ReadOperatorState(ctx)
	}
	return s.operator.AwaitOperatorChange(ctx, version, maxFollowWait)
}

func (s *Service) apply(state services.OperatorState) {
	old := s.view.Load()
	next := &view{catalog: old.catalog, waves: old.waves, readAt: s.clock()}
	changed := false
	if c := state.Catalog; c != nil && (old.catalog == nil || c.Version > old.catalog.Version) {
		next.catalog, changed = c, true
		s.log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Int("tenants", len(c.Tenants)).Msg("configuration in force")
	}
	if len(state.Waves) > 0 {
		next.waves = maps.Clone(old.waves)
		for _, w := range state.Waves {
			if old.waves[w.Number].Version >= w.Version {
				continue
			}
			next.waves[w.Number], changed = w, true
			s.log.Info().Int("wave", w.Number).Int("machines", len(w.Machines)).Int("max_down", w.MaxDown).Dur("duration", w.Duration).Msg("wave requested by the operator")
		}
	}
	s.view.Store(next)
	s.ageGauge.Update(0)
	if !changed {
		return
	}
	for _, r := range s.changeRings {
		r.OfferLatest(struct{}{})
	}
}
