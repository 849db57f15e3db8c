package jobintake

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// rowRetention is how long the record of a refusal is kept. The store may carry out
	// a write 12 s after it was sent, and a caller returns within 20 s.
	rowRetention = 30 * time.Second
	// cleanupInterval is the time between removals, each of which takes the rows that
	// are due in one call for each part.
	cleanupInterval = 5 * time.Second
	// cleanupTimeout bounds one removal.
	cleanupTimeout = 2 * time.Second
	// cleanupRingCapacity is the number of changes that wait while rows are removed.
	cleanupRingCapacity = 1024
	// maxRows bounds the rows that are remembered: 200 refusals a second at one host.
	// Those beyond it stay in the store until their job is submitted again.
	maxRows = 8192
	// maxRowsPerCall bounds the rows of one transaction; each takes two entries of 100.
	maxRowsPerCall = 50
)

// rowChange is a new version of the record of a job's refusals; version zero says that it
// was removed.
type rowChange struct {
	key     services.RecordKey
	version int64
	at      time.Time
}

// cleanup removes the records of refusals that this host has written. The duty
// jobdesk.cleanup owns its rows.
type cleanup struct {
	clock   services.Clock
	log     zerolog.Logger
	records services.Records
	changes *ring.Ring[rowChange]

	rows      map[services.RecordKey]rowChange
	forgotten int
}

// offer tells the duty of a change. It may be called from any goroutine. A change that
// finds no room leaves the row in the store, or costs a call that removes nothing.
func (c *cleanup) offer(change rowChange) { c.changes.Offer(change) }

// run is the duty jobdesk.cleanup.
func (c *cleanup) run(ctx context.Context) {
	// After a panic, the rows of the earlier run stay in the store.
	c.rows = make(map[services.RecordKey]rowChange)
	timer := time.NewTimer(cleanupInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-c.changes.C():
			c.apply(change)
		case <-timer.C:
			c.removeDue(ctx)
			timer.Reset(cleanupInterval)
		}
	}
}

func (c *cleanup) apply(change rowChange) {
	_, known := c.rows[change.key]
	switch {
	case change.version == 0:
		delete(c.rows, change.key)
	case !known && len(c.rows) >= maxRows:
		c.forgotten++
	default:
		c.rows[change.key] = change
	}
}

// removeDue removes the rows that have been kept long enough.
func (c *cleanup) removeDue(ctx context.Context) {
	if c.forgotten > 0 {
		c.log.Warn().Int("rows", c.forgotten).Int("limit", maxRows).Msg("records of refusals left in the store: too many to remember")
		c.forgotten = 0
	}
	now := c.clock()
	due := make(map[string][]rowChange)
	for _, row := range c.rows {
		if now.Sub(row.at) >= rowRetention && len(due[row.key.Part]) < maxRowsPerCall {
			due[row.key.Part] = append(due[row.key.Part], row)
		}
	}
	for _, rows := range due {
		if ctx.Err() != nil {
			return
		}
		c.remove(ctx, rows)
	}
}

// remove removes rows of one part, each on condition of its version. If some have changed,
// the others are removed with the next call; a changed one belongs to another call.
func (c *cleanup) remove(ctx context.Context, rows []rowChange) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	var tx services.RecordTx
	for _, row := range rows {
		tx.Conditions = append(tx.Conditions, services.RecordCondition{RecordKey: row.key, Version: row.version})
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: row.key, Delete: true})
	}
	commit, err := c.records.Commit(ctx, tx)
	if err != nil {
		c.log.Debug().Err(err).Int("rows", len(rows)).Msg("records of refusals not removed; retrying")
		return
	}
	unchanged := make(map[services.RecordKey]int64)
	for i := range commit.Current {
		unchanged[commit.Current[i].RecordKey] = commit.Current[i].Version
	}
	for _, row := range rows {
		if commit.Committed || unchanged[row.key] != row.version {
			delete(c.rows, row.key)
		}
	}
}
