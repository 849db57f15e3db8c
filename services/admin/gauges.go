package admin

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/services"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// gauges records which teams and pools were reported, so that one that no longer
// exists is reported as zero and not with its last value.
type gauges struct {
	service       *Service
	reportedTeams map[string]bool
	reportedPools map[string]bool
}

// runGauges updates the gauges of the shared state and the rights every
// gaugePeriod.
func (s *Service) runGauges(ctx context.Context) {
	g := &gauges{service: s, reportedTeams: make(map[string]bool), reportedPools: make(map[string]bool)}
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		g.update()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *gauges) update() {
	s := g.service
	staleness, _ := s.staleness()
	s.scope.Gauge("currency_age_seconds").Update(staleness.Seconds())
	g.updateRights()
	view := s.state.View()
	if view == nil {
		return
	}
	s.scope.Gauge("revision_in_force").Update(float64(view.Revision))
	g.updateHosts(view)
}

func (g *gauges) updateRights() {
	usage := make(map[string]services.RightsUsage)
	for _, u := range g.service.rights.Usage() {
		usage[u.Team] = u
		g.reportedTeams[u.Team] = true
	}
	for team := range g.reportedTeams {
		scope := g.service.scope.Tagged(map[string]string{"team": team})
		scope.Gauge("rights_held").Update(float64(usage[team].Held))
		scope.Gauge("rights_used").Update(float64(usage[team].Used))
	}
}

func (g *gauges) updateHosts(view *services.View) {
	out := make(map[string]int)
	for _, pool := range view.Document.Pools() {
		g.reportedPools[pool.Name] = true
	}
	for _, host := range view.Ledger.Entries {
		out[host.Pool]++
		g.reportedPools[host.Pool] = true
	}
	for pool := range g.reportedPools {
		g.service.scope.Tagged(map[string]string{"pool": pool}).Gauge("hosts_out_of_service").Update(float64(out[pool]))
	}
}
