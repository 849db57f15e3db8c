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
	// maxBatch is the number of rows in one transaction.
	maxBatch = 64
	// maxRounds bounds the repeats of one batch after failed conditions.
	maxRounds = 8
	// maxOpen bounds the changes kept in memory while the platform is down,
	// and maxOpenBytes the answers in them.
	maxOpen      = 8192
	maxOpenBytes = 16 << 20

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

// change is one row change that is open.
type change struct {
	key  string
	kind changeKind
	mine claim.Record
	// version is the condition of the next write.
	version uint64
	// read requires a read of the row first, because the outcome of a write
	// is not known.
	read bool
	wait *claimWait
	end  end
}

// committer is the state of the duty claims.commit.
type committer struct {
	s *Service
	// held are the claims that requests of this process use.
	held map[string]*change
	// open are the changes to make, oldest first; keys are the keys of all of
	// them. A key has at most one open change.
	open      []*change
	keys      map[string]*change
	openBytes int
	drains    []drain
	// backoff is zero while the platform answers; retryAt is when open
	// changes are tried again.
	backoff time.Duration
	retryAt time.Time
}

func newCommitter(s *Service) *committer {
	return &committer{s: s, held: make(map[string]*change), keys: make(map[string]*change)}
}

func (c *committer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		c.collect(ctx, timer)
		batch := c.batch(time.Now())
		if len(batch) > 0 {
			c.process(ctx, batch)
		}
		c.answerDrains()
	}
}

