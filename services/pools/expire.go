package pools

import (
	"context"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// expiryInterval is the time between searches for jobs whose retention has
// expired.
const expiryInterval = time.Minute

type expireCall struct {
	ownershipRef
	poolParts bool
	condition services.RecordCondition
	now       time.Time
}

type expireDone struct {
	expireCall
	deleted int
	err     error
}

// expireJobs deletes the records of jobs whose retention has expired.
func (p *planner) expireJobs(m *managedPool) {
	if m.nextExpiryAt.IsZero() {
		m.nextExpiryAt = p.now.Add(expiryInterval)
	}
	if m.inFlight.expireJobs || p.now.Before(m.nextExpiryAt) {
		return
	}
	m.inFlight.expireJobs, m.nextExpiryAt = true, p.now.Add(expiryInterval)
	p.send(p.s.recordCalls, expireCall{m.ref(), m.ownership.PoolParts, m.ownership.Condition, p.now})
}

func (c expireCall) run(ctx context.Context, s *Service) event {
	records, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableProgress, Part: c.pool})
	if err != nil {
		return expireDone{c, 0, err}
	}
	keys := make(map[string][]services.RecordKey)
	for i := range records {
		id, _ := jobrecord.ParseKey(records[i].Key)
		keys[id] = append(keys[id], records[i].RecordKey)
	}
	deleted := 0
	progress, _ := s.decodeProgress(records)
	for id, p := range progress {
		if !p.State.Ended() || !jobrecord.RetentionExpired(p.EndedAt, c.now, s.settings.JobRetention) {
			continue
		}
		if err := s.deleteJob(ctx, c, id, keys[id]); err != nil {
			return expireDone{c, deleted, err}
		}
		deleted++
	}
	return expireDone{c, deleted, nil}
}

// deleteJob deletes a job and then its progress. In the reverse order, a failure
// in between would leave a job that looks as if it had not begun. The first key of its
// progress, which says that the job has ended, goes last, so that what a failure leaves
// is found again.
func (s *Service) deleteJob(ctx context.Context, c expireCall, id string, progress []services.RecordKey) error {
	job, cancel := jobrecord.JobKey(c.pool, id), jobrecord.CancelKey(c.pool, id)
	if c.poolParts {
		tx := services.RecordTx{Writes: []services.RecordWrite{
			{RecordKey: jobrecord.PoolPartKey(c.pool, job), Delete: true},
			{RecordKey: jobrecord.PoolPartKey(c.pool, cancel), Delete: true},
		}}
		if _, err := s.records.Commit(ctx, tx); err != nil {
			return err
		}
	}
	if _, err := s.records.Commit(ctx, services.RecordTx{Writes: []services.RecordWrite{
		{RecordKey: job, Delete: true},
		{RecordKey: cancel, Delete: true},
		{RecordKey: jobrecord.IDKey(id), Delete: true},
	}}); err != nil {
		return err
	}
	slices.Reverse(progress)
	for chunk := range slices.Chunk(progress, maxPartsPerCommit) {
		tx := services.RecordTx{Conditions: []services.RecordCondition{c.condition}}
		for _, key := range chunk {
			tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: key, Delete: true})
		}
		if _, err := s.records.Commit(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}

func (c expireCall) notMade() event { return expireDone{c, 0, errBacklogFull} }

func (e expireDone) handle(p *planner) {
	if m := p.managedPool(e.ownershipRef); m != nil {
		m.inFlight.expireJobs = false
	}
	if e.err != nil {
		p.s.log.Warn().Err(e.err).Str("pool", e.pool).Int("deleted", e.deleted).Msg("not all expired jobs deleted; retrying at the next interval")
		return
	}
	if e.deleted > 0 {
		p.s.log.Info().Str("pool", e.pool).Int("deleted", e.deleted).Msg("expired jobs deleted")
	}
}
