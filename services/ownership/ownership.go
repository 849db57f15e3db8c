// Package ownership is the service that claims pools and renews the ownership of
// them. The duty ownership.watch owns all its state.
package ownership

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// readInterval is the time between reads of the owner records, which show the
	// renewals of all pools.
	readInterval = 200 * time.Millisecond
	// maxReadGap is the longest time between two reads for which an unchanged record
	// is attributed to its owner and not to this process.
	maxReadGap       = 1200 * time.Millisecond
	lostRingCapacity = 16
	// callDutyCount is the number of owner records written at once. A slow store
	// takes half a second for each, and a renewal must not wait for others.
	callDutyCount     = 4
	callsRingCapacity = 16
)

// Settings configures the service.
type Settings struct {
	Host        string
	Incarnation int64
	// CPUShare is the processor share of the host, in cores.
	CPUShare float64
}

// Service implements services.Ownership.
type Service struct {
	settings        Settings
	clock           services.Clock
	log             zerolog.Logger
	scope           tally.Scope
	records         services.Records
	catalogs        services.Catalogs
	ownedPoolsRings []*ring.Ring[struct{}]
	lostOwnerships  *ring.Ring[services.PoolOwnership]
	workers         *ring.Workers
	storeHealth     services.StoreHealth
	ownedPools      atomic.Pointer[map[string]services.PoolOwnership]
	observations    atomic.Pointer[map[string]observation]
	summaries       *ring.Ring[services.PublishedSummary]
	// serving ends when the pools are to be released.
	serving    context.Context
	endServing context.CancelFunc

	// The fields below are owned by the duty ownership.watch.
	pools          map[string]*pool
	changesVersion int64
	lastReadAt     time.Time
	ownedGauge     tally.Gauge
}

// pool is the observed state of one pool.
type pool struct {
	name       string
	record     jobrecord.OwnerRecord
	version    int64
	recordRead bool
	// unchangedFor and ownerlessFor are sums of the times between successful reads.
	unchangedFor  time.Duration
	ownerlessFor  time.Duration
	ownership     *services.PoolOwnership
	nextRenewalAt time.Time
	// claimedAt is when the last claim was sent.
	claimedAt time.Time
	// summary is the latest summary of an owned pool, and observed that of the record.
	summary, observed *waitestimate.Summary
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	service := &Service{settings: s, clock: clock, pools: make(map[string]*pool)}
	service.serving, service.endServing = context.WithCancel(context.Background())
	service.ownedPools.Store(&map[string]services.PoolOwnership{})
	service.observations.Store(&map[string]observation{})
	return service
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log, s.scope = c.Log, c.Scope
	s.ownedGauge = c.Scope.Gauge("pools_owned")
	s.lostOwnerships = ring.New[services.PoolOwnership]("ownership.lost", lostRingCapacity, c.Scope)
	s.summaries = ring.New[services.PublishedSummary]("ownership.summaries", summariesRingCapacity, c.Scope)
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
		return err
	}
	if s.storeHealth, err = kernel.Lookup[services.StoreHealth](c, services.NamePlatform); err != nil {
		return err
	}
	if s.catalogs, err = kernel.Lookup[services.Catalogs](c, services.NameCatalog); err != nil {
		return err
	}
	s.workers = ring.NewWorkers("ownership.calls", callsRingCapacity, c.Scope)
	c.AddRestartableDuty("ownership.watch", s.watch)
	for range callDutyCount {
		c.AddRestartableDuty("ownership.calls", s.workers.Run)
	}
	return nil
}

// OwnedPools implements services.Ownership.
func (s *Service) OwnedPools() map[string]services.PoolOwnership { return *s.ownedPools.Load() }

// WatchOwnedPools implements services.Ownership.
func (s *Service) WatchOwnedPools(name string) services.ChangedRing {
	r := ring.New[struct{}](name, 1, s.scope)
	s.ownedPoolsRings = append(s.ownedPoolsRings, r)
	return r
}

// ReportLost implements services.Ownership.
func (s *Service) ReportLost(o services.PoolOwnership) bool { return s.lostOwnerships.Offer(o) }

// Drain makes the service release all pools, so that other hosts claim them at
// once.
func (s *Service) Drain(context.Context) error {
	s.endServing()
	return nil
}

func (s *Service) watch(ctx context.Context) {
	// After a panic, changes may have been read and not applied.
	s.changesVersion = 0
	for ctx.Err() == nil {
		s.dropLostOwnerships()
		s.takeSummaries()
		s.round(ctx)
		s.sleep(ctx, readInterval)
	}
}

// sleep waits for d, or until the pools are to be released.
func (s *Service) sleep(ctx context.Context, d time.Duration) {
	if s.serving.Err() == nil {
		var cancel context.CancelFunc
		ctx, cancel = s.contextWhileServing(ctx)
		defer cancel()
	}
	services.Sleep(ctx, d)
}

// contextWhileServing returns a context that ends with ctx, or when the pools are
// to be released.
func (s *Service) contextWhileServing(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.serving, cancel)
	return ctx, func() { stop(); cancel() }
}

// dropLostOwnerships drops the ownerships that other duties have reported as
// lost.
func (s *Service) dropLostOwnerships() {
	for {
		select {
		case o := <-s.lostOwnerships.C():
			s.dropOwnership(o)
		default:
			return
		}
	}
}

