package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// maxBatchRows limits the rows in one transaction.
	maxBatchRows = 64
	// maxCommitAttempts limits the commits of one batch after failed conditions.
	maxCommitAttempts = 8
	// maxOpenChanges limits the changes kept in memory while the platform is
	// down, and maxOpenAnswerBytes the answers in them.
	maxOpenChanges     = 8192
	maxOpenAnswerBytes = 16 << 20

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

type changeKind int

const (
	// claiming commits a claim.
	claiming changeKind = iota
	// withdrawing releases a claim that will not be used.
	withdrawing
	// ending records the end of a claim.
	ending
)

// change is one change to a row. It is open until it needs no further write.
type change struct {
	key       string
	kind      changeKind
	ownRecord claim.Record
	// version is the condition of the next write.
	version uint64
	// needsRead is set if the row must be read first, because the outcome of a
	// write is unknown.
	needsRead bool
	waiter    *claimWaiter
	end       claimEnd
}

// committer is the state of the duty claims.commit.
type committer struct {
	s *Service
	// heldClaims are the claims that requests of this process use.
	heldClaims map[string]*change
	// openChanges are the open changes that are not in the current batch,
	// oldest first. openByKey holds all open changes; a key has at most one.
	openChanges     []*change
	openByKey       map[string]*change
	openAnswerBytes int
	drainRequests   []drainRequest
	// backoff is zero while the platform answers; retryAt is when open changes
	// are retried.
	backoff time.Duration
	retryAt time.Time
}

func newCommitter(s *Service) *committer {
	return &committer{s: s, heldClaims: make(map[string]*change), openByKey: make(map[string]*change)}
}

func (c *committer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		c.collect(ctx, timer)
		batch := c.nextBatch(time.Now())
		if len(batch) > 0 {
			c.commitBatch(ctx, batch)
		}
		c.answerDrains()
	}
}

