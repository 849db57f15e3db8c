package backend

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/connwatch"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// connection is one duty that owns one socket to a backend server.
type connection struct {
	service *Service
	server  *server

	conn   net.Conn
	reader *bufio.Reader
	// current is the exchange under way, published to the watch.
	current atomic.Pointer[exchange]
}

// exchange is one request on one socket, from its first byte to the whole
// answer. The watch may interrupt it until it has ended.
type exchange struct {
	conn              net.Conn
	clock             services.Clock
	bytesWritten      int64
	hasReceived       bool
	lastProgressNanos atomic.Int64
	phase             atomic.Int32
}

// Phases of an exchange.
const (
	phaseActive int32 = iota
	phaseInterrupted
	phaseEnded
)

// interrupt makes reads and writes fail at once, unless the exchange ended.
func (x *exchange) interrupt() {
	if x.phase.CompareAndSwap(phaseActive, phaseInterrupted) {
		x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// tryEnd reports whether the exchange ended without being interrupted.
func (x *exchange) tryEnd() bool { return x.phase.CompareAndSwap(phaseActive, phaseEnded) }

func (x *exchange) isInterrupted() bool { return x.phase.Load() == phaseInterrupted }

// Write implements io.Writer and counts the bytes that may have left.
func (x *exchange) Write(p []byte) (int, error) {
	n, err := x.conn.Write(p)
	x.bytesWritten += int64(n)
	x.recordProgress(n)
	return n, err
}

func (x *exchange) recordProgress(n int) {
	if n > 0 {
		x.lastProgressNanos.Store(x.clock().UnixNano())
	}
}

func (c *connection) run(ctx context.Context) {
	defer c.close()
	for {
		select {
		case <-ctx.Done():
			c.refuseQueued()
			return
		case send := <-c.server.sends.C():
			send.Done(c.attempt(send))
		}
	}
}

// refuseQueued answers the attempts that no connection will take any more.
func (c *connection) refuseQueued() {
	for {
		select {
		case send := <-c.server.sends.C():
			refuse(send, fault.ReasonLeaving, "connections are closing")
		default:
			return
		}
	}
}

// attempt carries out one request. The result's error is of class
// fault.NotRun only when no byte was written or the backend server said that
// it did not run the request.
func (c *connection) attempt(send services.BackendAttempt) services.BackendResult {
	started := c.service.clock()
	result := services.BackendResult{Attempt: send, SlotsFree: -1}
	reply, load, err := c.sendAndReceive(send)
	result.Elapsed = c.service.clock().Sub(started)
	result.Reply, result.Err = reply, err
	result.SlotsFree, result.Leaving = load.slotsFree, load.leaving
	c.service.reportSlotsInUse(c.server, load)
	return result
}

// sendAndReceive readies the socket, writes the request and reads the answer.
func (c *connection) sendAndReceive(send services.BackendAttempt) (*services.Reply, load, error) {
	req := send.Request
	if err := c.checkStartable(send); err != nil {
		return nil, unknownLoad, err
	}
	if err := c.ensureConnected(req.Deadline); err != nil {
		return nil, unknownLoad, err
	}
	// Readying may have taken up to the stall bound and the dial timeout.
	if err := c.checkStartable(send); err != nil {
		return nil, unknownLoad, err
	}
	x := c.beginExchange()
	reply, load, keep, err := c.roundTrip(x, req)
	c.current.Store(nil)
	if !x.tryEnd() {
		keep = false
	}
	if !keep {
		c.abort()
	}
	return reply, load, err
}

// checkStartable refuses an attempt whose caller has gone or whose deadline has
// passed.
func (c *connection) checkStartable(send services.BackendAttempt) error {
	select {
	case <-send.CallerGone:
		return c.notRunError(fault.ReasonCancelled, stepSend, "the caller has gone")
	default:
	}
	if c.service.stopping.Load() {
		return c.notRunError(fault.ReasonDraining, stepSend, "connections are closing")
	}
	if !c.service.clock().Before(send.Request.Deadline) {
		return c.notRunError(fault.ReasonDeadline, stepSend, "the deadline passed before the send")
	}
	return nil
}

func (c *connection) notRunError(reason fault.Reason, step, format string, args ...any) error {
	return fault.New(&fault.NotRun, reason, step, c.server.host.Name, format, args...)
}

func (c *connection) beginExchange() *exchange {
	x := &exchange{conn: c.conn, clock: c.service.clock}
	x.lastProgressNanos.Store(c.service.clock().UnixNano())
	c.current.Store(x)
	if c.service.stopping.Load() {
		x.interrupt()
	}
	return x
}

// ensureConnected leaves the connection with an open socket that is believed to work.
func (c *connection) ensureConnected(deadline time.Time) error {
	if c.conn != nil && !isIdle(c.conn, c.reader) {
		c.close()
	}
	if c.conn != nil {
		c.checkAlive(min(connwatch.StallTimeout, deadline.Sub(c.service.clock())))
	}
	if c.conn != nil {
		return nil
	}
	timeout := min(dialTimeout, deadline.Sub(c.service.clock()))
	if timeout <= 0 {
		return c.notRunError(fault.ReasonDeadline, stepSend, "the deadline passed before the send")
	}
	conn, err := c.service.dial(c.server.host.Address, timeout)
	if err != nil {
		return c.notRunError(fault.ReasonConnectFailed, "connect", "%w", err)
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// checkAlive sends HEAD / on an open connection and closes it when there is no answer
// in time. No byte of a request was written on it, so nothing is lost.
func (c *connection) checkAlive(timeout time.Duration) {
	load, keep, err := sendHead(c.conn, c.reader, c.server.host.Address, timeout)
	if err != nil {
		c.service.log.Debug().Err(err).Str("peer", c.server.host.Name).Str("step", "ask open connection").Msg("connection closed")
	}
	if err != nil || !keep {
		c.close()
		return
	}
	c.service.reportSlotsInUse(c.server, load)
}

func (c *connection) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.conn, c.reader = nil, nil
}

// abort closes the socket and discards bytes that were not sent yet, so that a
// request whose attempt has failed does not arrive later.
func (c *connection) abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.close()
}
