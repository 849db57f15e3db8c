package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLinkDelay is the time by which a slow link delays each chunk of data.
const slowLinkDelay = 300 * time.Millisecond

// linkState is how a proxy treats its connections.
type linkState int

const (
	linkForwards linkState = iota
	// linkSlow delays data.
	linkSlow
	// linkCut drops all data, also on new connections.
	linkCut
	// linkCutsReplies drops the data that the server sends.
	linkCutsReplies
)

// proxy forwards loopback connections and injects link faults.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	state    linkState
	pairs    map[*connectionPair]bool
}

// connectionPair is a client's connection and the matching one to the server. Once
// it has dropped data it drops all later data, like a connection whose state a
// middlebox has lost.
type connectionPair struct {
	client, server net.Conn
	// dropsAll drops data in both directions, dropsReplies only data from the
	// server.
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

// applyState marks a connection according to the state of the link. The caller holds
// p.mu.
func (p *proxy) applyState(c *connectionPair) {
	c.dropsAll = c.dropsAll || p.state == linkCut
	c.dropsReplies = c.dropsReplies || p.state == linkCutsReplies
}

// copyData copies data until either connection is closed.
func (p *proxy) copyData(c *connectionPair, to, from net.Conn, replies bool) {
	defer p.closePair(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		discard := c.dropsAll || replies && c.dropsReplies
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

// setState changes the state of the link and returns a function that restores it.
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

// silenceConnections drops all further data of open connections; new ones work.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.dropsAll = true
	}
}

// resetConnections resets all open connections.
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

// linkFaults returns the faults of the links from hosts to the store and to
// executors.
func (s *soakRun) linkFaults() []fault {
	randomProxy := func(proxies []*proxy) *proxy { return proxies[s.random.IntN(len(proxies))] }
	faults := []fault{
		{"all connections go silent", func() func() {
			for _, p := range append(append([]*proxy(nil), s.storeProxies...), s.executorProxies...) {
				p.silenceConnections()
			}
			return func() {}
		}},
		{"connections to the store are reset", func() func() { randomProxy(s.storeProxies).resetConnections(); return func() {} }},
		{"connections to an executor are reset", func() func() { randomProxy(s.executorProxies).resetConnections(); return func() {} }},
	}
	// The order is fixed, so that a seed draws the same faults again.
	for _, link := range []struct {
		name  string
		state linkState
	}{{"slow", linkSlow}, {"cut", linkCut}, {"cut one way", linkCutsReplies}} {
		faults = append(faults,
			fault{"a host's link to the store is " + link.name, func() func() { return randomProxy(s.storeProxies).setState(link.state) }},
			fault{"an executor's link is " + link.name, func() func() { return randomProxy(s.executorProxies).setState(link.state) }},
		)
	}
	return faults
}
