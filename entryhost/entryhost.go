package entryhost

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/admin"
	"fuchsiafront.example/fuchsiafront/services/backend"
	"fuchsiafront.example/fuchsiafront/services/claims"
	"fuchsiafront.example/fuchsiafront/services/dispatch"
	"fuchsiafront.example/fuchsiafront/services/front"
	"fuchsiafront.example/fuchsiafront/services/hosts"
	"fuchsiafront.example/fuchsiafront/services/jobs"
	"fuchsiafront.example/fuchsiafront/services/maintenance"
	"fuchsiafront.example/fuchsiafront/services/membership"
	"fuchsiafront.example/fuchsiafront/services/metrics"
	"fuchsiafront.example/fuchsiafront/services/peers"
	"fuchsiafront.example/fuchsiafront/services/platform"
	"fuchsiafront.example/fuchsiafront/services/rights"
	"fuchsiafront.example/fuchsiafront/services/statesync"
)

// Assemble registers the services of an entry host with a new kernel.
// The settings must be valid.
func Assemble(s Settings, log zerolog.Logger, clock services.Clock) *kernel.Kernel {
	metricsService, scope := metrics.New(log)
	log = log.With().Str("host", s.Name).Str("zone", s.Zone).Logger()
	k := kernel.New(log, scope)
	k.Register(services.NameMetrics, metricsService)
	k.Register(services.NamePlatform, platform.New(platform.Settings{URL: s.Platform, SourceIP: s.SourceIP}))
	k.Register(services.NameHosts, hosts.New(clock))
	k.Register(services.NameMembership, membership.New(s.identity(clock()), membership.Settings{HoldTerm: s.HoldTerm}, clock))
	k.Register(services.NameState, statesync.New(clock))
	k.Register(services.NamePeers, peers.New(s.peerSettings(), clock))
	k.Register(services.NameBackend, backend.New(backend.Settings{MaxEntryHosts: s.MaxEntryHosts, SourceIP: s.SourceIP}, clock))
	k.Register(services.NameDispatch, dispatch.New(clock))
	k.Register(services.NameAdmin, admin.New(s.adminSettings(), clock))
	k.Register(services.NameRights, rights.New(rights.Settings{HoldTerm: s.HoldTerm, LongestRequest: s.MaxTimeout}))
	k.Register(services.NameClaims, claims.New())
	k.Register(services.NameJobs, jobs.New(jobs.Config{Clock: clock}))
	k.Register(services.NameMaintenance, maintenance.New(clock, s.maintenanceSettings()))
	k.Register(services.NameFront, front.New(s.frontSettings(), clock))
	return k
}

// identity takes the start time as the incarnation, so that a later process
// with the same name has a higher one.
func (s *Settings) identity(now time.Time) services.Identity {
	return services.Identity{
		Name:        s.Name,
		Zone:        fleet.AvailabilityZone(s.Zone),
		Incarnation: uint64(now.UnixNano()),
		PeerAddress: cmp.Or(s.PeerAdvertise, s.PeerAddress),
	}
}

func (s *Settings) peerSettings() peers.Settings {
	return peers.Settings{
		Address:  s.PeerAddress,
		SourceIP: s.SourceIP,
		Seeds:    s.Peers,
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (s *Settings) adminSettings() admin.Settings {
	bootstrap := document.Operator{}
	if s.BootstrapKey != "" {
		bootstrap, _ = s.bootstrapOperator()
	}
	return admin.Settings{Address: s.AdminAddress, Bootstrap: bootstrap, MaxKeyStaleness: s.MaxKeyStaleness}
}

func (s *Settings) maintenanceSettings() maintenance.Settings {
	m := maintenance.DefaultSettings()
	weights := wave.Weights{Share: s.ShareWeight, Moves: s.MoveWeight, RollOut: s.RollOutWeight, Buffer: s.BufferWeight}
	m.Parallelism.Weights, m.Moves.Weights = weights, weights
	m.Parallelism.Spare, m.Parallelism.ReferenceRollOut = s.SpareHosts, s.ReferenceRollOut
	m.RetireAfter = s.HostRetirement
	return m
}

func (s *Settings) frontSettings() front.Settings {
	return front.Settings{
		Address:         s.CallerAddress,
		MaxBodyBytes:    s.MaxBodyBytes,
		DefaultTimeout:  s.DefaultTimeout,
		MaxTimeout:      s.MaxTimeout,
		MaxKeyStaleness: s.MaxKeyStaleness,
		ReadinessDelay:  s.ReadinessDelay,
	}
}
