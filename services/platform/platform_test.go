package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/platform"
)

func start(t *testing.T, url string) *platform.Service {
	t.Helper()
	s := platform.New(platform.Settings{URL: url})
	k := kernel.New(zerolog.Nop(), nil)
	k.Register(services.NamePlatform, s)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return s
}

var write = services.Transaction{Writes: []services.Write{{Key: "k", Value: []byte("v")}}}

// Guards against a commit that is reported as not run although the platform may
// have applied it: the reply is lost after the request was written.
func TestLostReplyIsUnknown(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	s := start(t, server.URL)
	_, err := s.Commit(t.Context(), write)
	assert.Assert(t, !fault.IsNotRun(err), "%v", err)
	assert.Equal(t, fault.ReasonOf(err), fault.ReasonPlatformDown)
	assert.Equal(t, calls.Load(), int64(1), "the HTTP client sent the commit again")
	_, err = s.Get(t.Context(), "k")
	assert.Assert(t, fault.IsNotRun(err), "a failed read is not reported as not run: %v", err)
}

// Guards against a commit whose outcome is reported as unknown, so that callers
// have to resolve it, although no byte of it left this host.
func TestUnreachablePlatformIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = start(t, "http://"+address).Commit(t.Context(), write)
	assert.Assert(t, fault.IsNotRun(err), "%v", err)
}

// Guards against a call that is sent after the context of its caller has ended.
func TestCallAfterDeadlineIsNotSent(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := start(t, server.URL).Commit(ctx, write)
	assert.Assert(t, fault.IsNotRun(err), "%v", err)
	assert.Equal(t, calls.Load(), int64(0))
}
