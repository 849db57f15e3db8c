package rights

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const stepJob = "account for job"

// rowRead is a row of one team as it was read.
type rowRead struct {
	team    string
	version uint64
	row     rights.Row
	start   time.Time
}

// PlaceJob implements services.JobRights.
func (s *Service) PlaceJob(ctx context.Context, team string) (services.RightsChange, error) {
	read, err := s.readRow(ctx, team)
	if err != nil {
		return services.RightsChange{}, err
	}
	next, ok := read.row.PlaceJob(s.self())
	if !ok || !s.mayPlace(ctx, read) {
		return services.RightsChange{}, fault.New(&fault.NotRun, fault.ReasonConflict, stepJob, platformPeer, "the rights of team %s changed", team)
	}
	return s.newRightsChange(read, next, true)
}

// AdoptJob implements services.JobRights.
func (s *Service) AdoptJob(ctx context.Context, team string, scheduler services.Identity) (services.RightsChange, error) {
	read, err := s.readRow(ctx, team)
	if err != nil {
		return services.RightsChange{}, err
	}
	next, ok := read.row.AdoptJob(holderOf(scheduler), s.self())
	if !ok {
		return services.RightsChange{}, noJobRight(team, scheduler)
	}
	return s.newRightsChange(read, next, false)
}

// EndJob implements services.JobRights.
func (s *Service) EndJob(ctx context.Context, team string, scheduler services.Identity) (services.RightsChange, error) {
	read, err := s.readRow(ctx, team)
	if err != nil {
		return services.RightsChange{}, err
	}
	next, ok := read.row.EndJob(holderOf(scheduler))
	if !ok {
		return services.RightsChange{}, noJobRight(team, scheduler)
	}
	return s.newRightsChange(read, next, false)
}

func holderOf(id services.Identity) rights.Holder {
	return rights.Holder{Host: id.Name, Incarnation: id.Incarnation}
}

func noJobRight(team string, scheduler services.Identity) error {
	return fault.New(&fault.NotRun, fault.ReasonNoJobRight, stepJob, scheduler.Name, "no right of a job of team %s", team)
}

func (s *Service) readRow(ctx context.Context, team string) (rowRead, error) {
	start := time.Now()
	rows, err := s.platform.Get(ctx, rowPrefix+team)
	if err != nil {
		return rowRead{}, err
	}
	row, err := decodeRow(rows[0])
	return rowRead{team: team, version: rows[0].Version, row: row, start: start}, err
}

// mayPlace asks the ledger whether the row read is current and covers the work
// that runs here.
func (s *Service) mayPlace(ctx context.Context, read rowRead) bool {
	m := checkPlacement{rowRead: read, reply: ring.Reply[bool]()}
	if s.ledger.Put(ctx, m) != nil {
		return false
	}
	ok, err := m.reply.Take(ctx)
	return ok && err == nil
}

func (s *Service) newRightsChange(read rowRead, next rights.Row, placed bool) (services.RightsChange, error) {
	key := rowPrefix + read.team
	value, err := encodeRow(next)
	if err != nil {
		return services.RightsChange{}, err
	}
	return services.RightsChange{
		Condition: services.Condition{Key: key, Version: read.version},
		Write:     services.Write{Key: key, Value: value},
		Settle: func(result services.CommitResult, err error) {
			s.post(recordJobChange{rowRead: read, next: next, isPlacement: placed, result: result, err: err})
		},
	}, nil
}

// SetWaitingJobs implements services.JobRights. It waits while the ring is full.
func (s *Service) SetWaitingJobs(team string, n int) { s.post(setWaitingJobs{team: team, n: n}) }

type setWaitingJobs struct {
	team string
	n    int
}

func (m setWaitingJobs) receive(k *ledgerDuty, now time.Time) {
	k.ledger.SetWaitingJobs(now, m.team, m.n)
	k.announceChange(m.team)
}

type checkPlacement struct {
	rowRead
	reply *ring.Ring[bool]
}

func (m checkPlacement) receive(k *ledgerDuty, _ time.Time) {
	k.ledger.Observe(m.team, m.version, m.row, m.start)
	m.reply.Offer(k.ledger.MayPlaceJob(m.team, m.version))
}

type recordJobChange struct {
	rowRead
	next        rights.Row
	isPlacement bool
	result      services.CommitResult
	err         error
}

func (m recordJobChange) receive(k *ledgerDuty, _ time.Time) {
	outcome := rights.Refused
	switch {
	case m.err != nil:
		outcome = outcomeOf(m.err)
	case m.result.Committed:
		outcome = rights.Committed
		k.ledger.Observe(m.team, m.result.Version, m.next, m.start)
	}
	if m.isPlacement {
		k.ledger.RecordJobOutcome(m.team, m.version, outcome)
	}
	k.announceChange(m.team)
}
