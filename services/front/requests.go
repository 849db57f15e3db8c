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

// decodeRequest authenticates and reads a request. The request is returned
// also with an error, as far as it was read.
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

// refuseRequest answers a request that did not get its reply, after reading
// what is recorded of earlier attempts under its identifier.
func (s *Service) refuseRequest(w http.ResponseWriter, req *services.Request, identified bool, err error) {
	t := refusedWork{id: req.ID, team: req.Team, queue: req.Queue.Name, err: err}
	if req.CallerChoseID && !req.Idempotent {
		t.recorded = true
		t.statusPath = "/v1/requests/" + req.ID
		var record services.ClaimRecord
		if identified {
			record, t.earlierAttempts = s.lookUpEarlier(req.Team, req.ID)
		}
		// The claim of a repeat that finds a done record compared the bodies.
		if record.State == services.ClaimDone && fault.ReasonOf(err) == fault.ReasonClaimed {
			s.writeRecordedAnswer(w, req.ID, record)
			return
		}
	}
	s.refuse(w, t)
}

func (s *Service) lookUpEarlier(team, id string) (services.ClaimRecord, admission.EarlierAttempts) {
	// The caller may have gone or its deadline passed; the time for the
	// lookup is therefore its own.
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	record, err := s.claims.Lookup(ctx, team, id)
	if err != nil {
		s.log.Debug().Err(err).Str("step", "look up claim").Str("team", team).Msg("claim not read")
		return record, admission.EarlierUnknown
	}
	if record.State == services.ClaimNone || record.State == services.ClaimReleased {
		return record, admission.EarlierNone
	}
	return record, admission.EarlierMayHaveRun
}

// getRequest tells what is recorded of a request with a caller's identifier.
func (s *Service) getRequest(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	t := refusedWork{id: id, recorded: true, statusPath: "/v1/requests/" + id}
	d := admission.ToTeam(s.document(), s.keyCheck(r))
	t.team = d.Team.Name
	if t.err = admissionError(d); t.err != nil {
		s.refuse(w, t)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	record, err := s.claims.Lookup(ctx, d.Team.Name, id)
	if err != nil {
		t.err = err
		s.refuse(w, t)
		return
	}
	s.writeRecordState(w, t, record)
}

func (s *Service) writeRecordState(w http.ResponseWriter, t refusedWork, record services.ClaimRecord) {
	const step = "look up request"
	switch record.State {
	case services.ClaimDone:
		s.writeRecordedAnswer(w, t.id, record)
		return
	case services.ClaimNone, services.ClaimReleased:
		t.earlierAttempts = admission.EarlierNone
		t.err = fault.New(&fault.NotRun, fault.ReasonUnknownRequest, step, "", "no attempt under this identifier ran")
	case services.ClaimHeld:
		t.earlierAttempts = admission.EarlierMayHaveRun
		t.err = fault.New(&fault.Unknown, fault.ReasonClaimed, step, record.Host, "the request is under way")
	default:
		t.earlierAttempts = admission.EarlierMayHaveRun
		t.err = fault.New(&fault.Unknown, fault.ReasonClaimInDoubt, step, record.Host, "the outcome is not known")
	}
	s.refuse(w, t)
}

// writeRecordedAnswer answers with a recorded answer.
func (s *Service) writeRecordedAnswer(w http.ResponseWriter, id string, record services.ClaimRecord) {
	reply, err := s.recordedAnswer(record)
	if err != nil {
		s.refuse(w, refusedWork{id: id, recorded: true, earlierAttempts: admission.EarlierMayHaveRun, statusPath: "/v1/requests/" + id, err: err})
		return
	}
	writeReply(w, id, reply)
}

// recordedAnswer returns the answer of a record, from the object store when it
// is kept there. A record without a status has lost its answer.
func (s *Service) recordedAnswer(record services.ClaimRecord) (*services.Reply, error) {
	lost := fault.New(&fault.Unknown, fault.ReasonClaimed, "read answer", "platform", "the request has run; its answer is lost")
	if record.Status == 0 {
		return nil, lost
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
		return nil, lost
	}
	reply.Body = data
	return reply, nil
}
