package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/httpserver"
	"fuchsiafront.example/fuchsiafront/services"
)

var testKey = keyring.PresentedKey{Holder: "sales", ID: "k1", Secret: "secret"}

// fakeServices fakes all services that front uses; tests set the results.
type fakeServices struct {
	services.State
	services.Metrics
	keyStaleness      time.Duration
	submit            func(*services.Request) (*services.Reply, error)
	record            services.ClaimRecord
	recordErr         error
	lookups           int
	object            []byte
	jobs              map[string]services.JobStatus
	jobErr            error
	statusErr         error
	reportedReadiness []bool
}

func (f *fakeServices) View() *services.View {
	return &services.View{Document: &document.Document{Sections: map[string]document.Section{"s": {
		Teams:  []document.Team{{Name: "sales", Keys: []document.Key{testKey.StoredForm("aa")}}},
		Queues: []document.Queue{{Name: "q", Team: "sales", Pool: "p"}, {Name: "open", Team: "sales", Pool: "p", Open: true}},
	}}}}
}
func (f *fakeServices) FreshAsOf() time.Time              { return time.Now().Add(-f.keyStaleness) }
func (f *fakeServices) CountRefusal(string, fault.Reason) {}
func (f *fakeServices) SetReady(ready bool)               { f.reportedReadiness = append(f.reportedReadiness, ready) }
func (f *fakeServices) Queues() []services.QueueStatus    { return nil }
func (f *fakeServices) Submit(_ context.Context, r *services.Request) (*services.Reply, error) {
	return f.submit(r)
}

type fakeClaims struct{ *fakeServices }

func (f fakeClaims) Claim(context.Context, *services.Request) (services.ClaimRecord, error) {
	panic("front must not make claims")
}
func (f fakeClaims) RecordOutcome(*services.Request, *services.Reply, error) {}
func (f fakeClaims) Lookup(context.Context, string, string) (services.ClaimRecord, error) {
	f.lookups++
	return f.record, f.recordErr
}

type fakeJobs struct{ *fakeServices }

func (f fakeJobs) Submit(_ context.Context, team, id string, spec services.JobSpec) (services.JobStatus, error) {
	if f.jobErr != nil {
		return services.JobStatus{}, f.jobErr
	}
	f.jobs[id] = services.JobStatus{ID: id, Team: team, Queue: spec.Queue, State: "queued"}
	return f.jobs[id], nil
}
func (f fakeJobs) Status(_ context.Context, _, id string) (services.JobStatus, error) {
	if f.statusErr != nil {
		return services.JobStatus{}, f.statusErr
	}
	if job, ok := f.jobs[id]; ok {
		return job, nil
	}
	return services.JobStatus{}, fault.New(&fault.NotRun, fault.ReasonUnknownJob, "test", "", "none")
}
func (f fakeJobs) Result(ctx context.Context, team, id string) ([]byte, bool, error) {
	job, err := f.Status(ctx, team, id)
	return []byte("output"), job.State == "done", err
}
func (f fakeJobs) Cancel(ctx context.Context, team, id string) (services.JobStatus, error) {
	return f.Status(ctx, team, id)
}
func (f fakeJobs) List(context.Context, string, int) ([]services.JobStatus, error) { return nil, nil }

type fakeObjects struct{ *fakeServices }

func (f fakeObjects) PutObject(context.Context, string, []byte) error { return nil }
func (f fakeObjects) GetObject(context.Context, string) ([]byte, bool, error) {
	return f.object, f.object != nil, nil
}

func newFront(f *fakeServices) *Service {
	f.jobs = map[string]services.JobStatus{}
	if f.submit == nil {
		f.submit = func(*services.Request) (*services.Reply, error) {
			return &services.Reply{Status: 200, Body: []byte("answer")}, nil
		}
	}
	s := New(Settings{Address: "127.0.0.1:0", MaxBodyBytes: 100, DefaultTimeout: 10 * time.Second, MaxTimeout: time.Minute, MaxKeyStaleness: 3 * time.Second}, time.Now)
	s.log = zerolog.Nop()
	s.state, s.dispatcher, s.metrics, s.readiness = f, f, f, f
	s.claims, s.jobs, s.objects = fakeClaims{f}, fakeJobs{f}, fakeObjects{f}
	s.server = httpserver.New("callers", &http.Server{Handler: s.handler()}, zerolog.Nop())
	return s
}

type call struct{ method, path, key, id, body string }

func (c call) do(s *Service) *httptest.ResponseRecorder {
	r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.id != "" {
		r.Header.Set(headerIdempotencyKey, c.id)
	}
	w := httptest.NewRecorder()
	s.handler().ServeHTTP(w, r)
	return w
}

func submitFailing(err error) func(*services.Request) (*services.Reply, error) {
	return func(*services.Request) (*services.Reply, error) { return nil, err }
}

