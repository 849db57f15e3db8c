package backend

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
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

// maxReplyBytes bounds the answer kept in memory for one request.
const maxReplyBytes = 16 << 20

// load is what a reply tells of its backend server. slotsFree is negative when
// the reply does not tell.
type load struct {
	slotsFree int
	leaving   bool
}

var unknownLoad = load{slotsFree: -1}

func parseLoad(h http.Header) load {
	l := unknownLoad
	if free, err := strconv.Atoi(h.Get(headerSlotsFree)); err == nil && free >= 0 {
		l.slotsFree = free
	}
	l.leaving = h.Get(headerLeaving) == "true"
	return l
}

// progressReader records progress for each read.
type progressReader struct {
	source io.Reader
	x      *exchange
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.x.hasReceived = r.x.hasReceived || n > 0
	r.x.recordProgress(n)
	return n, err
}

// roundTrip writes req and reads its answer. keep reports whether the socket
// may carry another request.
func (c *connection) roundTrip(x *exchange, req *services.Request) (_ *services.Reply, _ load, keep bool, _ error) {
	remaining := req.Deadline.Sub(c.service.clock())
	if err := x.conn.SetDeadline(time.Now().Add(remaining)); err != nil {
		return nil, unknownLoad, false, c.exchangeError(x, "set deadline", fault.ReasonConnectionLost, err)
	}
	if err := writeRequest(x, c.server.host.Address, req, remaining); err != nil {
		return nil, unknownLoad, false, c.exchangeError(x, "write request", fault.ReasonConnectionLost, err)
	}
	c.reader.Reset(progressReader{x.conn, x})
	resp, body, err := readReply(c.reader, http.MethodPost)
	if err != nil {
		return nil, unknownLoad, false, c.exchangeError(x, "read reply", fault.ReasonConnectionLost, err)
	}
	if err := c.checkReply(req, resp, body); err != nil {
		return nil, unknownLoad, false, err
	}
	keep = !resp.Close
	load := parseLoad(resp.Header)
	if reason := resp.Header.Get(headerNotRun); reason != "" {
		return nil, load, keep, refusalError(reason, c.server.host.Name)
	}
	reply := &services.Reply{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Server:      c.server.host.Name,
	}
	return reply, load, keep, nil
}

func writeRequest(x *exchange, address string, req *services.Request, remaining time.Duration) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/run", bytes.NewReader(req.Body))
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
	w := bufio.NewWriter(x)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readReply reads the final answer to a request of the given method, skipping
// informational ones.
func readReply(reader *bufio.Reader, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
		resp.Body.Close()
		return resp, body, err
	}
}

// checkReply requires that a reply is whole and answers req.
func (c *connection) checkReply(req *services.Request, resp *http.Response, body []byte) error {
	const step = "read reply"
	peer := c.server.host.Name
	if got := resp.Header.Get(headerRequestID); got != req.ID {
		return fault.New(&fault.Unknown, fault.ReasonWrongReply, step, peer, "the reply is for request %q", got)
	}
	if len(body) > maxReplyBytes {
		return fault.New(&fault.Unknown, fault.ReasonBodyTooLarge, step, peer, "the reply is over %d bytes", maxReplyBytes)
	}
	if resp.Header.Get(headerNotRun) != "" {
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil
		}
		return fault.New(&fault.Unknown, fault.ReasonWrongReply, step, peer, "a refusal has status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 {
		return fault.New(&fault.Unknown, fault.ReasonTruncatedReply, step, peer, "the reply has no length")
	}
	if got := resp.Header.Get(headerDigest); got != contentDigest(body) {
		return fault.New(&fault.Unknown, fault.ReasonTruncatedReply, step, peer, "the reply's digest is %q", got)
	}
	return nil
}

// contentDigest returns the Content-Digest field value of RFC 9530.
func contentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func refusalError(reason, peer string) error {
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

// exchangeError returns the fault of an exchange that ended without an answer.
func (c *connection) exchangeError(x *exchange, step string, reason fault.Reason, err error) error {
	switch {
	case x.isInterrupted():
		reason = fault.ReasonConnectionStalled
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = fault.ReasonDeadline
	case errors.Is(err, io.ErrUnexpectedEOF) && x.hasReceived:
		reason = fault.ReasonTruncatedReply
	}
	kind := &fault.Unknown
	if x.bytesWritten == 0 {
		kind = &fault.NotRun
	}
	return fault.New(kind, reason, step, c.server.host.Name, "%w", err)
}
