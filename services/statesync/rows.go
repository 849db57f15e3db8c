package statesync

import (
	"context"
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	headKey    = "state/head"
	partPrefix = "state/part/"
)

// headRow is the head with the version of its row.
type headRow struct {
	head    revision.Head
	version uint64
}

// readHead reads the head and records the read, which can make the replica
// fresh.
func (s *Service) readHead(ctx context.Context) (headRow, error) {
	started := s.clock()
	h, err := s.fetchHead(ctx)
	if err == nil {
		s.recordRead(platformRead{h.head.Revision, started})
	}
	return h, err
}

func (s *Service) fetchHead(ctx context.Context) (headRow, error) {
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return headRow{}, err
	}
	h := headRow{head: revision.Head{Parts: map[string]uint64{}}, version: rows[0].Version}
	if h.version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(rows[0].Value, &h.head); err != nil {
		return headRow{}, fault.New(&fault.Invalid, fault.ReasonMalformed, "read state head", "platform", "%w", err)
	}
	return h, nil
}

func (s *Service) readParts(ctx context.Context, names []string) (map[string]revision.Part, error) {
	parts := make(map[string]revision.Part, len(names))
	if len(names) == 0 {
		return parts, nil
	}
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = partPrefix + name
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for i, row := range rows {
		if row.Version == 0 {
			continue
		}
		var p revision.Part
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "read state part", names[i], "%w", err)
		}
		parts[p.Name] = p
	}
	return parts, nil
}

// recordRead replaces the latest read by a later one. It is called
// concurrently, because the follow and the commit duty both read.
func (s *Service) recordRead(read platformRead) {
	for {
		old := s.latestRead.Load()
		if old != nil && !read.asOf.After(old.asOf) {
			return
		}
		if s.latestRead.CompareAndSwap(old, &read) {
			return
		}
	}
}

// readNewer reads the head and, when it is newer than the replica, the parts
// that differ. Parts are read after the head, so one of them may be newer
// than the head states; the replica then keeps its state until the next read.
func (s *Service) readNewer(ctx context.Context) (revision.Head, map[string]revision.Part, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return revision.Head{}, nil, err
	}
	applied := &revision.State{}
	if v := s.View(); v != nil {
		applied = v.State
	}
	if h.head.Revision <= applied.Revision {
		return h.head, nil, nil
	}
	parts, err := s.readParts(ctx, applied.StaleParts(h.head))
	return h.head, parts, err
}

// platformRead is a read of the head that started at asOf.
type platformRead struct {
	revision uint64
	asOf     time.Time
}

func encodeProposal(version uint64, p revision.Proposal) (services.Transaction, error) {
	head, err := json.Marshal(p.Head)
	if err != nil {
		return services.Transaction{}, err
	}
	tx := services.Transaction{
		Conditions: []services.Condition{{Key: headKey, Version: version}},
		Writes:     []services.Write{{Key: headKey, Value: head}},
	}
	for _, part := range p.Parts {
		data, err := json.Marshal(part)
		if err != nil {
			return services.Transaction{}, err
		}
		tx.Writes = append(tx.Writes, services.Write{Key: partPrefix + part.Name, Value: data})
	}
	return tx, nil
}