// TestRefusals guards against refusals with the wrong status, without the JSON
// form, or that state "not run" when an earlier attempt under the identifier may
// have run (G6).
func TestRefusals(t *testing.T) {
	full := submitFailing(fault.New(&fault.NotRun, fault.ReasonQueueFull, "test", "", "full"))
	lost := submitFailing(fault.New(&fault.Unknown, fault.ReasonConnectionLost, "test", "", "lost"))
	down := fault.New(&fault.NotRun, fault.ReasonPlatformDown, "test", "", "down")
	busy := fault.New(&fault.NotRun, fault.ReasonPlatformBusy, "test", "", "busy")
	key, post := testKey.Format(), http.MethodPost
	queue := "/v1/queues/q/requests"
	cases := []struct {
		name             string
		fakes            fakeServices
		call             call
		status           int
		reason           fault.Reason
		outcome, attempt string
	}{
		{"full", fakeServices{submit: full}, call{post, queue, key, "", ""}, 429, fault.ReasonQueueFull, "not-run", "not-run"},
		{"full, no record", fakeServices{submit: full}, call{post, queue, key, "id", ""}, 429, fault.ReasonQueueFull, "not-run", "not-run"},
		{"full, released", fakeServices{submit: full, record: services.ClaimRecord{State: services.ClaimReleased}}, call{post, queue, key, "id", ""}, 429, fault.ReasonQueueFull, "not-run", "not-run"},
		{"full, claimed", fakeServices{submit: full, record: services.ClaimRecord{State: services.ClaimHeld}}, call{post, queue, key, "id", ""}, 429, fault.ReasonQueueFull, "unknown", "not-run"},
		{"full, done", fakeServices{submit: full, record: services.ClaimRecord{State: services.ClaimDone, Status: 200}}, call{post, queue, key, "id", ""}, 429, fault.ReasonQueueFull, "unknown", "not-run"},
		{"full, record not read", fakeServices{submit: full, recordErr: down}, call{post, queue, key, "id", ""}, 429, fault.ReasonQueueFull, "unknown", "not-run"},
		{"platform down", fakeServices{submit: submitFailing(down), recordErr: down}, call{post, queue, key, "id", ""}, 503, fault.ReasonPlatformDown, "unknown", "not-run"},
		{"lost", fakeServices{submit: lost}, call{post, queue, key, "id", ""}, 504, fault.ReasonConnectionLost, "unknown", "unknown"},
		{"stale keys, claimed", fakeServices{keyStaleness: time.Minute, record: services.ClaimRecord{State: services.ClaimHeld}}, call{post, queue, key, "id", ""}, 503, fault.ReasonKeysNotCurrent, "unknown", "not-run"},
		{"stale keys", fakeServices{keyStaleness: time.Minute}, call{post, queue, key, "id", ""}, 503, fault.ReasonKeysNotCurrent, "not-run", "not-run"},
		{"no key", fakeServices{}, call{post, queue, "", "", ""}, 401, fault.ReasonNoKey, "not-run", "not-run"},
		{"wrong key with identifier", fakeServices{}, call{post, queue, key + "x", "id", ""}, 401, fault.ReasonWrongKey, "unknown", "not-run"},
		{"wrong team", fakeServices{}, call{post, queue, strings.Replace(key, "sales", "ops", 1), "", ""}, 403, fault.ReasonWrongTeam, "not-run", "not-run"},
		{"unknown queue", fakeServices{}, call{post, "/v1/queues/none/requests", key, "", ""}, 404, fault.ReasonUnknownQueue, "not-run", "not-run"},
		{"bad identifier", fakeServices{}, call{post, queue, key, "a/b", ""}, 400, fault.ReasonMalformed, "not-run", "not-run"},
		{"body too large", fakeServices{}, call{post, queue, key, "", strings.Repeat("x", 101)}, 413, fault.ReasonBodyTooLarge, "not-run", "not-run"},
		{"unknown path", fakeServices{}, call{post, "/v2", key, "", ""}, 404, fault.ReasonUnknownPath, "not-run", "not-run"},
		{"wrong method", fakeServices{}, call{http.MethodPut, queue, key, "", ""}, 405, fault.ReasonWrongMethod, "not-run", "not-run"},
		{"ask without key", fakeServices{}, call{http.MethodGet, "/v1/requests/id", "", "", ""}, 401, fault.ReasonNoKey, "unknown", "not-run"},
		{"ask, none", fakeServices{}, call{http.MethodGet, "/v1/requests/id", key, "", ""}, 404, fault.ReasonUnknownRequest, "not-run", "not-run"},
		{"ask, claimed", fakeServices{record: services.ClaimRecord{State: services.ClaimHeld}}, call{http.MethodGet, "/v1/requests/id", key, "", ""}, 409, fault.ReasonClaimed, "unknown", "unknown"},
		{"ask, platform down", fakeServices{recordErr: down}, call{http.MethodGet, "/v1/requests/id", key, "", ""}, 503, fault.ReasonPlatformDown, "unknown", "not-run"},
		{"job, bad body", fakeServices{}, call{post, "/v1/queues/q/jobs", key, "", `{"x":1}`}, 400, fault.ReasonMalformed, "not-run", "not-run"},
		{"job, platform down", fakeServices{jobErr: down}, call{post, "/v1/queues/q/jobs", key, "", "{}"}, 503, fault.ReasonPlatformDown, "not-run", "not-run"},
		{"job, platform down, identifier", fakeServices{jobErr: down, statusErr: down}, call{post, "/v1/queues/q/jobs", key, "id", "{}"}, 503, fault.ReasonPlatformDown, "unknown", "not-run"},
		{"job, refused, no row", fakeServices{jobErr: busy}, call{post, "/v1/queues/q/jobs", key, "id", "{}"}, 503, fault.ReasonPlatformBusy, "not-run", "not-run"},
		{"job, refused, no row read", fakeServices{jobErr: busy, statusErr: down}, call{post, "/v1/queues/q/jobs", key, "id", "{}"}, 503, fault.ReasonPlatformBusy, "unknown", "not-run"},
		{"job, ask, platform down", fakeServices{statusErr: down}, call{http.MethodGet, "/v1/jobs/id", key, "", ""}, 503, fault.ReasonPlatformDown, "unknown", "not-run"},
		{"job, none", fakeServices{}, call{http.MethodGet, "/v1/jobs/id", key, "", ""}, 404, fault.ReasonUnknownJob, "not-run", "not-run"},
		{"job without key", fakeServices{}, call{http.MethodDelete, "/v1/jobs/id", "", "", ""}, 401, fault.ReasonNoKey, "unknown", "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := c.call.do(newFront(&c.fakes))
			var body refusal
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, body.Reason, c.reason)
			assert.Equal(t, body.Outcome, c.outcome)
			assert.Equal(t, body.Attempt, c.attempt)
			assert.Equal(t, w.Header().Get(headerOutcome), c.outcome)
			assert.Equal(t, w.Header().Get("Retry-After") != "", c.status == 429 || c.status == 503)
			if body.Outcome == outcomeUnknown {
				assert.Assert(t, body.StatusPath != "")
			}
		})
	}
}

