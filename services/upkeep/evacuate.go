package upkeep

import "fuchsiafront.example/fuchsiafront/services"

// evacuatedMachines returns the machines in evacuated zones. They do not count as part of
// their pool, and are not moved: the pool that would receive them could not use them.
func (s *Service) evacuatedMachines(list []services.Machine) map[string]bool {
	zones := s.catalogs.Evacuations()
	evacuated := make(map[string]bool)
	for _, m := range list {
		if zones.Has(m.Zone) {
			evacuated[m.Name] = true
		}
	}
	return evacuated
}
