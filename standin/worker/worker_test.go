package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/standin/worker"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// Guards against workers of one process that share a port or a state, and
// against a fault of one worker that shows at another.
func TestFleetServesEachWorker(t *testing.T) {
	a := worker.New(worker.Config{Name: "a", Capacity: fleet.Resources{MilliCPU: 1000}})
	b := worker.New(worker.Config{Name: "b"})
	f := worker.NewFleet(a, b)
	k := kernel.New(zerolog.Nop(), nil)
	k.Register("workers", f)
	assert.NilError(t, k.Start(t.Context()))
	defer k.Stop(context.Background())
	b.SetFaults(worker.Faults{Down: true})
	start := func(name string, cpu int64) (*connect.Response[v1.StartTaskResponse], error) {
		c := fuchsiafrontv1connect.NewWorkerServiceClient(http.DefaultClient, f.Addresses()[name])
		return c.StartTask(t.Context(), connect.NewRequest(&v1.StartTaskRequest{
			Token: "t", LeaseMs: 60_000, Payload: []byte(`{"runMs":60000}`), Resources: &v1.Resources{MilliCpu: cpu},
		}))
	}
	resp, err := start("a", 800)
	assert.NilError(t, err)
	assert.Assert(t, resp.Msg.Started)
	_, err = start("b", 0)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(a.Executions()), 1)
	assert.Equal(t, len(b.Executions()), 0)
}

// handlerClient calls a worker without a socket.
type handlerClient struct{ w *worker.Worker }

func (h handlerClient) Do(req *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.w.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}

// Guards against tasks that outlive their lease or run twice, tokens that are
// forgotten, and throttled or stopped tasks that keep their room.
func TestTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker.New(worker.Config{Name: "w", Capacity: fleet.Resources{MilliCPU: 1000}})
		c := fuchsiafrontv1connect.NewWorkerServiceClient(handlerClient{w}, "http://w")
		start := func(token, checkpoint string) string {
			resp, err := c.StartTask(t.Context(), connect.NewRequest(&v1.StartTaskRequest{
				Token: token, LeaseMs: 30_000, Payload: []byte(`{"runMs":40000,"useMilliCPU":5}`),
				Resources: &v1.Resources{MilliCpu: 800}, Checkpoint: checkpoint,
			}))
			assert.NilError(t, err)
			return resp.Msg.Refused
		}
		inspect := func(token string) *v1.Task {
			resp, err := c.InspectTasks(t.Context(), connect.NewRequest(&v1.InspectTasksRequest{Tokens: []string{token}, ForbidUnknown: true}))
			assert.NilError(t, err)
			return resp.Msg.Tasks[0]
		}
		assert.Equal(t, start("a", ""), "")
		assert.Equal(t, start("a", ""), "")
		assert.Equal(t, start("b", ""), worker.RefusedNoRoom)
		assert.Assert(t, inspect("a").Used == nil)
		time.Sleep(31 * time.Second)
		assert.Equal(t, inspect("a").State, v1.TaskState_TASK_STATE_LEASE_EXPIRED)
		assert.Equal(t, inspect("a").Used.MilliCpu, int64(5))
		assert.Equal(t, start("b", ""), worker.RefusedNoRoom)
		assert.Equal(t, inspect("c").State, v1.TaskState_TASK_STATE_NEVER)
		assert.Equal(t, start("c", ""), worker.RefusedNeverStarted)

		assert.Equal(t, start("d", "30000"), "")
		_, err := c.ThrottleTask(t.Context(), connect.NewRequest(&v1.ThrottleTaskRequest{Token: "d", Percent: 50}))
		assert.NilError(t, err)
		assert.Equal(t, w.Free().MilliCPU, int64(600))
		time.Sleep(10 * time.Second)
		saved, err := c.CheckpointTask(t.Context(), connect.NewRequest(&v1.CheckpointTaskRequest{Token: "d"}))
		assert.NilError(t, err)
		assert.Equal(t, saved.Msg.Checkpoint, "35000")
		time.Sleep(11 * time.Second)
		assert.Equal(t, inspect("d").State, v1.TaskState_TASK_STATE_SUCCEEDED)
		assert.Equal(t, w.Free().MilliCPU, int64(1000))
		assert.Equal(t, len(w.Executions()), 2)
	})
}