// TestWrongKeyReadsNoRecord guards against disclosing recorded requests to a
// caller with a wrong key.
func TestWrongKeyReadsNoRecord(t *testing.T) {
	f := &fakeServices{}
	call{http.MethodPost, "/v1/queues/q/requests", testKey.Format() + "x", "id", ""}.do(newFront(f))
	assert.Equal(t, f.lookups, 0)
}

// TestRecordedAnswers guards against losing the recorded answer of a repeated
// request.
func TestRecordedAnswers(t *testing.T) {
	claimed := submitFailing(fault.New(&fault.NotRun, fault.ReasonClaimed, "test", "", "done"))
	record := services.ClaimRecord{State: services.ClaimDone, Status: 201, Object: "o"}
	ask := call{http.MethodGet, "/v1/requests/id", testKey.Format(), "", ""}
	repeat := call{http.MethodPost, "/v1/queues/q/requests", testKey.Format(), "id", ""}
	for _, c := range []call{ask, repeat} {
		w := c.do(newFront(&fakeServices{submit: claimed, record: record, object: []byte("kept")}))
		assert.Equal(t, w.Code, 201)
		assert.Equal(t, w.Body.String(), "kept")
		assert.Equal(t, w.Header().Get(headerOutcome), outcomeDone)
		w = c.do(newFront(&fakeServices{submit: claimed, record: record}))
		assert.Equal(t, w.Code, 409, "want a conflict when the recorded answer is lost")
	}
}

// TestJobs guards against routes for jobs that do not reach the jobs service.
func TestJobs(t *testing.T) {
	s := newFront(&fakeServices{})
	key := testKey.Format()
	w := call{http.MethodPost, "/v1/queues/q/jobs", key, "j1", `{"idempotent":true,"declaredRunMs":5,"payload":"eA=="}`}.do(s)
	assert.Equal(t, w.Code, 201)
	assert.Equal(t, w.Header().Get("Location"), "/v1/jobs/j1")
	assert.Equal(t, call{http.MethodGet, "/v1/jobs/j1", key, "", ""}.do(s).Code, 200)
	assert.Equal(t, call{http.MethodGet, "/v1/jobs/j1/result", key, "", ""}.do(s).Code, 202)
	assert.Equal(t, call{http.MethodDelete, "/v1/jobs/j1", key, "", ""}.do(s).Code, 200)
}

// TestDrainCutsNoRequest guards against a drain that aborts a request in
// progress, or that refuses connections before it reports not-ready.
func TestDrainCutsNoRequest(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	f := &fakeServices{submit: func(*services.Request) (*services.Reply, error) {
		close(started)
		<-finish
		return &services.Reply{Status: 200, Body: []byte("answer")}, nil
	}}
	s := newFront(f)
	assert.NilError(t, s.Start(t.Context()))
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+s.server.Address()+"/v1/queues/open/requests", "", nil)
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Fatal("Drain returned while a request was in progress")
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	assert.NilError(t, <-drained)
	assert.Equal(t, <-answer, "answer")
	assert.DeepEqual(t, f.reportedReadiness, []bool{true, false})
}