// dropOwnership drops an ownership that another process has ended.
func (s *Service) dropOwnership(o services.PoolOwnership) {
	p := s.pools[o.Pool]
	if p == nil || p.ownership == nil || p.ownership.Term != o.Term {
		return
	}
	s.log.Warn().Str("pool", o.Pool).Int("term", o.Term).Msg("pool lost")
	p.ownership = nil
	s.publishOwnedPools()
}

// round reads the owner records, renews owned pools and claims others. Once the
// pools are to be released, it only releases them.
func (s *Service) round(ctx context.Context) {
	catalog := s.catalogs.Catalog()
	if catalog == nil {
		return
	}
	s.addPool(services.MachineManagementPool)
	for name := range catalog.Services {
		s.addPool(name)
	}
	if s.serving.Err() != nil {
		s.releaseAll(ctx)
		return
	}
	if err := s.refresh(ctx); err != nil {
		s.log.Debug().Err(err).Msg("owner records not read; round skipped")
		return
	}
	s.renewAll(ctx)
	s.claimAll(ctx)
}

func (s *Service) addPool(name string) {
	if s.pools[name] == nil {
		s.pools[name] = &pool{name: name}
		s.changesVersion = 0
	}
}

// refresh reads the owner records, or their changes, and updates the pools.
func (s *Service) refresh(ctx context.Context) error {
	records, err := s.readRecords(ctx)
	if err != nil {
		return err
	}
	now := s.clock()
	changed := make(map[string]bool)
	for i := range records {
		r := &records[i]
		if p := s.pools[r.Part]; p != nil && r.RecordKey == jobrecord.OwnerKey(r.Part) {
			changed[r.Part] = s.applyRecord(p, r) || changed[r.Part]
		}
	}
	elapsed := now.Sub(s.lastReadAt)
	if elapsed > maxReadGap {
		elapsed = 0
	}
	s.lastReadAt = now
	for _, p := range s.pools {
		p.unchangedFor += elapsed
		p.ownerlessFor += elapsed
		if changed[p.name] {
			p.unchangedFor, p.ownerlessFor = 0, 0
		}
		p.recordRead = true
	}
	s.publishObservations(now)
	return nil
}

func (s *Service) readRecords(ctx context.Context) ([]services.Record, error) {
	if s.changesVersion > 0 {
		ctx, cancel := s.contextWhileServing(ctx)
		defer cancel()
		changes, err := s.records.Changes(ctx, jobrecord.TableOwners, s.changesVersion, 0)
		if err != nil {
			return nil, err
		}
		if !changes.VersionExpired {
			s.changesVersion = max(s.changesVersion, changes.Version)
			return changes.Records, nil
		}
		s.log.Info().Int64("version", s.changesVersion).Msg("store no longer has the changes since this version; reading all owner records")
	}
	var all []services.Record
	version := int64(0)
	for name := range s.pools {
		page, err := s.records.Scan(ctx, services.RecordRange{Table: jobrecord.TableOwners, Part: name})
		if err != nil {
			return nil, err
		}
		if version == 0 || page.Version < version {
			version = page.Version
		}
		all = append(all, page.Records...)
	}
	s.changesVersion = version
	return all, nil
}

// applyRecord applies an owner record if it is newer, and reports whether it is.
func (s *Service) applyRecord(p *pool, r *services.Record) bool {
	if r.Version <= p.version {
		return false
	}
	var record jobrecord.OwnerRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		s.log.Error().Err(err).Str("record", r.Part+"/"+r.Key).Msg("owner record cannot be decoded; treated as released")
		record = jobrecord.OwnerRecord{Released: true}
	}
	if record.Holder != p.record.Holder || record.Incarnation != p.record.Incarnation {
		s.log.Info().Str("pool", p.name).Str("holder", record.Holder).Int("term", record.Term).Msg("pool has an owner")
	}
	p.record, p.version = record, r.Version
	s.observe(p)
	if p.ownership == nil && s.ownedBySelf(record) && record.Renewals == 0 {
		// An earlier claim without a response took effect.
		s.startOwnership(p, record, r.Version)
		s.publishOwnedPools()
		return true
	}
	if p.ownership != nil && !s.ownedBySelf(record) {
		s.log.Warn().Str("pool", p.name).Str("holder", record.Holder).Int("term", p.ownership.Term).Msg("pool lost")
		p.ownership = nil
		s.publishOwnedPools()
	}
	return true
}

func (s *Service) ownedBySelf(r jobrecord.OwnerRecord) bool {
	return r.Holder == s.settings.Host && r.Incarnation == s.settings.Incarnation && !r.Released
}

// publishOwnedPools publishes the owned pools and notifies the other services.
func (s *Service) publishOwnedPools() {
	owned := make(map[string]services.PoolOwnership)
	for name, p := range s.pools {
		if p.ownership != nil {
			owned[name] = *p.ownership
		}
	}
	s.ownedGauge.Update(float64(len(owned)))
	s.ownedPools.Store(&owned)
	for _, r := range s.ownedPoolsRings {
		r.OfferLatest(struct{}{})
	}
}
