//go:build review

package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// linkChunkBytes is how much of one connection passes a link at a time.
	linkChunkBytes = 8 << 10
	bitsPerByte    = 8
)

// link is a proxy with the bandwidth of one machine's link. What the store sends
// to the machine over all connections passes it one chunk after another.
type link struct {
	target      string
	bytesPerSec float64
	listener    net.Listener

	mu     sync.Mutex
	freeAt time.Time
}

func newLink(target string, mbps float64) (*link, error) {
	listener, err := net.Listen("tcp", loopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, bytesPerSec: mbps * 1e6 / bitsPerByte, listener: listener}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

func (l *link) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		// An end of either side ends both.
		_, _ = io.Copy(far, near)
		_ = far.Close()
		_ = near.Close()
	}()
	chunk := make([]byte, linkChunkBytes)
	for {
		n, err := far.Read(chunk)
		if n > 0 {
			l.pass(n)
			if _, err := near.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until n bytes have passed the link.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}
