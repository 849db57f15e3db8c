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

// look lists the machines. One whose maintenance has ended may be ordered again.
func (s *Service) look(ctx context.Context, now time.Time) ([]services.Machine, error) {
	if now.Sub(s.listAt) < listEvery {
		return s.list, nil
	}
	machines, err := s.machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	s.list, s.listAt = machines, now
	for _, m := range machines {
		at, ok := s.ordered[m.Name]
		if ok && m.State == services.MachineUp && now.Sub(at) > s.settings.Maintenance+awayMargin {
			delete(s.ordered, m.Name)
		}
	}
	return machines, nil
}

// readPools reads what the owners of the pools publish: everything at first,
// and then the changes, for which it waits.
func (s *Service) readPools(ctx context.Context) error {
	if s.version > 0 {
		changes, err := s.records.Changes(ctx, jobrecord.TablePools, s.version, roundEvery)
		if err != nil {
			return err
		}
		if !changes.VersionExpired {
			s.version = max(s.version, changes.Version)
			for i := range changes.Records {
				for pool := range s.catalogs.Catalog().Services {
					s.learnStatus(pool, &changes.Records[i])
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
			s.learnStatus(pool, &page.Records[i])
		}
		record, at, err := readRecord[jobrecord.CordonRecord](ctx, s.records, jobrecord.CordonsKey(pool))
		if err != nil {
			return err
		}
		s.cordons[pool] = poolCordon{}.next(record, at)
	}
	s.version = version
	return nil
}

func (s *Service) learnStatus(pool string, r *services.Record) {
	if r.RecordKey != jobrecord.StatusKey(pool) {
		return
	}
	var status jobrecord.StatusRecord
	if err := json.Unmarshal(r.Value, &status); err != nil {
		s.log.Error().Err(err).Str("pool", pool).Msg("status cannot be read; the last one stays")
		return
	}
	if status.Term >= s.statuses[pool].Term {
		s.statuses[pool] = status
	}
}

// readRecord reads one record; a missing one is zero.
func readRecord[T any](ctx context.Context, records services.Records, key services.RecordKey) (value T, version int64, err error) {
	value, version, _, err = readRecordAt[T](ctx, records, key)
	return value, version, err
}

// readRecordAt is readRecord with the store's clock at the reading.
func readRecordAt[T any](ctx context.Context, records services.Records, key services.RecordKey) (value T, version int64, clock time.Duration, err error) {
	page, err := records.Scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key.Key {
		return value, 0, page.Clock, err
	}
	if err := json.Unmarshal(page.Records[0].Value, &value); err != nil {
		return value, 0, 0, fault.New(&fault.NotRun, fault.ReasonMalformed, "read record", key.Part+"/"+key.Key, "%w", err)
	}
	return value, page.Records[0].Version, page.Clock, nil
}

func (s *Service) describe(now time.Time, list []services.Machine) []upkeep.Machine {
	catalog := s.catalogs.Catalog()
	machines := make([]upkeep.Machine, 0, len(list))
	for _, m := range list {
		status := s.statuses[m.Pool]
		use := status.Machines[m.Name]
		_, ordered := s.ordered[m.Name]
		machines = append(machines, upkeep.Machine{
			Name: m.Name, Pool: m.Pool, InService: m.State == services.MachineUp && !ordered,
			UnderMaintenance: m.State == services.MachineInMaintenance || ordered, Empty: s.empty(m),
			Standby: catalog.Services[m.Pool].Standby, Tasks: use.Tasks, Services: use.Services,
		})
	}
	return machines
}

func (s *Service) loads() map[string]upkeep.PoolLoad {
	loads := make(map[string]upkeep.PoolLoad, len(s.statuses))
	for pool, status := range s.statuses {
		loads[pool] = upkeep.PoolLoad{DemandMilliCPU: status.DemandMilliCPU, CapacityMilliCPU: status.CapacityMilliCPU}
	}
	return loads
}

// write replaces a record whose version is known.
func (s *Service) write(ctx context.Context, key services.RecordKey, version int64, value any) (int64, bool) {
	encoded, err := json.Marshal(value)
	if err != nil {
		s.log.Error().Err(err).Str("record", key.Key).Msg("record cannot be encoded")
		return 0, false
	}
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: encoded}},
	})
	if err != nil || !commit.Committed {
		s.log.Warn().Err(err).Str("record", key.Part+"/"+key.Key).Msg("record not written; it is read again")
		return 0, false
	}
	return commit.Version, true
}
