package jobs

import (
	"context"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rendezvous"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// expireBusyInterval is the pause between two scans while there are rows to
	// delete, and expireBatchSize the jobs per scan: at most 64 per second,
	// which is above the rate at which the platform can record them.
	expireBusyInterval = time.Second
	expireBatchSize    = 64
	// expireIdleInterval is the pause after a scan that left nothing to delete.
	expireIdleInterval = time.Minute
	// designationPeriod is how long one host is designated for the scans.
	designationPeriod = 10 * time.Minute

	stepExpire = "expire-jobs"
)

// expire is the duty jobs.expire. It is safe on two hosts at once, because each
// deletion is conditional on the versions of its rows.
func (s *Service) expire(ctx context.Context) {
	pause := expireIdleInterval
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		pause = expireIdleInterval
		if s.isDesignatedExpirer(s.config.Clock()) {
			more, err := s.expireBatch(ctx, s.config.Clock())
			if err != nil {
				s.countRetried(stepExpire, fault.ReasonOf(err))
			}
			if more {
				pause = expireBusyInterval
			}
		}
		timer.Reset(pause)
	}
}

func (s *Service) isDesignatedExpirer(now time.Time) bool {
	var names []string
	for _, m := range s.membership.Members() {
		names = append(names, m.Name)
	}
	key := stepExpire + now.UTC().Truncate(designationPeriod).Format(time.RFC3339)
	return rendezvous.Owns(s.membership.Self().Name, key, names)
}

// expireBatch deletes the oldest ended jobs whose retention is over and reports
// whether there may be more.
func (s *Service) expireBatch(ctx context.Context, now time.Time) (more bool, err error) {
	index, more, err := s.platform.Scan(ctx, endedPrefix, "", expireBatchSize)
	if err != nil {
		return false, err
	}
	var keys []string
	for _, r := range index {
		name, ended, ok := parseEndedKey(r.Key)
		if ok && now.Sub(ended) < s.config.EndedRetention {
			more = false
			break
		}
		keys = append(keys, jobKey(name))
	}
	if len(keys) == 0 {
		return false, nil
	}
	jobs, err := s.platform.Get(ctx, keys...)
	if err != nil {
		return false, err
	}
	_, err = s.platform.Commit(ctx, deleteTransaction(index, jobs))
	// After a failed condition the next scan reads the rows again.
	return more, err
}

// deleteTransaction deletes jobs and their entries in the index of ended jobs.
// An entry whose job is gone, or did not end at the entry's time, is deleted alone.
func deleteTransaction(index, jobs []services.Row) services.Transaction {
	var tx services.Transaction
	remove := func(r services.Row) {
		tx.Conditions = append(tx.Conditions, services.Condition{Key: r.Key, Version: r.Version})
		tx.Writes = append(tx.Writes, services.Write{Key: r.Key, Delete: true})
	}
	for i, raw := range jobs {
		remove(index[i])
		if raw.Version == 0 {
			continue
		}
		if r, err := decodeRow(raw, stepExpire); err == nil && r.Ended() && endedKey(r) == index[i].Key {
			remove(raw)
		}
	}
	return tx
}

// endedKey is a job's key in the index of ended jobs, which is ordered by end
// time.
func endedKey(r *row) string {
	return endedPrefix + r.EndedAt.UTC().Format(endedTimeLayout) + "/" + r.name()
}

func parseEndedKey(key string) (name string, ended time.Time, ok bool) {
	at, name, _ := strings.Cut(strings.TrimPrefix(key, endedPrefix), "/")
	ended, err := time.Parse(endedTimeLayout, at)
	return name, ended, err == nil
}
