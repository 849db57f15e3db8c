package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/backendserver"
	"fuchsiafront.example/fuchsiafront/standin/faults"
)

// startService runs the service, with one connection to each server if
// singleConnection is set.
func startService(t *testing.T, singleConnection bool) *Service {
	entryHosts := 8
	if singleConnection {
		entryHosts = maxServerConnections
	}
	s := New(Settings{MaxEntryHosts: entryHosts}, time.Now)
	k := kernel.New(zerolog.Nop(), nil)
	k.Register(services.NameBackend, s)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { k.Stop(context.Background()) })
	return s
}

func post(s *Service, host fleet.Host, id, body string, timeout time.Duration) <-chan services.BackendResult {
	done := make(chan services.BackendResult, 1)
	req := &services.Request{ID: id, Body: []byte(body), Deadline: time.Now().Add(timeout)}
	send := services.BackendAttempt{Server: host, Request: req, Done: func(r services.BackendResult) { done <- r }}
	if err := s.Send(context.Background(), send); err != nil {
		done <- services.BackendResult{Err: err}
	}
	return done
}

// startRawServer runs a server that calls answer for the n-th request, counted
// from zero. It returns the server's host and the number of requests read.
func startRawServer(t *testing.T, answer func(n int64, r *http.Request, conn net.Conn) (keep bool)) (fleet.Host, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var count atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Method == http.MethodHead {
						io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nSlots-Free: 8\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					if !answer(count.Add(1)-1, r, conn) {
						return
					}
				}
			}()
		}
	}()
	return fleet.Host{Name: "raw", Address: l.Addr().String(), Slots: 8}, &count
}

func formatReply(id, body, extraHeaders string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, extraHeaders, contentDigest([]byte(body)), len(body), body)
}

// TestFaultyReplies guards against accepting the reply to another request or a
// partial reply, and against stating "not run" without proof (G5, G6).
func TestFaultyReplies(t *testing.T) {
	const refusal = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Run: slots\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name, text string
		notRun     bool
		reason     fault.Reason
	}{
		{"whole", formatReply("id", "body", ""), false, ""},
		{"after 100 Continue", "HTTP/1.1 100 Continue\r\n\r\n" + formatReply("id", "body", ""), false, ""},
		{"crossed", formatReply("other", "body", ""), false, fault.ReasonWrongReply},
		{"truncated", formatReply("id", "body", "")[:len(formatReply("id", "body", ""))-1], false, fault.ReasonTruncatedReply},
		{"wrong digest", formatReply("id", "body", "")[:len(formatReply("id", "body", ""))-1] + "x", false, fault.ReasonTruncatedReply},
		{"no length", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\n\r\nbody", false, fault.ReasonTruncatedReply},
		{"no answer", "", false, fault.ReasonConnectionLost},
		{"refused", fmt.Sprintf(refusal, 503, "id"), true, fault.ReasonNoSlots},
		{"refused for another", fmt.Sprintf(refusal, 503, "other"), false, fault.ReasonWrongReply},
		{"refused with another status", fmt.Sprintf(refusal, 200, "id"), false, fault.ReasonWrongReply},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			host, _ := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				io.WriteString(conn, c.text)
				return false
			})
			r := <-post(startService(t, true), host, "id", "x", 10*time.Second)
			if c.reason == "" {
				assert.NilError(t, r.Err)
				assert.Equal(t, string(r.Reply.Body), "body")
				return
			}
			assert.Equal(t, fault.ReasonOf(r.Err), c.reason)
			assert.Equal(t, fault.IsNotRun(r.Err), c.notRun)
		})
	}
}

// TestLateReplyDoesNotReachNextRequest guards against a late reply, or
// bytes after a reply, that reach the next request on the connection (G5).
func TestLateReplyDoesNotReachNextRequest(t *testing.T) {
	release, closed := make(chan struct{}), make(chan error, 1)
	host, _ := startRawServer(t, func(n int64, r *http.Request, conn net.Conn) bool {
		id := r.Header.Get("Request-Id")
		if n == 0 {
			_, err := conn.Read(make([]byte, 1))
			closed <- err
			<-release
		}
		io.WriteString(conn, formatReply(id, id, ""))
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			io.WriteString(conn, formatReply(id, id, ""))
		}
		return true
	})
	s := startService(t, true)
	late := <-post(s, host, "late", "x", time.Second)
	assert.Equal(t, fault.ReasonOf(late.Err), fault.ReasonDeadline)
	assert.Assert(t, !fault.IsNotRun(late.Err))
	// The next request must not use the socket on which a reply is outstanding.
	answered := post(s, host, "second", "x", 5*time.Second)
	assert.Assert(t, <-closed != nil, "the socket of the late request was not closed")
	assert.NilError(t, (<-answered).Err)
	close(release)
	// The second copy of the second reply arrives on the idle connection.
	time.Sleep(100 * time.Millisecond)
	for _, id := range []string{"third", "fourth"} {
		r := <-post(s, host, id, "x", 5*time.Second)
		assert.NilError(t, r.Err)
		assert.Equal(t, string(r.Reply.Body), id)
	}
}

