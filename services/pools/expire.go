package pools

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// expireEvery separates looks for jobs that ended long ago.
	expireEvery = time.Minute
	// expirePerCommit bounds the jobs that one transaction deletes; each has
	// up to four records, and the store takes 100 entries.
	expirePerCommit = 24
)

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
	records, _, err := s.scanAll(ctx, services.RecordRange{Table: jobrecord.TableProgress, Part: c.pool})
	if err != nil {
		return expireDone{c, 0, err}
	}
	var old []string
	for id, p := range s.readProgress(records) {
		if p.State.Ended() && jobrecord.EndedLongAgo(p.EndedAt, c.now, s.settings.KeepEnded) {
			old = append(old, id)
		}
	}
	deleted := 0
	for len(old) > 0 {
		batch := old[:min(len(old), expirePerCommit)]
		old = old[len(batch):]
		commit, err := s.records.Commit(ctx, deletion(c, batch))
		if err != nil || !commit.Committed {
			return expireDone{c, deleted, err}
		}
		deleted += len(batch)
	}
	return expireDone{c, deleted, nil}
}

func deletion(c expireCall, jobs []string) services.RecordTx {
	tx := services.RecordTx{Conditions: []services.RecordCondition{c.condition}}
	for _, id := range jobs {
		for _, key := range []services.RecordKey{
			jobrecord.Job(c.pool, id), jobrecord.Cancel(c.pool, id), jobrecord.ShownCancel(c.pool, id), jobrecord.Progress(c.pool, id),
		} {
			tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: key, Delete: true})
		}
	}
	return tx
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
