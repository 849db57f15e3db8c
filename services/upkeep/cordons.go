package upkeep

import (
	"context"
	"maps"
	"slices"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// poolCordons is the record of one pool's cordons as last written.
type poolCordons struct {
	record  jobrecord.CordonRecord
	version int64
	// cordonedSince has the version since which each machine has been cordoned
	// without interruption.
	cordonedSince map[string]int64
}

// withRecord returns the cordons after record was written at version.
func (c poolCordons) withRecord(record jobrecord.CordonRecord, version int64) poolCordons {
	since := make(map[string]int64, len(record.Machines))
	for _, m := range record.Machines {
		since[m] = version
		if old, ok := c.cordonedSince[m]; ok {
			since[m] = old
		}
	}
	return poolCordons{record, version, since}
}

// isEmpty reports whether the owner of the machine's pool has emptied it for the
// cordon in force. A status that refers to an earlier cordon does not count,
// because the machine may have been given work in between.
func (s *Service) isEmpty(m services.Machine) bool {
	status := s.statuses[m.Pool]
	since, ok := s.cordons[m.Pool].cordonedSince[m.Name]
	return ok && status.CordonsVersion >= since && slices.Contains(status.EmptyMachines, m.Name)
}

// cordonedMachines returns the machines that are cordoned in the pool that they are in.
// Those that stay cordoned in a pool that they have left are not among them: a wave
// would take them for machines that it is emptying.
func (s *Service) cordonedMachines() map[string]bool {
	set := make(map[string]bool)
	for pool, c := range s.cordons {
		for _, m := range c.record.Machines {
			if _, departed := s.departures[departure{m, pool}]; !departed {
				set[m] = true
			}
		}
	}
	return set
}

// cordonWrite is a write of one pool's cordons.
type cordonWrite struct {
	pool      string
	old       poolCordons
	next      jobrecord.CordonRecord
	version   int64
	committed bool
}

// cordonWrites returns the writes needed to tell the owners of the pools which
// machines to empty. departed has the machines that have left each pool.
func (s *Service) cordonWrites(machines []services.Machine, cordon map[string]bool, departed map[string][]string, evictServices map[string]bool) []*cordonWrite {
	next := make(map[string]jobrecord.CordonRecord)
	for pool, names := range departed {
		next[pool] = jobrecord.CordonRecord{Machines: names}
	}
	for _, m := range machines {
		r := next[m.Pool]
		if cordon[m.Name] && !slices.Contains(r.Machines, m.Name) {
			r.Machines = append(r.Machines, m.Name)
		}
		if evictServices[m.Name] {
			r.EvictServices = append(r.EvictServices, m.Name)
		}
		next[m.Pool] = r
	}
	var writes []*cordonWrite
	for _, pool := range slices.Sorted(maps.Keys(s.cordons)) {
		w := &cordonWrite{pool: pool, old: s.cordons[pool], next: next[pool]}
		slices.Sort(w.next.Machines)
		slices.Sort(w.next.EvictServices)
		if slices.Equal(w.old.record.Machines, w.next.Machines) && slices.Equal(w.old.record.EvictServices, w.next.EvictServices) {
			continue
		}
		writes = append(writes, w)
	}
	return writes
}

func (w *cordonWrite) perform(ctx context.Context, s *Service) {
	w.version, w.committed = s.replaceRecord(ctx, jobrecord.CordonsKey(w.pool), w.old.version, w.next)
}

func (w *cordonWrite) apply(s *Service) {
	if !w.committed {
		// Forces all records to be read again before the next decision.
		s.changesVersion = 0
		return
	}
	s.cordons[w.pool] = w.old.withRecord(w.next, w.version)
	s.log.Info().Str("pool", w.pool).Strs("machines", w.next.Machines).Int("leave", len(w.next.EvictServices)).Int64("version", w.version).Msg("cordons written")
}
