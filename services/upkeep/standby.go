package upkeep

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/services"
)

// publishStandby hands over what the standby pools have, once for each renewal of the
// ownership, which carries it to the hosts that estimate waits.
func (s *Service) publishStandby(now time.Time, machines []services.Machine) {
	o := s.poolOwnership
	if !s.settings.PublishStandby || s.standbyRenewal == o.RenewalVersion {
		return
	}
	summary := &waitestimate.Summary{At: now, StandbyMilliCPU: s.standbyMilliCPU(machines)}
	if s.summaries.PublishSummary(services.PublishedSummary{Ownership: o, Summary: summary}) {
		s.standbyRenewal = o.RenewalVersion
	}
}

// standbyMilliCPU returns the capacity of the machines that pools can still get. Those on
// their way count as well, because their pools do not have them yet.
func (s *Service) standbyMilliCPU(machines []services.Machine) int64 {
	configured := s.catalogs.Catalog().Services
	evacuated := s.evacuatedMachines(machines)
	sum := int64(0)
	for _, m := range machines {
		if evacuated[m.Name] {
			// It is not moved, and would take no work.
			continue
		}
		_, moving := s.movesInProgress[m.Name]
		standby := configured[m.Pool].Standby && m.State == services.MachineUp
		if standby || moving || m.State == services.MachineMoving {
			sum += m.Capacity.MilliCPU
		}
	}
	return sum
}
