package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLinkDelay is by how much a slow link holds up each piece of data.
const slowLinkDelay = 300 * time.Millisecond

// linkState is how a proxy treats its connections.
type linkState int

const (
	linkForwards linkState = iota
	// linkSlow holds data up.
	linkSlow
	// linkCut drops all data, of new connections too.
	linkCut
	// linkCutsReplies drops what the server sends.
	linkCutsReplies
)

// proxy forwards connections on loopback and disturbs them.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	state    linkState
	pairs    map[*connectionPair]bool
}

// connectionPair is a connection of a client with the one to the server. Once data was
// dropped it stays silent for good, as a connection that a middlebox forgot.
type connectionPair struct {
	client, server net.Conn
	// dropsAll and dropsReplies tell that data is dropped in both directions, or
	// in the server's.
	dropsAll, dropsReplies bool
}

func startProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{target: target, listener: l, pairs: make(map[*connectionPair]bool)}
	go p.accept()
	t.Cleanup(func() {
		l.Close()
		p.resetConnections()
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
		c := &connectionPair{client: client, server: server}
		p.mu.Lock()
		p.pairs[c] = true
		p.applyState(c)
		p.mu.Unlock()
		go p.copyData(c, server, client, false)
		go p.copyData(c, client, server, true)
	}
}

// applyState marks a connection by the state of the link. The caller holds the lock.
func (p *proxy) applyState(c *connectionPair) {
	c.dropsAll = c.dropsAll || p.state == linkCut
	c.dropsReplies = c.dropsReplies || p.state == linkCutsReplies
}

// copyData copies data until one end closes.
func (p *proxy) copyData(c *connectionPair, to, from net.Conn, answers bool) {
	defer p.closePair(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		discard := c.dropsAll || answers && c.dropsReplies
		wait := p.state == linkSlow
		p.mu.Unlock()
		if discard {
			continue
		}
		if wait {
			time.Sleep(slowLinkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closePair(c *connectionPair) {
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	c.client.Close()
	c.server.Close()
}

// setState changes the state of the link and returns how to restore it.
func (p *proxy) setState(s linkState) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	for c := range p.pairs {
		p.applyState(c)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state = linkForwards
	}
}

// silenceConnections makes all open connections silent for good; new ones work.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.dropsAll = true
	}
}

// resetConnections breaks all open connections.
func (p *proxy) resetConnections() {
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
func (s *soakRun) linkFaults() []fault {
	draw := func(of []*proxy) *proxy { return of[s.random.IntN(len(of))] }
	faults := []fault{
		{"all connections go silent", func() func() {
			for _, p := range append(append([]*proxy(nil), s.storeProxies...), s.executorProxies...) {
				p.silenceConnections()
			}
			return func() {}
		}},
		{"connections to the store are reset", func() func() { draw(s.storeProxies).resetConnections(); return func() {} }},
		{"connections to an executor are reset", func() func() { draw(s.executorProxies).resetConnections(); return func() {} }},
	}
	for name, state := range map[string]linkState{"slow": linkSlow, "cut": linkCut, "cut one way": linkCutsReplies} {
		faults = append(faults,
			fault{"a host's link to the store is " + name, func() func() { return draw(s.storeProxies).setState(state) }},
			fault{"an executor's link is " + name, func() func() { return draw(s.executorProxies).setState(state) }},
		)
	}
	return faults
}
