package claims

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rendezvous"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// recordRetention is how long a record is kept after its last change.
	recordRetention = 24 * time.Hour
	// expirePeriod is the pause between two pages of the scan, and
	// expirePageRows the number of rows in one.
	expirePeriod   = 5 * time.Second
	expirePageRows = 256
	// designationPeriod is how long one host is designated for the scan.
	designationPeriod = 10 * time.Minute
)

// expire is the duty claims.expire. Two hosts may run it at once, because each
// deletion is conditional on the version of its row.
func (s *Service) expire(ctx context.Context) {
	after := ""
	for services.Sleep(ctx, expirePeriod) {
		if !s.isDesignatedExpirer(time.Now()) {
			continue
		}
		next, err := s.expirePage(ctx, after)
		if err != nil {
			s.countEvent("retried_total", stepExpire, fault.ReasonOf(err))
			continue
		}
		after = next
	}
}

// isDesignatedExpirer reports whether this host does the scan in the current
// period.
func (s *Service) isDesignatedExpirer(now time.Time) bool {
	var names []string
	for _, m := range s.membership.Members() {
		names = append(names, m.Name)
	}
	period := now.UTC().Truncate(designationPeriod).Format(time.RFC3339)
	return rendezvous.Owns(s.membership.Self().Name, stepExpire+period, names)
}

// expirePage deletes the old records of one page and returns the key after
// which the next page starts; it is empty after the last one.
func (s *Service) expirePage(ctx context.Context, after string) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, more, err := s.platform.Scan(callCtx, rowPrefix, after, expirePageRows)
	if err != nil {
		return after, err
	}
	if err := s.deleteExpired(callCtx, rows); err != nil {
		return after, err
	}
	if !more || len(rows) == 0 {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

func (s *Service) deleteExpired(ctx context.Context, rows []services.Row) error {
	var tx services.Transaction
	for _, row := range rows {
		changed := decode(row).ChangedAt
		if changed.IsZero() || time.Since(changed) < recordRetention {
			continue
		}
		tx.Conditions = append(tx.Conditions, services.Condition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, services.Write{Key: row.Key, Delete: true})
	}
	if len(tx.Writes) == 0 {
		return nil
	}
	// A failed condition means that a row changed; the next scan handles it.
	_, err := s.platform.Commit(ctx, tx)
	return err
}
