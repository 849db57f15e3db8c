package front

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/admission"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// jobBody is the body of a submission. Payload is base64 in JSON.
type jobBody struct {
	Idempotent    bool            `json:"idempotent"`
	Resources     fleet.Resources `json:"resources"`
	DeclaredRunMs int64           `json:"declaredRunMs"`
	Payload       []byte          `json:"payload"`
}

// submission is a decoded job on its way to the jobs service.
type submission struct {
	id           string
	idFromCaller bool
	team         string
	queue        string
	identified   bool
	timeout      time.Duration
	spec         services.JobSpec
}

func (s *Service) postJob(w http.ResponseWriter, r *http.Request) {
	job, err := s.decodeJob(w, r)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), job.timeout)
		defer cancel()
		var status services.JobStatus
		if status, err = s.jobs.Submit(ctx, job.team, job.id, job.spec); err == nil {
			w.Header().Set("Location", "/v1/jobs/"+status.ID)
			writeJSON(w, http.StatusCreated, status)
			return
		}
	}
	s.refuseJob(w, job, err)
}

// decodeJob authenticates and reads a submission. It is returned also with an
// error, as far as it was read.
func (s *Service) decodeJob(w http.ResponseWriter, r *http.Request) (job submission, err error) {
	if job.id, job.idFromCaller, err = requestIdentifier(r); err != nil {
		return job, err
	}
	d := admission.ToQueue(s.document(), r.PathValue("queue"), s.keyCheck(r))
	job.team, job.queue, job.identified = d.Team.Name, d.Queue.Name, d.Identified
	if err := admissionError(d); err != nil {
		return job, err
	}
	if job.timeout, err = s.requestTimeout(r); err != nil {
		return job, err
	}
	data, err := s.readBody(w, r, job.timeout)
	if err != nil {
		return job, err
	}
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return job, malformedError("read job", "%w", err)
	}
	job.spec = services.JobSpec{
		Queue: job.queue, Idempotent: body.Idempotent, Resources: body.Resources,
		DeclaredRun: time.Duration(body.DeclaredRunMs) * time.Millisecond, Payload: body.Payload,
	}
	return job, nil
}

// refuseJob answers a submission that was not recorded, after looking for an
// earlier one under its identifier.
func (s *Service) refuseJob(w http.ResponseWriter, job submission, err error) {
	t := refusedWork{id: job.id, team: job.team, queue: job.queue, err: err, statusPath: "/v1/jobs/" + job.id, recorded: job.idFromCaller}
	if job.idFromCaller && job.identified && fault.IsNotRun(err) {
		ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
		defer cancel()
		_, lookupErr := s.jobs.Status(ctx, job.team, job.id)
		switch {
		case lookupErr == nil:
			t.earlierAttempts = admission.EarlierMayHaveRun
		case fault.ReasonOf(lookupErr) == fault.ReasonUnknownJob:
			t.earlierAttempts = admission.EarlierNone
		}
	}
	s.refuse(w, t)
}

// serveJob admits a caller who asks for one job, and hands on a context for
// the lookup.
func (s *Service) serveJob(w http.ResponseWriter, r *http.Request, serve func(ctx context.Context, team, id string) error) {
	id := r.PathValue("id")
	d := admission.ToTeam(s.document(), s.keyCheck(r))
	err := admissionError(d)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
		defer cancel()
		err = serve(ctx, d.Team.Name, id)
	}
	if err == nil {
		return
	}
	t := refusedWork{id: id, team: d.Team.Name, err: err, statusPath: "/v1/jobs/" + id, recorded: true}
	if fault.ReasonOf(err) == fault.ReasonUnknownJob {
		t.earlierAttempts = admission.EarlierNone
	}
	s.refuse(w, t)
}

func (s *Service) getJob(w http.ResponseWriter, r *http.Request) {
	s.serveJob(w, r, func(ctx context.Context, team, id string) error {
		status, err := s.jobs.Status(ctx, team, id)
		if err == nil {
			writeJSON(w, http.StatusOK, status)
		}
		return err
	})
}

func (s *Service) deleteJob(w http.ResponseWriter, r *http.Request) {
	s.serveJob(w, r, func(ctx context.Context, team, id string) error {
		status, err := s.jobs.Cancel(ctx, team, id)
		if err == nil {
			writeJSON(w, http.StatusOK, status)
		}
		return err
	})
}

// getResult answers with the output of a job, or with its status while there
// is none.
func (s *Service) getResult(w http.ResponseWriter, r *http.Request) {
	s.serveJob(w, r, func(ctx context.Context, team, id string) error {
		data, ok, err := s.jobs.Result(ctx, team, id)
		if err != nil {
			return err
		}
		if ok {
			writeReply(w, id, &services.Reply{Status: http.StatusOK, ContentType: "application/octet-stream", Body: data})
			return nil
		}
		status, err := s.jobs.Status(ctx, team, id)
		if err == nil {
			writeJSON(w, http.StatusAccepted, status)
		}
		return err
	})
}
