// Package metrics collects tally metrics and serves them to a scraper in the
// Prometheus text format.
package metrics

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	metricPrefix  = "fuchsiafront"
	refusedMetric = "refused_total"
	retriedMetric = "retried_total"
	// reportInterval is how old a scraped value may be.
	reportInterval = time.Second
)

// Service implements services.Metrics.
type Service struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	// mu guards refusals: every duty and HTTP handler counts into it, and a ring
	// would have to drop counts when full.
	mu       sync.Mutex
	refusals map[refusalKey]int64
}

type refusalKey struct {
	step   string
	reason fault.Reason
}

// New returns the service and the root scope that it reports. log receives
// the errors of metrics that cannot be registered.
func New(log zerolog.Logger) (*Service, tally.Scope) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("metric not registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	s := &Service{scope: scope, closer: closer, reporter: reporter, refusals: make(map[refusalKey]int64)}
	return s, scope
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Context) error { return nil }

// Stop ends reporting.
func (s *Service) Stop(context.Context) error { return s.closer.Close() }

// CountRefusal implements services.Metrics.
func (s *Service) CountRefusal(step string, reason fault.Reason) {
	s.countEvent(refusedMetric, step, reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[refusalKey{step, reason}]++
}

// CountRetry implements services.Metrics.
func (s *Service) CountRetry(step string, reason fault.Reason) {
	s.countEvent(retriedMetric, step, reason)
}

func (s *Service) countEvent(metric, step string, reason fault.Reason) {
	tags := map[string]string{"step": step, "reason": string(reason)}
	s.scope.Tagged(tags).Counter(metric).Inc(1)
}

// Refusals implements services.Metrics.
func (s *Service) Refusals() []services.RefusalCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]services.RefusalCount, 0, len(s.refusals))
	for k, n := range s.refusals {
		counts = append(counts, services.RefusalCount{Step: k.step, Reason: k.reason, Count: n})
	}
	slices.SortFunc(counts, func(a, b services.RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}

// Handler implements services.Metrics.
func (s *Service) Handler() http.Handler { return s.reporter.HTTPHandler() }
