package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay stands between the entry hosts and one of them, so that a test can cut
// the connections from some zones.
type relay struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	cutNetworks   map[string]bool
	networkByConn map[net.Conn]string
}

// startRelay listens on ip and forwards to target.
func startRelay(t *testing.T, ip, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target, cutNetworks: map[string]bool{}, networkByConn: map[net.Conn]string{}}
	go r.accept()
	t.Cleanup(func() { l.Close() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// network returns the /24 of an address, which names its zone.
func network(addr net.Addr) string {
	host, _, _ := net.SplitHostPort(addr.String())
	return host[:strings.LastIndex(host, ".")]
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	from := network(in.RemoteAddr())
	r.mu.Lock()
	refused := r.cutNetworks[from]
	r.networkByConn[in] = from
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.networkByConn, in)
		r.mu.Unlock()
	}()
	if refused {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		io.Copy(out, in)
		out.Close()
	}()
	io.Copy(in, out)
}

// setCut cuts or restores the connections from one network.
func (r *relay) setCut(from string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutNetworks[from] = cut
	for conn, network := range r.networkByConn {
		if cut && network == from {
			conn.Close()
		}
	}
}
