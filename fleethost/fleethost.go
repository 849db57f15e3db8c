// Package fleethost assembles an entry host that runs on the users' platform.
package fleethost

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/catalog"
	"fuchsiafront.example/fuchsiafront/services/jobintake"
	"fuchsiafront.example/fuchsiafront/services/logsink"
	"fuchsiafront.example/fuchsiafront/services/metrics"
	"fuchsiafront.example/fuchsiafront/services/ownership"
	"fuchsiafront.example/fuchsiafront/services/pools"
	"fuchsiafront.example/fuchsiafront/services/upkeep"
)

const (
	// gcPercent lets the heap grow to 3.5 times the live data before a collection:
	// a busy owner spent a quarter of its CPU time on collecting a heap of about
	// 15 MB.
	gcPercent = 250
	// memoryLimitPercent is the part of the memory given to the process above which
	// the garbage collector runs more often.
	memoryLimitPercent = 60
	// endedRetentionFactor is the multiple of the time that the platform requires
	// for which the records of ended jobs are kept.
	endedRetentionFactor = 5
	// exitMargin is the part of the platform's grace time reserved for the exit itself.
	exitMargin = time.Second
)

// Host is an assembled entry host process.
type Host struct {
	settingsPath string
	adapter      *platform.Adapter
	kernel       *kernel.Kernel
	log          zerolog.Logger
	// earlyRefusal and divideMachines are the settings of these names, for the log.
	earlyRefusal, divideMachines bool
}

// Option changes how a process is assembled.
type Option func(*options)

// options are the settings that the platform's file does not have.
type options struct{ earlyRefusal, divideMachines bool }

// WithDividedMachines sets whether machines are divided among the pools when there are
// too few for all.
func WithDividedMachines(on bool) Option { return func(o *options) { o.divideMachines = on } }

// WithEarlyRefusal sets whether jobs are refused that could not end while they have value.
func WithEarlyRefusal(on bool) Option { return func(o *options) { o.earlyRefusal = on } }

// New assembles the process from the platform's settings file. Logs go to out.
func New(settingsPath string, level zerolog.Level, out io.Writer, clock services.Clock, opts ...Option) (*Host, error) {
	var o options
	for _, apply := range opts {
		apply(&o)
	}
	settings, err := platform.Load(settingsPath)
	if err != nil {
		return nil, err
	}
	metricsService, scope := metrics.New(zerolog.New(out))
	sink := logsink.New(out, scope)
	log := zerolog.New(sink).Level(level).With().Timestamp().Str("host", settings.NodeName).Logger()
	h := &Host{settingsPath: settingsPath, adapter: platform.New(settings), log: log, kernel: kernel.New(log, scope), earlyRefusal: o.earlyRefusal, divideMachines: o.divideMachines}
	k := h.kernel
	k.Register(services.NameLog, sink)
	k.Register(services.NameMetrics, metricsService)
	k.Register(services.NamePlatform, h.adapter)
	k.Register(services.NameCatalog, catalog.New(clock))
	k.Register(services.NameOwnership, ownership.New(ownership.Settings{
		Host: settings.NodeName, Incarnation: clock().UnixNano(), CPUShare: settings.Limits.CPUShare,
	}, clock))
	k.Register(services.NamePools, pools.New(pools.Settings{Params: planParams(settings), JobRetention: endedRetention(settings), PublishSummaries: o.earlyRefusal}, clock))
	k.Register(services.NameUpkeep, upkeep.New(upkeep.Settings{
		Host: settings.NodeName, MaintenanceTime: platform.Seconds(settings.Bounds.MaintenanceS), MoveTime: platform.Seconds(settings.Bounds.MoveS),
		OrdersPerSecond: settings.Machines.OrdersPerSecond, OrderLease: platform.Milliseconds(settings.Bounds.OrderLeaseMs),
		PublishStandby: o.earlyRefusal, DivideMachines: o.divideMachines,
	}, clock))
	k.Register(services.NameJobIntake, jobintake.New(jobintake.Settings{EarlyRefusal: o.earlyRefusal}, clock))
	k.Register(services.NameJobFront, platform.NewJobFront(h.adapter, clock))
	return h, nil
}

func planParams(s *platform.Settings) poolplan.Params {
	return poolplan.Params{
		MaxLease:     platform.Milliseconds(s.Bounds.LeaseMaxMs),
		StopTime:     platform.Milliseconds(s.Bounds.StopTimeMs),
		RemoteFactor: remoteFactor(s.Bounds.RemoteFactor),
	}
}

// maxRemoteFactor keeps durations times the factor within the range of a duration.
const maxRemoteFactor = 1000

// remoteFactor returns the factor in force: 1 if the setting is absent, lower or not a
// number.
func remoteFactor(setting float64) float64 {
	if !(setting > 1) {
		return 1
	}
	return min(setting, maxRemoteFactor)
}

func endedRetention(s *platform.Settings) time.Duration {
	return endedRetentionFactor * platform.Seconds(s.Bounds.StatusRetentionS)
}

// Run serves until SIGINT or SIGTERM, and reloads the settings file on SIGHUP.
func (h *Host) Run() error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(h.adapter.Settings().Limits.MemoryMB << 20 * memoryLimitPercent / 100)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go h.reloadOnSignal(ctx, reload)
	return h.Serve(ctx)
}

// Serve serves until ctx ends, and then stops within the platform's grace time.
func (h *Host) Serve(ctx context.Context) error {
	settings := h.adapter.Settings()
	h.log.Info().Str("zone", settings.Zone).Str("jobs", settings.Listen.Jobs).Str("store", settings.Store.Address).
		Float64("cpu_share", settings.Limits.CPUShare).Int64("memory_mb", settings.Limits.MemoryMB).Bool("early_refusal", h.earlyRefusal).Bool("divide_machines", h.divideMachines).Msg("starting")
	return h.kernel.Run(ctx, platform.Seconds(settings.Bounds.StopGraceS)-exitMargin)
}

// reloadOnSignal reads the settings file again on each signal, by which the
// platform tells that it has changed. An invalid file changes nothing.
func (h *Host) reloadOnSignal(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := platform.Load(h.settingsPath)
			if err != nil {
				h.log.Error().Err(err).Msg("settings not reloaded; keeping those in force")
				continue
			}
			h.adapter.Reload(settings)
			h.log.Info().Str("store", settings.Store.Address).Msg("settings reloaded")
		}
	}
}
