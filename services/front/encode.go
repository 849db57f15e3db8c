package front

import (
	"encoding/json"
	"net/http"
	"strconv"

	"fuchsiafront.example/fuchsiafront/decision/admission"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// Outcomes told to callers.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// retryAfterSeconds is the number of seconds after which a refused caller may try
// again; bursts last for some seconds.
const retryAfterSeconds = "1"

// refusal is the body of an answer that is not the backend server's.
type refusal struct {
	Outcome    string       `json:"outcome"`
	Attempt    string       `json:"attempt"`
	Reason     fault.Reason `json:"reason"`
	Detail     string       `json:"detail"`
	StatusPath string       `json:"ask,omitempty"`
}

// refusedWork is what is known of work that is refused.
type refusedWork struct {
	id    string
	team  string
	queue string
	// err is the outcome of this attempt.
	err error
	// recorded is set when attempts are recorded under the identifier, and
	// earlier is what the record says.
	recorded        bool
	earlierAttempts admission.EarlierAttempts
	// statusPath is the path at which the outcome can be asked for.
	statusPath string
}

func outcomeText(notRun bool) string {
	if notRun {
		return outcomeNotRun
	}
	return outcomeUnknown
}

func (s *Service) refuse(w http.ResponseWriter, t refusedWork) {
	attemptNotRun := fault.IsNotRun(t.err)
	notRun := admission.NotRun(attemptNotRun, t.recorded, t.earlierAttempts)
	body := refusal{
		Outcome: outcomeText(notRun),
		Attempt: outcomeText(attemptNotRun),
		Reason:  fault.ReasonOf(t.err),
		Detail:  t.err.Error(),
	}
	if !notRun {
		body.StatusPath = t.statusPath
	}
	s.metrics.CountRefusal(refusalStep(t.err), body.Reason)
	s.log.Debug().Err(t.err).Str("step", "answer caller").Str("team", t.team).Str("queue", t.queue).Msg("work refused")
	status := httpStatus(body.Reason, attemptNotRun)
	if t.id != "" {
		w.Header().Set(headerRequestID, t.id)
	}
	w.Header().Set(headerOutcome, body.Outcome)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, body)
}

// refusalStep returns the step at which work was refused. Steps are constants of the
// code, so that they may be metric tags.
func refusalStep(err error) string {
	if f, ok := fault.As(err); ok {
		return f.Step
	}
	return "answer caller"
}

// httpStatus returns the status for a reason; an attempt of unknown outcome is
// always a time-out of the gateway.
func httpStatus(reason fault.Reason, attemptNotRun bool) int {
	switch reason {
	case fault.ReasonClaimed, fault.ReasonConflict:
		return http.StatusConflict
	}
	if !attemptNotRun {
		return http.StatusGatewayTimeout
	}
	switch reason {
	case fault.ReasonNoKey, fault.ReasonWrongKey, fault.ReasonWithdrawnKey:
		return http.StatusUnauthorized
	case fault.ReasonWrongTeam, fault.ReasonNotPermitted:
		return http.StatusForbidden
	case fault.ReasonUnknownQueue, fault.ReasonUnknownJob, fault.ReasonUnknownRequest, fault.ReasonUnknownPath:
		return http.StatusNotFound
	case fault.ReasonWrongMethod:
		return http.StatusMethodNotAllowed
	case fault.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.ReasonMalformed:
		return http.StatusBadRequest
	case fault.ReasonTeamLimit, fault.ReasonQueueFull:
		return http.StatusTooManyRequests
	case fault.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func writeReply(w http.ResponseWriter, id string, reply *services.Reply) {
	h := w.Header()
	h.Set(headerRequestID, id)
	h.Set(headerOutcome, outcomeDone)
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if reply.ContentType != "" {
		h.Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
