package upkeep

import (
	"context"
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// listMachines returns the list of machines, at most listInterval old. It clears
// the maintenance orders whose maintenance has ended, so that new ones are possible.
func (s *Service) listMachines(ctx context.Context, now time.Time) ([]services.Machine, error) {
	if now.Sub(s.machinesListedAt) < listInterval {
		return s.machineList, nil
	}
	machines, err := s.machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	s.machineList, s.machinesListedAt = machines, now
	for _, m := range machines {
		at, ok := s.maintenanceOrderedAt[m.Name]
		if ok && m.State == services.MachineUp && now.Sub(at) > s.settings.MaintenanceTime+listLagMargin {
			delete(s.maintenanceOrderedAt, m.Name)
		}
	}
	return machines, nil
}

// refreshPools reads what the owners of the pools publish: all records at first,
// and then the changes, for which it waits up to maxRoundInterval.
func (s *Service) refreshPools(ctx context.Context) error {
	for pool := range s.catalogs.Catalog().Services {
		if _, read := s.cordons[pool]; !read {
			// The configuration has a new pool, whose records have not been read.
			s.changesVersion = 0
		}
	}
	if s.changesVersion > 0 {
		changes, err := s.records.Changes(ctx, jobrecord.TablePools, s.changesVersion, maxRoundInterval)
		if err != nil {
			return err
		}
		if !changes.VersionExpired {
			s.changesVersion = max(s.changesVersion, changes.Version)
			for i := range changes.Records {
				for pool := range s.catalogs.Catalog().Services {
					s.applyStatus(pool, &changes.Records[i])
				}
			}
			return nil
		}
	}
	version := int64(0)
	for pool := range s.catalogs.Catalog().Services {
		page, err := s.records.Scan(ctx, services.RecordRange{Table: jobrecord.TablePools, Part: jobrecord.StatusKey(pool).Part})
		if err != nil {
			return err
		}
		if version == 0 || page.Version < version {
			version = page.Version
		}
		for i := range page.Records {
			s.applyStatus(pool, &page.Records[i])
		}
		record, at, err := readRecord[jobrecord.CordonRecord](ctx, s.records, jobrecord.CordonsKey(pool))
		if err != nil {
			return err
		}
		s.cordons[pool] = poolCordons{}.withRecord(record, at)
	}
	s.changesVersion = version
	return nil
}

func (s *Service) applyStatus(pool string, r *services.Record) {
	if r.RecordKey != jobrecord.StatusKey(pool) {
		return
	}
	var status jobrecord.StatusRecord
	if err := json.Unmarshal(r.Value, &status); err != nil {
		s.log.Error().Err(err).Str("pool", pool).Msg("status of the pool cannot be decoded; keeping the previous one")
		return
	}
	if status.Term >= s.statuses[pool].Term {
		s.statuses[pool] = status
	}
}

// readRecord reads one record. A missing one gives the zero value and version zero.
func readRecord[T any](ctx context.Context, records services.Records, key services.RecordKey) (value T, version int64, err error) {
	value, version, _, err = readRecordAndClock[T](ctx, records, key)
	return value, version, err
}

// readRecordAndClock is readRecord that also returns the store's clock at the read.
func readRecordAndClock[T any](ctx context.Context, records services.Records, key services.RecordKey) (value T, version int64, clock time.Duration, err error) {
	page, err := records.Scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key.Key {
		return value, 0, page.Clock, err
	}
	if err := json.Unmarshal(page.Records[0].Value, &value); err != nil {
		return value, 0, 0, fault.New(&fault.NotRun, fault.ReasonMalformed, "read record", key.Part+"/"+key.Key, "%w", err)
	}
	return value, page.Records[0].Version, page.Clock, nil
}

func (s *Service) machineStates(now time.Time, list []services.Machine) []upkeep.Machine {
	catalog := s.catalogs.Catalog()
	machines := make([]upkeep.Machine, 0, len(list))
	evacuated := s.evacuatedMachines(list)
	for _, m := range list {
		status := s.statuses[m.Pool]
		use := status.Machines[m.Name]
		_, maintenanceOrdered := s.maintenanceOrderedAt[m.Name]
		machines = append(machines, upkeep.Machine{
			Name: m.Name, Pool: m.Pool, InService: m.State == services.MachineUp && !maintenanceOrdered,
			UnderMaintenance: m.State == services.MachineInMaintenance || maintenanceOrdered, Empty: s.isEmpty(m),
			Standby: catalog.Services[m.Pool].Standby, Evacuated: evacuated[m.Name], Tasks: use.Tasks, Services: use.Services,
		})
	}
	return machines
}

func (s *Service) poolLoads() map[string]upkeep.PoolLoad {
	loads := make(map[string]upkeep.PoolLoad, len(s.statuses))
	for pool, status := range s.statuses {
		loads[pool] = upkeep.PoolLoad{DemandMilliCPU: status.DemandMilliCPU, CapacityMilliCPU: status.CapacityMilliCPU}
	}
	return loads
}

// replaceRecord writes a record on condition that it still has the given version.
// It returns the new version and whether the write took effect.
func (s *Service) replaceRecord(ctx context.Context, key services.RecordKey, version int64, value any) (int64, bool) {
	encoded, err := json.Marshal(value)
	if err != nil {
		s.log.Error().Err(err).Str("record", key.Key).Msg("record not written: it cannot be encoded")
		return 0, false
	}
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: encoded}},
	})
	if err != nil || !commit.Committed {
		s.log.Warn().Err(err).Str("record", key.Part+"/"+key.Key).Msg("record not written; reading it again")
		return 0, false
	}
	return commit.Version, true
}
