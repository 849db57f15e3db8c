package admin

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/services"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// gauges remembers which tags were reported, so that a team or pool that is
// gone is reported as zero and not with its last value.
type gauges struct {
	service       *Service
	reportedTeams map[string]bool
	reportedPools map[string]bool
}

// runGauges keeps the gauges of the shared state and the rights up to date.
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
	age, _ := s.currencyAge()
	s.scope.Gauge("currency_age_seconds").Update(age.Seconds())
	g.updateRights()
	view := s.state.View()
	if view == nil {
		return
	}
	s.scope.Gauge("revision_in_force").Update(float64(view.Revision))
	g.updateHosts(view)
}

func (g *gauges) updateRights() {
	use := make(map[string]services.RightsUsage)
	for _, u := range g.service.rights.Usage() {
		use[u.Team] = u
		g.reportedTeams[u.Team] = true
	}
	for team := range g.reportedTeams {
		scope := g.service.scope.Tagged(map[string]string{"team": team})
		scope.Gauge("rights_held").Update(float64(use[team].Held))
		scope.Gauge("rights_used").Update(float64(use[team].Used))
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
