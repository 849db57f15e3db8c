package waitestimate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSummaryAge is the age above which a summary says nothing about the present
	// load: half a shortest objective's useful time, and four renewals.
	MaxSummaryAge = 2 * time.Second
	// startPercent is how far beyond its useful time, in percent of it, a job's end must
	// be for refusal to start. Once jobs are being refused, the useful time itself is the
	// bound. With one bound, refusal would start and stop with each summary.
	startPercent = 10
	// MinRetryAfter is the shortest time after which a refused caller is told to return.
	// The header has whole seconds, and the next summaries take half a second each.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest. It leaves the record of the refusal, which is kept
	// for 30 s, in place until the caller has returned.
	MaxRetryAfter = 20 * time.Second
	// spreadPercent is the part of the time until capacity is expected, in percent, over
	// which callers are spread after it.
	spreadPercent = 50
)

// View is what a host knows of a pool.
type View struct {
	// Summary is nil if the owner published none.
	Summary *Summary
	Age     time.Duration
	// OwnerSilent is set if the owner has not renewed its ownership for a while.
	OwnerSilent bool
	// StandbyMilliCPU is what the standby pool has; StandbyKnown is set if that is
	// recent, or if there is no standby pool.
	StandbyMilliCPU int64
	StandbyKnown    bool
	// Refusing is set if jobs of the same pool and tenant were refused a short time ago.
	Refusing bool
}

// Reason is why a job is admitted or refused.
type Reason string

// Reasons of a decision.
const (
	NoSummary       Reason = "no-summary"
	OldSummary      Reason = "old-summary"
	OwnerSilent     Reason = "owner-silent"
	StandbyUnknown  Reason = "standby-unknown"
	NotEstimated    Reason = "not-estimated"
	InTime          Reason = "in-time"
	WithoutValue    Reason = "without-value"
	BeyondShareLate Reason = "beyond-share"
)

// Decision is whether a job is refused.
type Decision struct {
	Refuse bool
	Reason Reason
	// Estimated is set if Estimate is.
	Estimated bool
	Estimate  Estimate
	// RetryAfter is when a refused caller should return, and OnTimeAtReturn whether its
	// job is expected to be on time then.
	RetryAfter     time.Duration
	OnTimeAtReturn bool
}

// Decide decides on a job that is submitted now.
func Decide(v View, j Job) Decision {
	if reason := v.unusable(); reason != "" {
		return Decision{Reason: reason}
	}
	if !j.bounded() {
		return Decision{Reason: NotEstimated}
	}
	e, ok := newEstimate(v.Summary, v.StandbyMilliCPU, &j)
	if !ok {
		return Decision{Reason: NotEstimated}
	}
	d := Decision{Estimated: true, Estimate: e, Reason: InTime}
	if e.StartsAfter == 0 || e.SlackAtBest >= -v.tolerance(&j, &e) {
		return d
	}
	d.Refuse, d.Reason = true, WithoutValue
	if e.BeyondShare {
		d.Reason = BeyondShareLate
	}
	d.RetryAfter = spread(j.ID, e.EndsAfter-e.Objective)
	d.OnTimeAtReturn = e.EndsAfter-d.RetryAfter <= e.Objective
	return d
}

// unusable returns why nothing can be decided from the view, or an empty reason.
func (v *View) unusable() Reason {
	switch {
	case v.OwnerSilent:
		return OwnerSilent
	case v.Summary == nil || !v.Summary.Valid():
		return NoSummary
	case v.Age > MaxSummaryAge:
		return OldSummary
	case !v.StandbyKnown:
		return StandbyUnknown
	}
	return ""
}

// tolerance returns how far beyond its useful time a job may end at best and still be
// admitted. While jobs are being refused, it grows with the time since the job was first
// refused, so that the callers that were told to wait longest come first.
func (v *View) tolerance(j *Job, e *Estimate) time.Duration {
	useful := WorthlessFactor * e.Objective
	credit := useful
	if v.Refusing {
		credit = min(j.RefusedFor, useful)
	}
	return credit * startPercent / 100
}

// spread returns the time after which a caller should return: until, when its job is
// expected to be on time, and a part of that by a hash of the identifier, so that callers
// do not return in step.
func spread(id string, until time.Duration) time.Duration {
	until = min(max(until, MinRetryAfter), MaxRetryAfter*100/(100+spreadPercent))
	const hashes = 1 << 16
	part := float64(xxhash.Sum64String(id)%hashes) / hashes
	return until + scaled(until, part*spreadPercent/100)
}