// TestServerDownBeforeTheWrite guards against an unknown outcome for a request
// of which no byte was written, because the server is down or closed the idle
// connection.
func TestServerDownBeforeTheWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	down := fleet.Host{Name: "down", Address: l.Addr().String()}
	l.Close()
	s := startService(t, true)
	r := <-post(s, down, "id", "x", 10*time.Second)
	assert.Equal(t, fault.ReasonOf(r.Err), fault.ReasonConnectFailed)
	assert.Assert(t, fault.IsNotRun(r.Err))

	host, _ := startRawServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		io.WriteString(conn, formatReply(r.Header.Get("Request-Id"), "body", ""))
		return false
	})
	assert.NilError(t, (<-post(s, host, "first", "x", 10*time.Second)).Err)
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, (<-post(s, host, "second", "x", 10*time.Second)).Err)
}

// TestGoneCallerIsNotRun guards against running a request whose caller left
// before the write.
func TestGoneCallerIsNotRun(t *testing.T) {
	host, count := startRawServer(t, func(int64, *http.Request, net.Conn) bool { return false })
	s := startService(t, true)
	gone, done := make(chan struct{}), make(chan services.BackendResult, 1)
	close(gone)
	send := services.BackendAttempt{Server: host, CallerGone: gone, Done: func(r services.BackendResult) { done <- r },
		Request: &services.Request{ID: "id", Deadline: time.Now().Add(10 * time.Second)}}
	assert.NilError(t, s.Send(t.Context(), send))
	r := <-done
	assert.Equal(t, fault.ReasonOf(r.Err), fault.ReasonCancelled)
	assert.Assert(t, fault.IsNotRun(r.Err))
	assert.Equal(t, count.Load(), int64(0))
}

type nullRecorder struct{}

func (nullRecorder) RecordStart(standin.Execution) int { return 0 }
func (nullRecorder) RecordEnd(int)                     {}

func openStandin(t *testing.T) (*backendserver.Server, fleet.Host) {
	host := fleet.Host{Name: "s", Address: "127.0.0.1:0", Slots: 8}
	server, err := backendserver.Open(host, time.Millisecond, nullRecorder{}, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	return server, server.Host()
}

// TestSilentConnectionSwallowsNoRequest guards against writing a request to a
// connection that went silent, even one in steady use, which would lose a
// non-idempotent request.
func TestSilentConnectionSwallowsNoRequest(t *testing.T) {
	server, host := openStandin(t)
	s := startService(t, true)
	for range 3 {
		assert.NilError(t, (<-post(s, host, "first", "{}", 10*time.Second)).Err)
		server.Injector().Apply(faults.Set{SilenceOpenConns: true})
		assert.NilError(t, (<-post(s, host, "second", "{}", 10*time.Second)).Err)
	}
}

// TestBusySilentConnectionIsClosed guards against keeping a busy silent
// connection until the deadline. The server answers probes on new connections
// and reports no slot in use.
func TestBusySilentConnectionIsClosed(t *testing.T) {
	host, _ := startRawServer(t, func(int64, *http.Request, net.Conn) bool {
		<-t.Context().Done()
		return false
	})
	r := <-post(startService(t, true), host, "id", "{}", 20*time.Second)
	assert.Equal(t, fault.ReasonOf(r.Err), fault.ReasonConnectionStalled)
	assert.Assert(t, !fault.IsNotRun(r.Err), "want an unknown outcome, because bytes of the request were written")
}

// TestSocketOptions guards against keeping connections to a host that vanished
// for the system default of hours.
func TestSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := startService(t, true).dial(l.Addr().String(), time.Second)
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	options := map[int]int{syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 2, sockoptTCPUserTimeout: 3000}
	err = raw.Control(func(fd uintptr) {
		for option, want := range options {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			assert.Check(t, err)
			assert.Check(t, got == want, "option %d is %d, want %d", option, got, want)
		}
	})
	assert.NilError(t, err)
}

// TestLongRequestKeepsItsConnection guards against closing the connection of a
// request that runs for longer than the stall timeout while other requests to
// the same server are answered.
func TestLongRequestKeepsItsConnection(t *testing.T) {
	_, host := openStandin(t)
	s := startService(t, false)
	long := post(s, host, "long", `{"workMs":2600}`, 30*time.Second)
	for {
		select {
		case r := <-long:
			assert.NilError(t, r.Err)
			return
		case <-time.After(20 * time.Millisecond):
			assert.NilError(t, (<-post(s, host, "short", `{"workMs":1}`, 10*time.Second)).Err)
		}
	}
}

// TestRetainWaitsForTheAnswer guards against aborting a request on a connection
// that is closed because its server leaves.
func TestRetainWaitsForTheAnswer(t *testing.T) {
	started := make(chan struct{})
	host, _ := startRawServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		close(started)
		time.Sleep(200 * time.Millisecond)
		io.WriteString(conn, formatReply(r.Header.Get("Request-Id"), "body", "Leaving: true\r\n"))
		return true
	})
	s := startService(t, true)
	answer := post(s, host, "id", "x", 10*time.Second)
	<-started
	s.Retain(nil)
	r := <-answer
	assert.NilError(t, r.Err)
	assert.Assert(t, r.Leaving)
}
