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
	// A peer host that acknowledges nothing is given up after about 3 s:
	// keep-alive when nothing is under way, tcpUserTimeout when data is. A
	// request that runs for long passes both, because its host answers.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	tcpUserTimeout    = 3 * time.Second
	// sockoptTCPUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall
	// does not name.
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

// isIdle reports whether an idle connection is open and has nothing to read.
// Data on an idle connection belongs to no request.
func isIdle(conn net.Conn, reader *bufio.Reader) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// sendHead sends HEAD / and reads the answer; any status is one. keep reports
// whether the connection stays open.
func sendHead(conn net.Conn, reader *bufio.Reader, address string, timeout time.Duration) (_ load, keep bool, _ error) {
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

// probe opens a connection and asks the server for its load.
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

// reportSlotsInUse hands the slots in use on to the watch. A report of more free slots
// than the host list knows says nothing of the slots in use.
func (s *Service) reportSlotsInUse(srv *server, l load) {
	used := srv.host.Slots - l.slotsFree
	if l.slotsFree >= 0 && used >= 0 {
		s.messages.Offer(reportMessage{srv, used})
	}
}
