package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// Headers of the callers' protocol.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Idempotent"
	headerTimeout        = "Request-Timeout-Ms"
	headerRequestID      = "Request-Id"
	headerOutcome        = "Outcome"
)

// Outcomes told to callers.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// refusal is the body of an answer that is not the backend server's.
type refusal struct {
	Outcome string       `json:"outcome"`
	Attempt string       `json:"attempt"`
	Reason  fault.Reason `json:"reason"`
	Detail  string       `json:"detail"`
	Ask     string       `json:"ask,omitempty"`
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

func (s *Service) refuse(w http.ResponseWriter, req *services.Request, err error) {
	body := refusal{Outcome: outcomeUnknown, Attempt: outcomeUnknown, Reason: fault.ReasonOf(err), Detail: err.Error()}
	if fault.IsNotRun(err) {
		body.Outcome, body.Attempt = outcomeNotRun, outcomeNotRun
	} else if req.CallerID {
		body.Ask = "/v1/requests/" + req.ID
	}
	s.metrics.Refused("request", body.Reason)
	s.log.Debug().Err(err).Str("team", req.Team).Str("queue", req.Queue.Name).Msg("request refused")
	w.Header().Set(headerRequestID, req.ID)
	w.Header().Set(headerOutcome, body.Outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(body.Reason, body.Outcome))
	json.NewEncoder(w).Encode(body)
}

func statusOf(reason fault.Reason, outcome string) int {
	if outcome == outcomeUnknown {
		return http.StatusGatewayTimeout
	}
	switch reason {
	case fault.ReasonNoKey, fault.ReasonWrongKey, fault.ReasonWithdrawnKey:
		return http.StatusUnauthorized
	case fault.ReasonWrongTeam, fault.ReasonNotPermitted:
		return http.StatusForbidden
	case fault.ReasonUnknownQueue, fault.ReasonUnknownJob, fault.ReasonUnknownRequest:
		return http.StatusNotFound
	case fault.ReasonConflict, fault.ReasonClaimed:
		return http.StatusConflict
	case fault.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.ReasonMalformed:
		return http.StatusBadRequest
	case fault.ReasonLimit, fault.ReasonQueueFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeReply(w http.ResponseWriter, req *services.Request, reply *services.Reply) {
	h := w.Header()
	h.Set(headerRequestID, req.ID)
	h.Set(headerOutcome, "done")
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if reply.ContentType != "" {
		h.Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
}
