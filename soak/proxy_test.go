package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// delayed is by how much a slow link holds up each piece of data.
const delayed = 300 * time.Millisecond

// linkState is how a proxy treats its connections.
type linkState int

const (
	forward linkState = iota
	// slow holds data up.
	slow
	// cut drops all data, of new connections too.
	cut
	// cutAnswers drops what the server sends.
	cutAnswers
)

// proxy forwards connections on loopback and disturbs them.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	state    linkState
	pairs    map[*pair]bool
}

// pair is a connection of a client with the one to the server. Once data was
// dropped it stays silent for good, as a connection that a middlebox forgot.
type pair struct {
	client, server net.Conn
	// silent and silentAnswers tell that data is dropped in both directions, or
	// in the server's.
	silent, silentAnswers bool
}

func startProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{target: target, listener: l, pairs: make(map[*pair]bool)}
	go p.accept()
	t.Cleanup(func() {
		l.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		c := &pair{client: client, server: server}
		p.mu.Lock()
		p.pairs[c] = true
		p.apply(c)
		p.mu.Unlock()
		go p.pump(c, server, client, false)
		go p.pump(c, client, server, true)
	}
}

// apply marks a connection by the state of the link. The caller holds the lock.
func (p *proxy) apply(c *pair) {
	c.silent = c.silent || p.state == cut
	c.silentAnswers = c.silentAnswers || p.state == cutAnswers
}

// pump copies data until one end closes.
func (p *proxy) pump(c *pair, to, from net.Conn, answers bool) {
	defer p.drop(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		discard := c.silent || answers && c.silentAnswers
		wait := p.state == slow
		p.mu.Unlock()
		if discard {
			continue
		}
		if wait {
			time.Sleep(delayed)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) drop(c *pair) {
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	c.client.Close()
	c.server.Close()
}

// set changes the state of the link and returns how to restore it.
func (p *proxy) set(s linkState) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	for c := range p.pairs {
		p.apply(c)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state = forward
	}
}

// silence makes all open connections silent for good; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			conn.Close()
		}
	}
}

// linkFaults disturb the links of hosts to the store and of executors to all
// hosts.
func (s *soak) linkFaults() []fault {
	draw := func(of []*proxy) *proxy { return of[s.random.IntN(len(of))] }
	faults := []fault{
		{"all connections go silent", func() func() {
			for _, p := range append(append([]*proxy(nil), s.storeLinks...), s.executorLinks...) {
				p.silence()
			}
			return func() {}
		}},
		{"connections to the store are reset", func() func() { draw(s.storeLinks).reset(); return func() {} }},
		{"connections to an executor are reset", func() func() { draw(s.executorLinks).reset(); return func() {} }},
	}
	for name, state := range map[string]linkState{"slow": slow, "cut": cut, "cut one way": cutAnswers} {
		faults = append(faults,
			fault{"a host's link to the store is " + name, func() func() { return draw(s.storeLinks).set(state) }},
			fault{"an executor's link is " + name, func() func() { return draw(s.executorLinks).set(state) }},
		)
	}
	return faults
}