// collect waits for an input or for the time of the next retry, and takes all
// queued inputs, up to one batch.
func (c *committer) collect(ctx context.Context, timer *time.Timer) {
	if len(c.openChanges) > 0 {
		timer.Reset(max(0, time.Until(c.retryAt)))
	} else {
		timer.Stop()
	}
	select {
	case m := <-c.s.messages.C():
		m.receive(c)
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	for range maxBatchRows - 1 {
		select {
		case m := <-c.s.messages.C():
			m.receive(c)
		default:
			return
		}
	}
}

// addClaim opens the claim of a request. It assumes that there is no row of an
// earlier request, so that the common case takes one call.
func (c *committer) addClaim(w *claimWaiter) {
	if w.settled.Load() == abandoned {
		return
	}
	if c.openByKey[w.key] != nil || c.heldClaims[w.key] != nil {
		w.deliver(claimResult{callerReply: claim.ReplyFor(claim.Record{State: claim.Claimed}), detail: "claimed by another request on this host"})
		return
	}
	if len(c.openChanges) >= maxOpenChanges {
		w.deliver(claimResult{callerReply: claim.ReplyForUnread(fault.ReasonRingFull), detail: "too many changes to claim rows are open"})
		return
	}
	c.addChange(&change{key: w.key, kind: claiming, waiter: w})
}

// addEnd opens the end of a held claim.
func (c *committer) addEnd(e claimEnd) {
	ch, ok := c.heldClaims[e.key]
	if !ok {
		return
	}
	delete(c.heldClaims, e.key)
	if len(c.openChanges) >= maxOpenChanges {
		// The record remains claimed, which is reported to callers as unknown.
		c.s.countEvent("refused_total", stepOutcome, fault.ReasonRingFull)
		return
	}
	if c.openAnswerBytes+len(e.body) > maxOpenAnswerBytes {
		c.s.countEvent("refused_total", stepOutcome, fault.ReasonAnswerLost)
		e = e.withoutAnswer()
	}
	ch.kind, ch.end, ch.waiter = ending, e, nil
	c.addChange(ch)
}

func (c *committer) addChange(ch *change) {
	c.openChanges = append(c.openChanges, ch)
	c.openByKey[ch.key] = ch
	c.openAnswerBytes += len(ch.end.body)
}

// nextBatch takes the next changes. While the platform does not answer, only new
// claims are tried before the next retry is due, so that each caller gets a
// reply.
func (c *committer) nextBatch(now time.Time) []*change {
	due := !now.Before(c.retryAt)
	var batch, rest []*change
	for _, ch := range c.openChanges {
		if len(batch) < maxBatchRows && (due || ch.kind == claiming) {
			batch = append(batch, ch)
			continue
		}
		rest = append(rest, ch)
	}
	c.openChanges = rest
	return batch
}

// commitBatch commits a batch. After a failed condition it decides again on the
// rows that differ, and commits the changes that are still to be written.
func (c *committer) commitBatch(ctx context.Context, batch []*change) {
	batch = c.readInDoubt(ctx, batch)
	for range maxCommitAttempts {
		if len(batch) == 0 {
			return
		}
		result, err := c.commitOnce(ctx, batch)
		if err != nil {
			c.handleFailure(batch, err)
			return
		}
		c.backoff, c.retryAt = 0, time.Time{}
		if result.Committed {
			for _, ch := range batch {
				c.handleCommitted(ch, result.Version)
			}
			return
		}
		c.s.countEvent("retried_total", stepClaim, fault.ReasonConflict)
		batch = c.redecide(batch, result.Current)
	}
	c.handleFailure(batch, fault.New(&fault.NotRun, fault.ReasonConflict, stepClaim, peerPlatform, "claim rows changed during each of %d commits", maxCommitAttempts))
}

// readInDoubt reads the rows whose last write has an unknown outcome, and
// returns the changes that can be written now.
func (c *committer) readInDoubt(ctx context.Context, batch []*change) []*change {
	var keys []string
	var settled, inDoubt []*change
	for _, ch := range batch {
		if ch.needsRead {
			keys = append(keys, ch.key)
			inDoubt = append(inDoubt, ch)
			continue
		}
		settled = append(settled, ch)
	}
	if len(keys) == 0 {
		return batch
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.s.platform.Get(callCtx, keys...)
	if err != nil {
		c.handleFailure(inDoubt, err)
		return settled
	}
	for _, ch := range inDoubt {
		ch.needsRead = false
	}
	return append(settled, c.redecide(inDoubt, rows)...)
}

func (c *committer) commitOnce(ctx context.Context, batch []*change) (services.CommitResult, error) {
	var tx services.Transaction
	now := time.Now()
	for _, ch := range batch {
		value, err := encode(ch.nextRecord(), now)
		if err != nil {
			return services.CommitResult{}, err
		}
		tx.Conditions = append(tx.Conditions, services.Condition{Key: ch.key, Version: ch.version})
		tx.Writes = append(tx.Writes, services.Write{Key: ch.key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.s.platform.Commit(callCtx, tx)
}

// nextRecord returns the record that the change writes.
func (ch *change) nextRecord() services.ClaimRecord {
	switch ch.kind {
	case claiming:
		if ch.ownRecord.State == claim.NoRecord {
			ch.ownRecord = claim.Decide(claim.Record{}, ch.waiter.claimant, ch.waiter.hash).Next
		}
		return toStoredRecord(ch.ownRecord)
	case withdrawing:
		return toStoredRecord(claim.End(ch.ownRecord, claim.Released))
	default:
		r := toStoredRecord(claim.End(ch.ownRecord, ch.end.state))
		r.Status, r.ContentType = ch.end.status, ch.end.contentType
		r.Body, r.Object = ch.end.body, ch.end.object
		return r
	}
}

// handleCommitted settles a change that took effect.
func (c *committer) handleCommitted(ch *change, version uint64) {
	ch.version = version
	switch ch.kind {
	case claiming:
		c.grantClaim(ch)
	case withdrawing:
		c.removeChange(ch)
		ch.deliver(claimResult{callerReply: claim.ReplyFor(claim.End(ch.ownRecord, claim.Released)), detail: "the claim was withdrawn"})
	case ending:
		c.removeChange(ch)
	}
}

// grantClaim hands a claim to its request, or releases it if the requester left.
func (c *committer) grantClaim(ch *change) {
	c.removeChange(ch)
	c.heldClaims[ch.key] = ch
	done := claim.CallerReply{Outcome: claim.OutcomeDone}
	if !ch.waiter.deliver(claimResult{record: toStoredRecord(ch.ownRecord), callerReply: done}) {
		c.addEnd(claimEnd{key: ch.key, state: claim.Released})
	}
}

func (ch *change) deliver(result claimResult) {
	if ch.waiter != nil {
		ch.waiter.deliver(result)
	}
}

// removeChange removes a change that needs no further write.
func (c *committer) removeChange(ch *change) {
	delete(c.openByKey, ch.key)
	c.openAnswerBytes -= len(ch.end.body)
}

// redecide decides on the changes whose rows are given, and returns those that
// are still to be written, together with the others of the batch.
func (c *committer) redecide(batch []*change, rows []services.Row) []*change {
	current := make(map[string]services.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	var rest []*change
	for _, ch := range batch {
		row, differs := current[ch.key]
		if !differs || c.redecideChange(ch, row) {
			rest = append(rest, ch)
			continue
		}
		c.removeChange(ch)
	}
	return rest
}

// redecideChange reports whether ch is still to be written, given its row.
func (c *committer) redecideChange(ch *change, row services.Row) bool {
	record := decode(row)
	ch.version = row.Version
	switch ch.kind {
	case claiming:
		d := claim.Decide(toDecisionRecord(record), ch.waiter.claimant, ch.waiter.hash)
		ch.ownRecord = d.Next
		if !d.Claim {
			ch.deliver(claimResult{record: record, callerReply: d.Reply, detail: "claim by host " + record.Host + " has state " + string(record.State)})
		}
		return d.Claim
	case withdrawing:
		w := claim.Withdraw(toDecisionRecord(record), ch.ownRecord)
		if !w.Write {
			ch.deliver(claimResult{record: record, callerReply: w.Reply, detail: "claim by host " + record.Host + " has state " + string(record.State)})
		}
		return w.Write
	default:
		switch claim.CheckEnd(toDecisionRecord(record), ch.ownRecord) {
		case claim.EndUnwritten:
			return true
		case claim.EndSuperseded:
			c.s.countEvent("refused_total", stepOutcome, fault.ReasonClaimLost)
			c.s.log.Error().Str("step", stepOutcome).Str("row", ch.key).Msg("row belongs to another claim; outcome not recorded")
		}
		return false
	}
}

// handleFailure handles changes whose read or commit failed. Claims that had no
// effect are refused; the other changes stay open and are retried.
func (c *committer) handleFailure(batch []*change, err error) {
	noEffect := fault.IsNotRun(err)
	c.delayRetry(time.Now())
	for _, ch := range batch {
		c.s.countEvent("retried_total", stepOutcome, fault.ReasonOf(err))
		switch {
		case ch.kind == claiming && noEffect:
			c.removeChange(ch)
			ch.deliver(claimResult{callerReply: claim.ReplyForUnread(fault.ReasonOf(err)), detail: err.Error()})
			continue
		case ch.kind == claiming:
			ch.kind = withdrawing
		case ch.kind == withdrawing:
			ch.deliver(claimResult{callerReply: claim.ReplyForUnread(fault.ReasonClaimInDoubt), detail: err.Error()})
		}
		ch.needsRead = ch.needsRead || !noEffect
		c.openChanges = append(c.openChanges, ch)
	}
}

// delayRetry sets the time of the next retry, with a random part so that hosts
// do not all retry at once.
func (c *committer) delayRetry(now time.Time) {
	c.backoff = min(maxBackoff, max(minBackoff, 2*c.backoff))
	c.retryAt = now.Add(c.backoff/2 + rand.N(c.backoff/2))
}

func (c *committer) answerDrains() {
	if len(c.openChanges) > 0 || len(c.heldClaims) > 0 {
		return
	}
	for _, d := range c.drainRequests {
		d.reply.Offer(struct{}{})
	}
	c.drainRequests = nil
}
