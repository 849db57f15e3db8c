package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/claim"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// rowPrefix starts the keys of all claim rows.
const rowPrefix = "claim/"

func rowKey(team, id string) string { return rowPrefix + team + "/" + id }

// objectName returns the name of a large answer. It depends on the content, so
// that a late put cannot replace another answer under the same identifier.
func objectName(key string, body []byte) string {
	sum := sha256.Sum256(body)
	return key + "/" + hex.EncodeToString(sum[:])
}

// requestHash identifies the content of a request. The queue is part of it,
// because the same body on another queue is another request.
func requestHash(req *services.Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(req.Queue.Name), req.Queue.Name)
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// toDecisionRecord returns the part of a record that package claim decides on.
func toDecisionRecord(r services.ClaimRecord) claim.Record {
	return claim.Record{
		State:     claim.State(r.State),
		ClaimedBy: claim.Claimant{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence},
		Attempt:   r.Attempt,
		BodyHash:  r.BodyHash,
	}
}

// toStoredRecord returns the stored form of a decided record without an answer.
func toStoredRecord(r claim.Record) services.ClaimRecord {
	return services.ClaimRecord{
		State:       services.ClaimState(r.State),
		Host:        r.ClaimedBy.Host,
		Incarnation: r.ClaimedBy.Incarnation,
		Sequence:    r.ClaimedBy.Sequence,
		Attempt:     r.Attempt,
		BodyHash:    r.BodyHash,
	}
}

func encode(r services.ClaimRecord, now time.Time) ([]byte, error) {
	r.ChangedAt = now
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonInternal, "encode claim", "", "%v", err)
	}
	return data, nil
}

// decode returns the record of a row; an absent row is the zero record. A row
// that cannot be decoded counts as unknown, because it may have run, and is
// never replaced.
func decode(row services.Row) services.ClaimRecord {
	var r services.ClaimRecord
	if row.Version == 0 {
		return r
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return services.ClaimRecord{State: services.ClaimUnknown, Attempt: math.MaxInt}
	}
	return r
}

// errorFor returns the error that carries statement s; nil when the request is
// done.
func errorFor(s claim.CallerReply, detail string) error {
	switch s.Outcome {
	case claim.OutcomeDone:
		return nil
	case claim.OutcomeNotRun:
		return fault.New(&fault.NotRun, reasonOrDefault(s.Reason, fault.ReasonClaimInDoubt), stepClaim, peerPlatform, "%s", detail)
	case claim.OutcomeInvalid:
		return fault.New(&fault.Invalid, s.Reason, stepClaim, peerPlatform, "%s", detail)
	default:
		return fault.New(&fault.Unknown, reasonOrDefault(s.Reason, fault.ReasonClaimInDoubt), stepClaim, peerPlatform, "%s", detail)
	}
}

func reasonOrDefault(r, other fault.Reason) fault.Reason {
	if r == "" {
		return other
	}
	return r
}
