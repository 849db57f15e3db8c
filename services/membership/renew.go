package membership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	rowPrefix = "member/"
	scanLimit = 500
)

// message is a message to the renew duty.
type message interface{ message() }

type confirmation struct {
	member  freshness.Member
	askedAt time.Time
}
type incarnationEnded struct{ member services.Identity }
type renewNow struct{}
type leave struct{ done *ring.Ring[error] }

func (confirmation) message()     {}
func (incarnationEnded) message() {}
func (renewNow) message()         {}
func (leave) message()            {}

// memberRow is the stored form of a member. Renewals changes with each renewal,
// so that the row gets a new version.
type memberRow struct {
	services.Identity
	Renewals uint64 `json:"Renewals"`
}

// observation is the latest version of a row that this process read, and when
// it first read that version.
type observation struct {
	version     uint64
	firstSeenAt time.Time
}

// renewer is the state of the renew duty and is owned by its goroutine.
type renewer struct {
	*Service
	version      uint64
	renewals     uint64
	join         *freshness.Join
	observations map[string]observation
	// rowsToRemove are the ended members whose rows are still at the platform.
	rowsToRemove []services.Identity
	hasLeft      bool
}

func newRenewer(s *Service) *renewer {
	return &renewer{Service: s, join: freshness.NewJoin(memberOf(s.self)), observations: map[string]observation{}}
}

func (r *renewer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.messages.C():
			if r.handle(ctx, m) {
				timer.Reset(0)
			}
		case <-timer.C:
			timer.Reset(r.runRound(ctx))
		}
	}
}

// handle processes a message and reports whether the row is to be renewed
// immediately.
func (r *renewer) handle(ctx context.Context, m message) bool {
	switch m := m.(type) {
	case confirmation:
		r.join.RecordConfirmation(m.member, m.askedAt)
		r.publishLease(func(*lease) {})
	case incarnationEnded:
		all := append(slices.Clone(r.EndedMembers()), m.member)
		r.endedMembers.Store(&all)
		r.rowsToRemove = append(r.rowsToRemove, m.member)
		return true
	case leave:
		m.done.Offer(r.deleteOwnRow(ctx))
	case renewNow:
		return true
	}
	return false
}

// runRound renews the row, removes the rows of ended members and lists the
// members if needed. It returns the time until the next round.
func (r *renewer) runRound(ctx context.Context) time.Duration {
	if r.hasLeft || r.lease.Load().superseded {
		return renewPeriod
	}
	err := r.renew(ctx)
	if fault.ReasonOf(err) == fault.ReasonConflict {
		err = r.renew(ctx)
	}
	if err != nil {
		r.metrics.CountRetry("renew member row", fault.ReasonOf(err))
		r.log.Warn().Err(err).Msg("member row not renewed; retrying")
		return retryInterval
	}
	r.removeEndedRows(ctx)
	if !r.isDesignatedReader.Load() && r.join.Admitted() {
		return renewPeriod
	}
	if err := r.listMembers(ctx); err != nil {
		r.metrics.CountRetry("read member rows", fault.ReasonOf(err))
		r.log.Warn().Err(err).Msg("member rows not read; the previous listing stays in use")
		return retryInterval
	}
	return renewPeriod
}

// renew writes this host's row, conditional on the row's version.
func (r *renewer) renew(ctx context.Context) error {
	started := r.clock()
	value, err := json.Marshal(memberRow{Identity: r.self, Renewals: r.renewals + 1})
	if err != nil {
		return err
	}
	key := rowPrefix + r.self.Name
	result, err := r.table.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: r.version}},
		Writes:     []services.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return r.resolveConflict(result.Current)
	}
	r.version = result.Version
	r.renewals++
	r.recordRenewal(started)
	return nil
}

// resolveConflict handles a row at another version than expected. If the row
// belongs to this or to an earlier process, its version becomes the condition of
// the next attempt; otherwise this process is superseded.
func (r *renewer) resolveConflict(current []services.Row) error {
	const step = "renew member row"
	if len(current) == 0 {
		return fault.New(&fault.NotRun, fault.ReasonMalformed, step, "platform", "the refused transaction returned no current row; want the row of %s", r.self.Name)
	}
	row := current[0]
	if row.Version == 0 {
		return r.supersede("the row was removed")
	}
	var stored memberRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return fault.New(&fault.Invalid, fault.ReasonMalformed, step, "platform", "%w", err)
	}
	if stored.Incarnation > r.self.Incarnation {
		return r.supersede("the row belongs to a later process of this host")
	}
	r.version = row.Version
	r.renewals = max(r.renewals, stored.Renewals)
	return fault.New(&fault.NotRun, fault.ReasonConflict, step, "platform", "the row is at version %d, not at the expected one", row.Version)
}

