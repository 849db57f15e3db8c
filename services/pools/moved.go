package pools

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// movedPending has the pending jobs of a pool whose queues other services serve now,
// because the operator has moved them. They are published among the status records of
// these services, where the number of a queue's pending jobs is looked up.
type movedPending struct {
	// wanted is what is to be published, by service.
	wanted map[string]jobrecord.PendingRecord
	// published is what is, as far as this owner knows.
	published map[string]movedRecord
	// announced lists the services that the published status names. A later owner
	// finds the records of this one there, so a record is written only then.
	announced []string
}

type movedRecord struct {
	value   string
	version int64
}

// set replaces what is to be published.
func (v *movedPending) set(c *catalog.Catalog, pool string, pending map[string]poolplan.PendingQueue) {
	v.wanted = make(map[string]jobrecord.PendingRecord)
	for name, p := range pending {
		q, ok := c.QueueOf(&catalog.Origin{Name: name, Place: p.Place})
		if !ok || q.Service == pool {
			continue
		}
		record := v.wanted[q.Service]
		record.Add(name, p.Place, p.Jobs)
		v.wanted[q.Service] = record
	}
}

// inherit adds the records of an earlier owner, whose values are not known.
func (v *movedPending) inherit(movedTo []string) {
	for _, service := range movedTo {
		v.put(service, movedRecord{value: "?"})
	}
}

func (v *movedPending) put(service string, r movedRecord) {
	if v.published == nil {
		v.published = make(map[string]movedRecord)
	}
	v.published[service] = r
}

// services returns the services that have a record or need one.
func (v *movedPending) services() []string {
	all := make(map[string]bool)
	for service := range v.wanted {
		all[service] = true
	}
	for service := range v.published {
		all[service] = true
	}
	return slices.Sorted(maps.Keys(all))
}

type movedCall struct {
	ownershipRef
	service string
	version int64
	// value is empty if the record is to be deleted.
	value string
}

type movedDone struct {
	movedCall
	commit services.RecordCommit
	err    error
}

// publishMoved writes one record that differs from what is wanted.
func (p *planner) publishMoved(m *managedPool) {
	if m.inFlight.publishMoved {
		return
	}
	for _, service := range m.moved.announced {
		value := ""
		if wanted, ok := m.moved.wanted[service]; ok {
			encoded, err := json.Marshal(jobrecord.MovedRecord{Term: m.ownership.Term, PendingRecord: wanted})
			if err != nil {
				p.s.log.Error().Err(err).Str("pool", m.name).Msg("pending jobs of moved queues not published: they cannot be encoded")
				continue
			}
			value = string(encoded)
		}
		if published := m.moved.published[service]; published.value != value {
			m.inFlight.publishMoved = true
			p.send(p.s.recordCalls, movedCall{m.ref(), service, published.version, value})
			return
		}
	}
}

func (c movedCall) run(ctx context.Context, s *Service) event {
	key := jobrecord.MovedKey(c.service, c.pool)
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: c.version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: []byte(c.value), Delete: c.value == ""}},
	})
	if err != nil {
		s.log.Debug().Err(err).Str("pool", c.pool).Str("service", c.service).Msg("pending jobs of moved queues not published; retrying")
	}
	return movedDone{c, commit, err}
}

// handleMovedConflict handles a record that differs from the one expected. That of an
// earlier owner, or of a write whose response was lost, is overwritten next time. That
// of a later owner ends the ownership.
func (p *planner) handleMovedConflict(m *managedPool, e movedDone) {
	m.moved.put(e.service, movedRecord{value: "?"})
	for i := range e.commit.Current {
		var current jobrecord.MovedRecord
		if err := json.Unmarshal(e.commit.Current[i].Value, &current); err != nil {
			p.s.log.Error().Err(err).Str("pool", m.name).Str("service", e.service).Msg("stored record of moved jobs cannot be decoded; it is overwritten")
		}
		if current.Term > m.ownership.Term {
			p.s.log.Warn().Str("pool", m.name).Int("term", m.ownership.Term).Int("later", current.Term).Msg("giving the pool up: a later owner has published its moved jobs")
			p.dropLostPool(m)
			return
		}
		m.moved.put(e.service, movedRecord{"?", e.commit.Current[i].Version})
	}
}

func (c movedCall) notMade() event { return movedDone{c, services.RecordCommit{}, errBacklogFull} }

func (e movedDone) handle(p *planner) {
	m := p.managedPool(e.ownershipRef)
	if m == nil {
		return
	}
	m.inFlight.publishMoved = false
	switch {
	case e.err != nil:
	case !e.commit.Committed:
		p.handleMovedConflict(m, e)
	case e.value == "":
		delete(m.moved.published, e.service)
	default:
		m.moved.put(e.service, movedRecord{e.value, e.commit.Version})
	}
}
