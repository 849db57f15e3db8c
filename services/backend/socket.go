package backend

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/connwatch"
)

const (
	dialTimeout = time.Second
	// Connections to a host that acknowledges nothing are closed after about
	// 3 s: by keep-alive if no data is in flight, else by tcpUserTimeout. A
	// long request is not affected, because its host acknowledges.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	tcpUserTimeout    = 3 * time.Second
	// sockoptTCPUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall
	// does not define.
	sockoptTCPUserTimeout = 18
)

func (s *Service) dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	if s.settings.SourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.settings.SourceIP)}
	}
	return dialer.Dial("tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// isIdle reports whether an unused connection is open and has nothing to read.
// Data that arrives on it belongs to no request.
func isIdle(conn net.Conn, reader *bufio.Reader) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// sendHead sends HEAD / and reads the reply, which may have any status. reusable
// reports whether the connection stays open.
func sendHead(conn net.Conn, reader *bufio.Reader, address string, timeout time.Duration) (_ load, reusable bool, _ error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return unknownLoad, false, err
	}
	r, err := http.NewRequest(http.MethodHead, "http://"+address+"/", nil)
	if err != nil {
		return unknownLoad, false, err
	}
	if err := r.Write(conn); err != nil {
		return unknownLoad, false, err
	}
	reader.Reset(conn)
	resp, _, err := readReply(reader, http.MethodHead)
	if err != nil {
		return unknownLoad, false, err
	}
	return parseLoad(resp.Header), !resp.Close, nil
}

// probe opens a connection and requests the load of the server.
func (s *Service) probe(srv *server) {
	conn, err := s.dial(srv.host.Address, dialTimeout)
	if err != nil {
		s.log.Debug().Err(err).Str("peer", srv.host.Name).Str("step", "probe").Msg("probe failed")
		return
	}
	defer conn.Close()
	load, _, err := sendHead(conn, bufio.NewReader(conn), srv.host.Address, connwatch.StallTimeout)
	if err != nil {
		s.log.Debug().Err(err).Str("peer", srv.host.Name).Str("step", "probe").Msg("probe failed")
		return
	}
	s.reportSlotsInUse(srv, load)
}

// reportSlotsInUse reports the slots in use to the duty backend.servers. More
// free slots than the host list has for the server say nothing of those in use.
func (s *Service) reportSlotsInUse(srv *server, l load) {
	slotsInUse := srv.host.Slots - l.slotsFree
	if l.slotsFree >= 0 && slotsInUse >= 0 {
		s.messages.Offer(reportMessage{srv, slotsInUse})
	}
}
