package backend

import (
	"context"
	"sync/atomic"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/connwatch"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// checkPeriod is how often busy connections are looked at.
const checkPeriod = 100 * time.Millisecond

// server is the set of connections to one backend server. The duty
// backend.servers owns it; atomic fields are published to its connections.
type server struct {
	host        fleet.Host
	sends       *ring.Ring[services.BackendAttempt]
	connections []*connection
	cancel      context.CancelFunc
	monitor     connwatch.Monitor
	// runningDuties counts the connection duties that have not ended.
	runningDuties atomic.Int64
	// probing is set while a probe is under way.
	probing atomic.Bool
}

// serverSet is the state of the duty backend.servers.
type serverSet struct {
	byName map[string]*server
	// closing are servers that were not retained and still have connections
	// that wait for an answer.
	closing []*server
}

func (s *Service) runServers(ctx context.Context) {
	set := &serverSet{byName: make(map[string]*server)}
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop(set)
			return
		case m := <-s.messages.C():
			s.handle(ctx, set, m)
		case <-ticker.C:
			s.checkConnections(set)
		}
	}
}

// stop closes all connections, also those that a drain left waiting for an
// answer, and refuses the attempts that were not handed on.
func (s *Service) stop(set *serverSet) {
	s.stopping.Store(true)
	for _, srv := range set.byName {
		set.remove(srv)
	}
	for _, srv := range set.closing {
		for _, c := range srv.connections {
			if x := c.current.Load(); x != nil {
				x.interrupt()
			}
		}
	}
	s.running.Wait()
	for {
		select {
		case m := <-s.messages.C():
			if m, ok := m.(sendMessage); ok {
				refuse(m.send, fault.ReasonDraining, "connections are closing")
			}
		default:
			return
		}
	}
}

func (s *Service) handle(ctx context.Context, set *serverSet, m message) {
	switch m := m.(type) {
	case sendMessage:
		s.enqueue(ctx, set, m.send)
	case retainMessage:
		set.retain(m.servers)
	case reportMessage:
		m.server.monitor.Report(m.slotsInUse, s.clock())
	}
}

func (s *Service) enqueue(ctx context.Context, set *serverSet, send services.BackendAttempt) {
	srv, ok := set.byName[send.Server.Name]
	if ok && srv.host.Address != send.Server.Address {
		set.remove(srv)
		ok = false
	}
	if !ok {
		srv = s.openServer(ctx, send.Server)
		set.byName[send.Server.Name] = srv
	}
	if !srv.sends.Offer(send) {
		refuse(send, fault.ReasonRingFull, "the connections' ring is full")
	}
}

func refuse(send services.BackendAttempt, reason fault.Reason, detail string) {
	err := fault.New(&fault.NotRun, reason, stepSend, send.Server.Name, "%s", detail)
	send.Done(services.BackendResult{Attempt: send, Err: err, SlotsFree: -1})
}

// openServer starts the connection duties of one backend server.
func (s *Service) openServer(ctx context.Context, host fleet.Host) *server {
	ctx, cancel := context.WithCancel(ctx)
	srv := &server{
		host:   host,
		sends:  ring.New[services.BackendAttempt]("backend."+host.Name, sendCapacity, s.scope),
		cancel: cancel,
	}
	for range s.ConnectionsPerServer() {
		c := &connection{service: s, server: srv}
		srv.connections = append(srv.connections, c)
		srv.runningDuties.Add(1)
		s.running.Go(func() {
			defer srv.runningDuties.Add(-1)
			c.run(ctx)
		})
	}
	return srv
}

func (set *serverSet) retain(servers map[string]fleet.Host) {
	for name, srv := range set.byName {
		if host, ok := servers[name]; !ok || host.Address != srv.host.Address {
			set.remove(srv)
		}
	}
}

// remove ends the connection duties of a server. Nothing is offered to its ring
// afterwards, so that the last duty to end leaves no attempt behind.
func (set *serverSet) remove(srv *server) {
	srv.cancel()
	delete(set.byName, srv.host.Name)
	set.closing = append(set.closing, srv)
}

// checkConnections interrupts silent connections and starts probes.
func (s *Service) checkConnections(set *serverSet) {
	now := s.clock()
	for _, srv := range set.byName {
		s.checkServer(srv, now)
	}
	kept := set.closing[:0]
	for _, srv := range set.closing {
		if srv.runningDuties.Load() > 0 {
			s.checkServer(srv, now)
			kept = append(kept, srv)
		}
	}
	set.closing = kept
}

func (s *Service) checkServer(srv *server, now time.Time) {
	states := make([]connwatch.Connection, 0, len(srv.connections))
	for _, c := range srv.connections {
		x := c.current.Load()
		if x == nil {
			continue
		}
		state := connwatch.Connection{Busy: true, LastProgress: time.Unix(0, x.lastProgressNanos.Load())}
		states = append(states, state)
		if srv.monitor.IsSilent(state, now) {
			x.interrupt()
		}
	}
	if srv.monitor.StartProbeIfDue(states, now) && srv.probing.CompareAndSwap(false, true) {
		s.running.Go(func() {
			defer srv.probing.Store(false)
			s.probe(srv)
		})
	}
}
