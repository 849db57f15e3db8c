package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// expireEvery separates looks for jobs that ended long ago.
const expireEvery = time.Minute

type expireCall struct {
	poolRef
	condition services.RecordCondition
	now       time.Time
}

type expireDone struct {
	expireCall
	deleted int
	err     error
}

// expireOld deletes the records of jobs that ended long ago.
func (p *planner) expireOld(m *manager) {
	if m.expireAt.IsZero() {
		m.expireAt = p.now.Add(expireEvery)
	}
	if m.busy.expire || p.now.Before(m.expireAt) {
		return
	}
	m.busy.expire, m.expireAt = true, p.now.Add(expireEvery)
	p.send(p.s.store, expireCall{poolRef{m.pool, m.tenure.Term, m.tenure.Fence}, m.tenure.Condition, p.now})
}

func (c expireCall) run(ctx context.Context, s *Service) event {
	records, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableProgress, Part: c.pool})
	if err != nil {
		return expireDone{c, 0, err}
	}
	var old []string
	for id, p := range s.readProgress(records) {
		if p.State.Ended() && jobrecord.RetentionExpired(p.EndedAt, c.now, s.settings.KeepEnded) {
			old = append(old, id)
		}
	}
	deleted := 0
	for _, id := range old {
		if err := s.expire(ctx, c, id); err != nil {
			return expireDone{c, deleted, err}
		}
		deleted++
	}
	return expireDone{c, deleted, nil}
}

// expire deletes a job and then its progress. In the other order a job would
// be left that looks as if it had not begun.
func (s *Service) expire(ctx context.Context, c expireCall, id string) error {
	if _, err := s.records.Commit(ctx, services.RecordTx{Writes: []services.RecordWrite{
		{RecordKey: jobrecord.JobKey(c.pool, id), Delete: true},
		{RecordKey: jobrecord.CancelKey(c.pool, id), Delete: true},
	}}); err != nil {
		return err
	}
	_, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{c.condition},
		Writes:     []services.RecordWrite{{RecordKey: jobrecord.ProgressKey(c.pool, id), Delete: true}},
	})
	return err
}

func (e expireDone) handle(p *planner) {
	if m := p.manager(e.pool, e.term); m != nil {
		m.busy.expire = false
	}
	if e.err != nil {
		p.s.log.Warn().Err(e.err).Str("pool", e.pool).Int("deleted", e.deleted).Msg("old jobs not deleted")
		return
	}
	if e.deleted > 0 {
		p.s.log.Info().Str("pool", e.pool).Int("deleted", e.deleted).Msg("old jobs deleted")
	}
}
