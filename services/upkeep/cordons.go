package upkeep

import (
	"context"
	"maps"
	"slices"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// poolCordon is the record of one pool's cordons as it was last written.
type poolCordon struct {
	record  jobrecord.CordonRecord
	version int64
	// since is the version from which on each machine has been cordoned
	// without a break.
	since map[string]int64
}

// next returns the cordon after another record was written.
func (c poolCordon) next(record jobrecord.CordonRecord, version int64) poolCordon {
	since := make(map[string]int64, len(record.Machines))
	for _, m := range record.Machines {
		since[m] = version
		if old, ok := c.since[m]; ok {
			since[m] = old
		}
	}
	return poolCordon{record, version, since}
}

// empty reports whether the owner of the machine's pool has emptied it for the
// cordon in force. What it said of an earlier cordon does not count, because the
// machine may have got work in between.
func (s *Service) empty(m services.Machine) bool {
	status := s.statuses[m.Pool]
	since, ok := s.cordons[m.Pool].since[m.Name]
	return ok && status.Cordons >= since && slices.Contains(status.Empty, m.Name)
}

func (s *Service) cordoned() map[string]bool {
	set := make(map[string]bool)
	for _, c := range s.cordons {
		for _, m := range c.record.Machines {
			set[m] = true
		}
	}
	return set
}

// writeCordons tells the owners of the pools which machines to empty.
func (s *Service) writeCordons(ctx context.Context, machines []services.Machine, cordon, leave map[string]bool) {
	next := make(map[string]jobrecord.CordonRecord)
	for _, m := range machines {
		r := next[m.Pool]
		if cordon[m.Name] {
			r.Machines = append(r.Machines, m.Name)
		}
		if leave[m.Name] {
			r.Leave = append(r.Leave, m.Name)
		}
		next[m.Pool] = r
	}
	for _, pool := range slices.Sorted(maps.Keys(s.cordons)) {
		s.writeCordon(ctx, pool, next[pool])
	}
}

func (s *Service) writeCordon(ctx context.Context, pool string, next jobrecord.CordonRecord) {
	old := s.cordons[pool]
	slices.Sort(next.Machines)
	slices.Sort(next.Leave)
	if slices.Equal(old.record.Machines, next.Machines) && slices.Equal(old.record.Leave, next.Leave) {
		return
	}
	version, ok := s.write(ctx, jobrecord.Cordons(pool), old.version, next)
	if !ok {
		// All records are read again before the next decision.
		s.version = 0
		return
	}
	s.cordons[pool] = old.next(next, version)
	s.log.Info().Str("pool", pool).Strs("machines", next.Machines).Int("leave", len(next.Leave)).Int64("version", version).Msg("cordons written")
}
