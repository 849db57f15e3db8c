// Package backendserver is the stand-in of backend servers: HTTP servers with a
// fixed number of slots and connections.
package backendserver

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/faults"
)

// Work is the body that a caller may send to say how long the request runs.
// Bodies of another form run for the server's default time.
type Work struct {
	WorkMs int    `json:"workMs"`
	Echo   string `json:"echo"`
}

// Recorder receives what a server ran.
type Recorder interface {
	RecordStart(e standin.Execution) int
	RecordEnd(index int)
}

// Server is one stand-in backend server.
type Server struct {
	host        fleet.Host
	defaultWork time.Duration
	recorder    Recorder
	injector    *faults.Injector
	httpServer  *http.Server

	mu                sync.Mutex
	running           int
	leaving           bool
	previousRequestID string
}

// Open starts a server on host.Address, whose port may be 0, and returns it
// with the real address.
func Open(host fleet.Host, defaultWork time.Duration, recorder Recorder, zones map[string]netip.Prefix) (*Server, error) {
	s := &Server{host: host, defaultWork: defaultWork, recorder: recorder, injector: faults.New(zones)}
	listener, err := net.Listen("tcp", host.Address)
	if err != nil {
		return nil, err
	}
	s.host.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", s.serveRun)
	mux.HandleFunc("GET /{$}", s.serveHealth)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	s.httpServer = &http.Server{Handler: s.injector.Wrap(mux), ConnContext: faults.ConnContext}
	go s.serve(listener)
	return s, nil
}

func (s *Server) serve(l net.Listener) {
	if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// Host returns the server's entry for the host list.
func (s *Server) Host() fleet.Host { return s.host }

// Injector returns the server's faults.
func (s *Server) Injector() *faults.Injector { return s.injector }

// SetLeaving marks the server as leaving: it refuses new requests and says so.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Running returns the number of slots in use.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Close ends the server at once.
func (s *Server) Close() error { return s.httpServer.Close() }

// serveHealth answers probes with the server's load. The mux passes HEAD to it too.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.writeLoad(w.Header())
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Request-Id", id)
	if reason := s.acquireSlot(r); reason != "" {
		s.writeLoad(h)
		h.Set("Not-Run", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index := s.recorder.RecordStart(standin.Execution{
		RequestID: id,
		Team:      r.Header.Get("Team"),
		Queue:     r.Header.Get("Queue"),
		Server:    s.host.Name,
		Start:     time.Now(),
	})
	reply := s.execute(id, body)
	s.recorder.RecordEnd(index)
	s.releaseSlot()
	s.writeReply(w, id, reply)
}

// acquireSlot claims a slot, or returns why the request is refused.
func (s *Server) acquireSlot(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.injector.Current().Leaving {
		return "leaving"
	}
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline-Ms")); err == nil && ms <= 0 {
		return "deadline"
	}
	if s.running >= s.host.Slots {
		return "slots"
	}
	s.running++
	return ""
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) execute(id string, body []byte) []byte {
	work := Work{WorkMs: int(s.defaultWork.Milliseconds())}
	if json.Unmarshal(body, &work) != nil {
		work.Echo = string(body)
	}
	time.Sleep(time.Duration(work.WorkMs) * time.Millisecond)
	reply, err := json.Marshal(struct {
		RequestID string `json:"requestID"`
		Server    string `json:"server"`
		Echo      string `json:"echo"`
	}{id, s.host.Name, work.Echo})
	if err != nil {
		return nil
	}
	return reply
}

func (s *Server) writeLoad(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("Slots-Free", strconv.Itoa(s.host.Slots-s.running))
	if s.leaving || s.injector.Current().Leaving {
		h.Set("Leaving", "true")
	}
}

func (s *Server) writeReply(w http.ResponseWriter, id string, reply []byte) {
	set := s.injector.Current()
	h := w.Header()
	s.writeLoad(h)
	if set.CrossReplies {
		s.mu.Lock()
		h.Set("Request-Id", s.previousRequestID)
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.previousRequestID = id
	s.mu.Unlock()
	sum := sha256.Sum256(reply)
	h.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	h.Set("Content-Length", strconv.Itoa(len(reply)))
	h.Set("Content-Type", "application/json")
	if set.FailAll {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if set.Truncate {
		w.Write(reply[:len(reply)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(reply)
}