// collect waits for an input or for the time of the next retry, and takes all
// inputs that are there, up to one batch.
func (c *committer) collect(ctx context.Context, timer *time.Timer) {
	if len(c.open) > 0 {
		timer.Reset(max(0, time.Until(c.retryAt)))
	} else {
		timer.Stop()
	}
	select {
	case m := <-c.s.commits.C():
		m.receive(c)
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	for range maxBatch - 1 {
		select {
		case m := <-c.s.commits.C():
			m.receive(c)
		default:
			return
		}
	}
}

// admit opens the claim of a request. A row of an earlier request is not
// expected, so that the common case takes one call.
func (c *committer) admit(w *claimWait) {
	if w.settled.Load() == left {
		return
	}
	if c.keys[w.key] != nil || c.held[w.key] != nil {
		w.tell(answer{say: claim.ReplyFor(claim.Record{State: claim.Claimed}), detail: "claimed by another request on this host"})
		return
	}
	if len(c.open) >= maxOpen {
		w.tell(answer{say: claim.ReplyForUnread(fault.ReasonRingFull), detail: "claims busy"})
		return
	}
	c.add(&change{key: w.key, kind: claiming, wait: w})
}

// finish opens the end of a held claim.
func (c *committer) finish(e end) {
	ch, ok := c.held[e.key]
	if !ok {
		return
	}
	delete(c.held, e.key)
	if len(c.open) >= maxOpen {
		// The record stays claimed, which callers are told as unknown.
		c.s.count("refused_total", stepOutcome, fault.ReasonRingFull)
		return
	}
	if c.openBytes+len(e.body) > maxOpenBytes {
		c.s.count("refused_total", stepOutcome, fault.ReasonAnswerLost)
		e = e.withoutAnswer()
	}
	ch.kind, ch.end, ch.wait = ending, e, nil
	c.add(ch)
}

func (c *committer) add(ch *change) {
	c.open = append(c.open, ch)
	c.keys[ch.key] = ch
	c.openBytes += len(ch.end.body)
}

// batch takes the next changes. While the platform does not answer, only new
// claims are tried ahead of the time of the next retry, so that each caller
// gets an answer.
func (c *committer) batch(now time.Time) []*change {
	due := !now.Before(c.retryAt)
	var batch, rest []*change
	for _, ch := range c.open {
		if len(batch) < maxBatch && (due || ch.kind == claiming) {
			batch = append(batch, ch)
			continue
		}
		rest = append(rest, ch)
	}
	c.open = rest
	return batch
}

// process commits a batch. After a failed condition it decides anew on the
// rows that differ and submits the rest again.
func (c *committer) process(ctx context.Context, batch []*change) {
	batch = c.readBack(ctx, batch)
	for range maxRounds {
		if len(batch) == 0 {
			return
		}
		result, err := c.commit(ctx, batch)
		if err != nil {
			c.failed(batch, err)
			return
		}
		c.backoff, c.retryAt = 0, time.Time{}
		if result.Committed {
			for _, ch := range batch {
				c.committed(ch, result.Version)
			}
			return
		}
		c.s.count("retried_total", stepClaim, fault.ReasonConflict)
		batch = c.decideAnew(batch, result.Current)
	}
	c.failed(batch, fault.New(&fault.NotRun, fault.ReasonConflict, stepClaim, peer, "rows keep changing"))
}

// readBack reads the rows whose last write has an unknown outcome.
func (c *committer) readBack(ctx context.Context, batch []*change) []*change {
	var keys []string
	var settled, inDoubt []*change
	for _, ch := range batch {
		if ch.read {
			keys = append(keys, ch.key)
			inDoubt = append(inDoubt, ch)
			continue
		}
		settled = append(settled, ch)
	}
	if len(keys) == 0 {
		return batch
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.s.platform.Get(call, keys...)
	if err != nil {
		c.failed(inDoubt, err)
		return settled
	}
	for _, ch := range inDoubt {
		ch.read = false
	}
	return append(settled, c.decideAnew(inDoubt, rows)...)
}

func (c *committer) commit(ctx context.Context, batch []*change) (services.CommitResult, error) {
	var tx services.Transaction
	now := time.Now()
	for _, ch := range batch {
		value, err := encode(ch.next(), now)
		if err != nil {
			return services.CommitResult{}, err
		}
		tx.Conditions = append(tx.Conditions, services.Condition{Key: ch.key, Version: ch.version})
		tx.Writes = append(tx.Writes, services.Write{Key: ch.key, Value: value})
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.s.platform.Commit(call, tx)
}

// next returns the record that the change writes.
func (ch *change) next() services.ClaimRecord {
	switch ch.kind {
	case claiming:
		if ch.mine.State == claim.NoRecord {
			ch.mine = claim.Decide(claim.Record{}, ch.wait.by, ch.wait.hash).Next
		}
		return recorded(ch.mine)
	case withdrawing:
		return recorded(claim.End(ch.mine, claim.Released))
	default:
		r := recorded(claim.End(ch.mine, ch.end.state))
		r.Status, r.ContentType = ch.end.status, ch.end.contentType
		r.Body, r.Object = ch.end.body, ch.end.object
		return r
	}
}

// committed settles a change that took effect.
func (c *committer) committed(ch *change, version uint64) {
	ch.version = version
	switch ch.kind {
	case claiming:
		c.granted(ch)
	case withdrawing:
		c.close(ch)
		ch.answer(answer{say: claim.ReplyFor(claim.End(ch.mine, claim.Released)), detail: "the claim was withdrawn"})
	case ending:
		c.close(ch)
	}
}

// granted hands a claim to its request, or releases it when the request left.
func (c *committer) granted(ch *change) {
	c.close(ch)
	c.held[ch.key] = ch
	done := claim.CallerReply{Outcome: claim.OutcomeDone}
	if !ch.wait.tell(answer{record: recorded(ch.mine), say: done}) {
		c.finish(end{key: ch.key, state: claim.Released})
	}
}

func (ch *change) answer(a answer) {
	if ch.wait != nil {
		ch.wait.tell(a)
	}
}

// close removes a change that needs no further write.
func (c *committer) close(ch *change) {
	delete(c.keys, ch.key)
	c.openBytes -= len(ch.end.body)
}

// decideAnew decides on the changes whose rows are given, and returns those
// that are still to be written, together with the others of the batch.
func (c *committer) decideAnew(batch []*change, rows []services.Row) []*change {
	current := make(map[string]services.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	var rest []*change
	for _, ch := range batch {
		row, differs := current[ch.key]
		if !differs || c.decide(ch, row) {
			rest = append(rest, ch)
			continue
		}
		c.close(ch)
	}
	return rest
}

// decide reports whether ch is still to be written, on the row as it is.
func (c *committer) decide(ch *change, row services.Row) bool {
	record := decode(row)
	ch.version = row.Version
	switch ch.kind {
	case claiming:
		d := claim.Decide(decided(record), ch.wait.by, ch.wait.hash)
		ch.mine = d.Next
		if !d.Claim {
			ch.answer(answer{record: record, say: d.Reply, detail: "claim of " + record.Host + " is " + string(record.State)})
		}
		return d.Claim
	case withdrawing:
		w := claim.Withdraw(decided(record), ch.mine)
		if !w.Write {
			ch.answer(answer{record: record, say: w.Reply, detail: "claim of " + record.Host + " is " + string(record.State)})
		}
		return w.Write
	default:
		switch claim.CheckEnd(decided(record), ch.mine) {
		case claim.EndUnwritten:
			return true
		case claim.EndSuperseded:
			c.s.count("refused_total", stepOutcome, fault.ReasonClaimLost)
			c.s.log.Error().Str("step", stepOutcome).Str("row", ch.key).Msg("the claim row belongs to another claim")
		}
		return false
	}
}

// failed settles a batch that got an error from the platform. Claims without
// effect are answered; the rest stays open and is tried again.
func (c *committer) failed(batch []*change, err error) {
	noEffect := fault.IsNotRun(err)
	c.delay(time.Now())
	for _, ch := range batch {
		c.s.count("retried_total", stepOutcome, fault.ReasonOf(err))
		switch {
		case ch.kind == claiming && noEffect:
			c.close(ch)
			ch.answer(answer{say: claim.ReplyForUnread(fault.ReasonOf(err)), detail: err.Error()})
			continue
		case ch.kind == claiming:
			ch.kind = withdrawing
		case ch.kind == withdrawing:
			ch.answer(answer{say: claim.ReplyForUnread(fault.ReasonClaimInDoubt), detail: err.Error()})
		}
		ch.read = ch.read || !noEffect
		c.open = append(c.open, ch)
	}
}

// delay sets the time of the next retry with a random part, so that hosts do
// not all come back at once.
func (c *committer) delay(now time.Time) {
	c.backoff = min(maxBackoff, max(minBackoff, 2*c.backoff))
	c.retryAt = now.Add(c.backoff/2 + rand.N(c.backoff/2))
}

func (c *committer) answerDrains() {
	if len(c.open) > 0 || len(c.held) > 0 {
		return
	}
	for _, d := range c.drains {
		d.reply.Offer(struct{}{})
	}
	c.drains = nil
}
