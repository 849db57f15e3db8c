package fleetplatform

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// relayRetryInterval is the time between a relay's attempts to reach an executor.
const relayRetryInterval = 20 * time.Millisecond

// Relay forwards the orders to an executor. It keeps the connections of its clients when
// the executor ends, so that one connection can reach several incarnations.
type Relay struct {
	fleet  *Fleet
	id     string
	server *httptest.Server
	mu     sync.Mutex
	cut    bool
}

// AddRelay starts a relay in front of an executor, and has the registry show the address
// of the relay.
func (f *Fleet) AddRelay(id string) *Relay {
	r := &Relay{fleet: f, id: id}
	r.server = httptest.NewServer(r)
	f.mu.Lock()
	f.relays = append(f.relays, r)
	f.mu.Unlock()
	f.SetRegistryAddress(id, r.Address())
	return r
}

// Address returns the address of the relay.
func (r *Relay) Address() string { return address(r.server) }

// SetCut sets whether the relay reaches no incarnation.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// ServeHTTP forwards an order to the incarnation that is there. Without one the order
// waits for the next, or until its caller gives up.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	ticker := time.NewTicker(relayRetryInterval)
	defer ticker.Stop()
	for {
		if s := r.target(); s != nil {
			s.ServeHTTP(w, req)
			return
		}
		select {
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-ticker.C:
		}
	}
}

// target returns the incarnation to which orders are forwarded; nil if there is none or
// the relay is cut.
func (r *Relay) target() *servedExecutor {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return nil
	}
	return r.fleet.served(r.id)
}

func (r *Relay) close() {
	r.server.CloseClientConnections()
	r.server.Close()
}