// supersede permanently ends this process's right to accept changes and to use
// rights.
func (r *renewer) supersede(reason string) error {
	r.publishLease(func(l *lease) { l.superseded = true })
	return fault.New(&fault.NotRun, fault.ReasonMemberSuperseded, "renew member row", "platform", "%s", reason)
}

// recordRenewal records a confirmed renewal that started at started. After the
// hold term has ended the host joins anew, because other members may no longer
// count it.
func (r *renewer) recordRenewal(started time.Time) {
	l := r.lease.Load()
	lapsed := !l.confirmedAt.IsZero() && r.clock().Sub(l.confirmedAt) >= r.settings.HoldTerm
	if lapsed {
		r.join.Reset()
	}
	r.join.RecordRowWritten(r.clock())
	if detected := r.pauseDetectedAt.Load(); detected != nil && detected.Before(started) {
		r.pauseDetectedAt.CompareAndSwap(detected, nil)
	}
	r.publishLease(func(l *lease) {
		l.confirmedAt = started
		if lapsed {
			l.lapses++
		}
	})
}

// publishLease applies change to a copy of the lease, updates its admission from
// the join, and publishes it.
func (r *renewer) publishLease(change func(*lease)) {
	next := *r.lease.Load()
	change(&next)
	next.admitted = r.join.Admitted()
	next.unconfirmed = nil
	for _, m := range r.join.Unconfirmed() {
		next.unconfirmed = append(next.unconfirmed, m.Name)
	}
	r.lease.Store(&next)
}

// listMembers reads the rows of all members. A row that was not renewed for the
// hold term is left out; one renewal period is added for the time that a renewal
// takes to arrive.
func (r *renewer) listMembers(ctx context.Context) error {
	listing := services.MemberListing{AsOf: r.clock(), SelfInForce: true, Lapses: r.lease.Load().lapses}
	rows, err := r.scanRows(ctx)
	if err != nil {
		return err
	}
	now := r.clock()
	current := make(map[string]observation, len(rows))
	for _, row := range rows {
		seen, known := r.observations[row.Key]
		if !known || seen.version != row.Version {
			seen = observation{version: row.Version, firstSeenAt: now}
		}
		current[row.Key] = seen
		var stored memberRow
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return fault.New(&fault.Invalid, fault.ReasonMalformed, "read member rows", row.Key, "%w", err)
		}
		if now.Sub(seen.firstSeenAt) < r.settings.HoldTerm+renewPeriod {
			listing.Members = append(listing.Members, stored.Identity)
		}
	}
	r.observations = current
	r.listing.Store(&listing)
	r.join.SetListing(membersOf(listing.Members), listing.AsOf)
	r.publishLease(func(*lease) {})
	return nil
}

func (r *renewer) scanRows(ctx context.Context) ([]services.Row, error) {
	var all []services.Row
	after := ""
	for {
		rows, more, err := r.table.Scan(ctx, rowPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if !more || len(rows) == 0 {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// removeEndedRows deletes the rows of members that operators declared ended. A
// row that belongs to a later process stays.
func (r *renewer) removeEndedRows(ctx context.Context) {
	r.rowsToRemove = slices.DeleteFunc(r.rowsToRemove, func(m services.Identity) bool {
		err := r.removeEndedRow(ctx, m)
		if err != nil {
			r.log.Warn().Err(err).Str("peer", m.Name).Msg("row of ended member not removed; the removal is retried after the next renewal")
		}
		return err == nil
	})
}

func (r *renewer) removeEndedRow(ctx context.Context, m services.Identity) error {
	key := rowPrefix + m.Name
	rows, err := r.table.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return err
	}
	var stored memberRow
	if err := json.Unmarshal(rows[0].Value, &stored); err != nil || stored.Incarnation > m.Incarnation {
		return err
	}
	_, err = r.table.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []services.Write{{Key: key, Delete: true}},
	})
	return err
}

// deleteOwnRow deletes this host's row at a graceful stop.
func (r *renewer) deleteOwnRow(ctx context.Context) error {
	r.hasLeft = true
	if r.version == 0 {
		return nil
	}
	key := rowPrefix + r.self.Name
	_, err := r.table.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key, Version: r.version}},
		Writes:     []services.Write{{Key: key, Delete: true}},
	})
	return err
}

func membersOf(identities []services.Identity) []freshness.Member {
	all := make([]freshness.Member, len(identities))
	for i, identity := range identities {
		all[i] = memberOf(identity)
	}
	return all
}
