package front

import (
	"context"
	"net/http"

	"fuchsiafront.example/fuchsiafront/decision/admission"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

func (s *Service) postRequest(w http.ResponseWriter, r *http.Request) {
	req, identified, err := s.decodeRequest(w, r)
	if err == nil {
		var reply *services.Reply
		if reply, err = s.dispatcher.Submit(r.Context(), req); err == nil {
			writeReply(w, req.ID, reply)
			return
		}
	}
	s.refuseRequest(w, req, identified, err)
}

// decodeRequest authenticates and reads a request. With an error it returns the
// request as far as it was read.
func (s *Service) decodeRequest(w http.ResponseWriter, r *http.Request) (_ *services.Request, identified bool, _ error) {
	req := &services.Request{
		Idempotent:  r.Header.Get(headerIdempotent) == "true",
		ContentType: r.Header.Get("Content-Type"),
	}
	var err error
	if req.ID, req.CallerChoseID, err = requestIdentifier(r); err != nil {
		return req, false, err
	}
	d := admission.ToQueue(s.document(), r.PathValue("queue"), s.keyCheck(r))
	req.Team, req.Queue, req.Share, req.Limit = d.Team.Name, d.Queue, d.Team.Share, d.Team.Limit
	if err := admissionError(d); err != nil {
		return req, d.Identified, err
	}
	timeout, err := s.requestTimeout(r)
	if err != nil {
		return req, d.Identified, err
	}
	req.Deadline = s.clock().Add(timeout)
	req.Body, err = s.readBody(w, r, timeout)
	return req, d.Identified, err
}

// refuseRequest answers a request that got no reply, after reading what is
// recorded of earlier attempts under its identifier.
func (s *Service) refuseRequest(w http.ResponseWriter, req *services.Request, identified bool, err error) {
	work := refusedWork{id: req.ID, team: req.Team, queue: req.Queue.Name, err: err}
	if req.CallerChoseID && !req.Idempotent {
		work.recorded = true
		work.statusPath = "/v1/requests/" + req.ID
		var record services.ClaimRecord
		if identified {
			record, work.earlierAttempts = s.lookUpEarlier(req.Team, req.ID)
		}
		// The claim that found the done record has compared the bodies.
		if record.State == services.ClaimDone && fault.ReasonOf(err) == fault.ReasonClaimed {
			s.writeRecordedAnswer(w, req.ID, record)
			return
		}
	}
	s.refuse(w, work)
}

func (s *Service) lookUpEarlier(team, id string) (services.ClaimRecord, admission.EarlierAttempts) {
	// The caller may have left or its deadline may have passed, so the lookup
	// has a timeout of its own.
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	record, err := s.claims.Lookup(ctx, team, id)
	if err != nil {
		s.log.Debug().Err(err).Str("step", "look up claim").Str("team", team).Msg("claim cannot be read; treating earlier attempts as unknown")
		return record, admission.EarlierUnknown
	}
	if record.State == services.ClaimNone || record.State == services.ClaimReleased {
		return record, admission.EarlierNone
	}
	return record, admission.EarlierMayHaveRun
}

// getRequest answers with what is recorded of a request with a caller's
// identifier.
func (s *Service) getRequest(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	work := refusedWork{id: id, recorded: true, statusPath: "/v1/requests/" + id}
	d := admission.ToTeam(s.document(), s.keyCheck(r))
	work.team = d.Team.Name
	if work.err = admissionError(d); work.err != nil {
		s.refuse(w, work)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	record, err := s.claims.Lookup(ctx, d.Team.Name, id)
	if err != nil {
		work.err = err
		s.refuse(w, work)
		return
	}
	s.writeRecordState(w, work, record)
}

func (s *Service) writeRecordState(w http.ResponseWriter, work refusedWork, record services.ClaimRecord) {
	const step = "look up request"
	switch record.State {
	case services.ClaimDone:
		s.writeRecordedAnswer(w, work.id, record)
		return
	case services.ClaimNone, services.ClaimReleased:
		work.earlierAttempts = admission.EarlierNone
		work.err = fault.New(&fault.NotRun, fault.ReasonUnknownRequest, step, "", "no attempt with identifier %q ran", work.id)
	case services.ClaimHeld:
		work.earlierAttempts = admission.EarlierMayHaveRun
		work.err = fault.New(&fault.Unknown, fault.ReasonClaimed, step, record.Host, "the request is in progress")
	default:
		work.earlierAttempts = admission.EarlierMayHaveRun
		work.err = fault.New(&fault.Unknown, fault.ReasonClaimInDoubt, step, record.Host, "the outcome of the request is unknown")
	}
	s.refuse(w, work)
}

// writeRecordedAnswer sends the recorded answer, or a refusal if it is lost.
func (s *Service) writeRecordedAnswer(w http.ResponseWriter, id string, record services.ClaimRecord) {
	reply, err := s.recordedAnswer(record)
	if err != nil {
		s.refuse(w, refusedWork{id: id, recorded: true, earlierAttempts: admission.EarlierMayHaveRun, statusPath: "/v1/requests/" + id, err: err})
		return
	}
	writeReply(w, id, reply)
}

// recordedAnswer returns the answer of a record, from the object store if it is
// kept there. The answer is lost if the record has no status.
func (s *Service) recordedAnswer(record services.ClaimRecord) (*services.Reply, error) {
	errLost := fault.New(&fault.Unknown, fault.ReasonClaimed, "read answer", "platform", "the request ran; its answer is lost")
	if record.Status == 0 {
		return nil, errLost
	}
	reply := &services.Reply{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	if record.Object == "" {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	data, found, err := s.objects.GetObject(ctx, record.Object)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errLost
	}
	reply.Body = data
	return reply, nil
}
