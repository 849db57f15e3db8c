package backend

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Headers of the backend server protocol (docs/design.md, section 4.6).
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Request-Deadline-Ms"
	headerDigest    = "Content-Digest"
	headerSlotsFree = "Slots-Free"
	headerLeaving   = "Leaving"
	headerNotRun    = "Not-Run"
	headerTeam      = "Team"
	headerQueue     = "Queue"
)

const (
	dialTimeout = time.Second
	// maxReplyBytes bounds the answer kept in memory for one request.
	maxReplyBytes = 16 << 20
)

// connection is one duty that owns one socket to a backend server.
type connection struct {
	host     fleet.Host
	sourceIP string
	clock    services.Clock
	log      zerolog.Logger

	conn   net.Conn
	reader *bufio.Reader
	// written counts the bytes of the current request that were handed to
	// the socket.
	written int64
}

func (c *connection) run(ctx context.Context, sends *ring.Ring[services.BackendSend]) {
	defer c.close()
	for {
		select {
		case <-ctx.Done():
			c.refuseWaiting(sends)
			return
		case send := <-sends.C():
			send.Done(c.attempt(send))
		}
	}
}

// refuseWaiting answers the attempts that no connection will take any more.
func (c *connection) refuseWaiting(sends *ring.Ring[services.BackendSend]) {
	for {
		select {
		case send := <-sends.C():
			err := fault.New(&fault.NotRun, fault.ReasonLeaving, "send to backend server", c.host.Name, "connections are closing")
			send.Done(services.BackendResult{Send: send, Err: err, SlotsFree: -1})
		default:
			return
		}
	}
}

// attempt carries out one request. The result's error is of class
// fault.NotRun only when no byte was written or the backend server said that
// it did not run the request.
func (c *connection) attempt(send services.BackendSend) services.BackendResult {
	started := c.clock()
	result := services.BackendResult{Send: send, SlotsFree: -1}
	resp, body, err := c.exchange(send.Request, started)
	result.Elapsed = c.clock().Sub(started)
	if err != nil {
		c.close()
		result.Err = err
		return result
	}
	readLoad(resp.Header, &result)
	if reason := resp.Header.Get(headerNotRun); reason != "" {
		result.Err = notRun(reason, c.host.Name)
		return result
	}
	result.Reply = &services.Reply{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Server:      c.host.Name,
	}
	return result
}

func readLoad(h http.Header, result *services.BackendResult) {
	if free, err := strconv.Atoi(h.Get(headerSlotsFree)); err == nil {
		result.SlotsFree = free
	}
	result.Leaving = h.Get(headerLeaving) == "true"
}

func notRun(reason, peer string) error {
	const step = "run on backend server"
	switch reason {
	case "slots":
		return fault.New(&fault.NotRun, fault.ReasonNoSlots, step, peer, "all slots are taken")
	case "leaving":
		return fault.New(&fault.NotRun, fault.ReasonLeaving, step, peer, "the server is leaving")
	case "deadline":
		return fault.New(&fault.NotRun, fault.ReasonDeadline, step, peer, "the deadline had passed on arrival")
	}
	return fault.New(&fault.NotRun, fault.ReasonInternal, step, peer, "refused with reason %q", reason)
}

func (c *connection) exchange(req *services.Request, now time.Time) (*http.Response, []byte, error) {
	remaining := req.Deadline.Sub(now)
	if remaining <= 0 {
		return nil, nil, fault.New(&fault.NotRun, fault.ReasonDeadline, "send to backend server", c.host.Name, "the deadline passed before the send")
	}
	if err := c.ensureOpen(min(dialTimeout, remaining)); err != nil {
		return nil, nil, fault.New(&fault.NotRun, fault.ReasonConnect, "connect", c.host.Name, "%w", err)
	}
	c.written = 0
	if err := c.conn.SetDeadline(time.Now().Add(remaining)); err != nil {
		return nil, nil, c.failed("set deadline", fault.ReasonConnectionLost, err)
	}
	if err := c.write(req, remaining); err != nil {
		return nil, nil, c.failed("write request", fault.ReasonConnectionLost, err)
	}
	return c.read(req)
}

func (c *connection) ensureOpen(timeout time.Duration) error {
	if c.conn != nil {
		return nil
	}
	dialer := &net.Dialer{Timeout: timeout}
	if c.sourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.sourceIP)}
	}
	conn, err := dialer.Dial("tcp", c.host.Address)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return nil
}

// Write implements io.Writer and counts the bytes that may have left.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *connection) write(req *services.Request, remaining time.Duration) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.host.Address+"/run", bytes.NewReader(req.Body))
	if err != nil {
		return err
	}
	r.Header.Set(headerRequestID, req.ID)
	r.Header.Set(headerTeam, req.Team)
	r.Header.Set(headerQueue, req.Queue.Name)
	r.Header.Set(headerDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if req.ContentType != "" {
		r.Header.Set("Content-Type", req.ContentType)
	}
	w := bufio.NewWriter(c)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (c *connection) read(req *services.Request) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, nil, c.failed("read reply", reasonOfRead(err), err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	resp.Body.Close()
	if err != nil {
		return nil, nil, c.failed("read reply", fault.ReasonTruncated, err)
	}
	if err := c.check(req, resp, body); err != nil {
		return nil, nil, err
	}
	if resp.Close {
		c.close()
	}
	return resp, body, nil
}

func reasonOfRead(err error) fault.Reason {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return fault.ReasonDeadline
	}
	return fault.ReasonConnectionLost
}

// check requires that a reply is whole and answers req.
func (c *connection) check(req *services.Request, resp *http.Response, body []byte) error {
	if got := resp.Header.Get(headerRequestID); got != req.ID {
		return fault.New(&fault.Unknown, fault.ReasonWrongReply, "read reply", c.host.Name, "the reply is for request %q", got)
	}
	if len(body) > maxReplyBytes {
		return fault.New(&fault.Unknown, fault.ReasonBodyTooLarge, "read reply", c.host.Name, "the reply is over %d bytes", maxReplyBytes)
	}
	if resp.Header.Get(headerNotRun) != "" {
		return nil
	}
	if resp.ContentLength < 0 {
		return fault.New(&fault.Unknown, fault.ReasonTruncated, "read reply", c.host.Name, "the reply has no length")
	}
	if got := resp.Header.Get(headerDigest); got != contentDigest(body) {
		return fault.New(&fault.Unknown, fault.ReasonTruncated, "read reply", c.host.Name, "the reply's digest is %q", got)
	}
	return nil
}

// contentDigest returns the Content-Digest field value of RFC 9530.
func contentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func (c *connection) failed(step string, reason fault.Reason, err error) error {
	kind := &fault.Unknown
	if c.written == 0 {
		kind = &fault.NotRun
	}
	return fault.New(kind, reason, step, c.host.Name, "%w", err)
}

func (c *connection) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.conn = nil
	c.reader = nil
}
