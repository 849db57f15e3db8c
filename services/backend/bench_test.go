package backend

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/standin/backendserver"
)

// BenchmarkSend measures a request of no work over one connection that stays
// open, with the question before it.
func BenchmarkSend(b *testing.B) {
	server, err := backendserver.Open(fleet.Host{Name: "s", Address: "127.0.0.1:0", Slots: 8}, 0, nullRecorder{}, nil)
	assert.NilError(b, err)
	defer server.Close()
	s := New(Settings{MaxEntryHosts: maxServerConnections}, time.Now)
	k := kernel.New(zerolog.Nop(), nil)
	k.Register(services.NameBackend, s)
	assert.NilError(b, k.Start(context.Background()))
	defer k.Stop(context.Background())
	done := make(chan services.BackendResult, 1)
	b.ReportAllocs()
	for b.Loop() {
		req := &services.Request{ID: "id", Body: []byte("{}"), Deadline: time.Now().Add(10 * time.Second)}
		s.Send(context.Background(), services.BackendAttempt{Server: server.Host(), Request: req, Done: func(r services.BackendResult) { done <- r }})
		assert.NilError(b, (<-done).Err)
	}
}
