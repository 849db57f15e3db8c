package worker

import (
	"context"
	"net"
	"net/http"

	"github.com/zeebo/errs"

	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
)

// Error is the class of errors of the stand-in workers.
var Error = errs.Class("stand-in worker")

// Fleet serves many workers in one process, each on its own port of a loopback
// address. It is a kernel service; addresses are known after Start.
type Fleet struct {
	servers []*workerServer
}

// workerServer is one worker with its server. Start hands the listener to the duty
// that serves it.
type workerServer struct {
	worker    *Worker
	server    *http.Server
	listeners *ring.Ring[net.Listener]
	address   string
}

// NewFleet returns a service for the workers.
func NewFleet(workers ...*Worker) *Fleet {
	f := &Fleet{}
	for _, w := range workers {
		f.servers = append(f.servers, &workerServer{worker: w, server: &http.Server{Handler: w}})
	}
	return f
}

// Provision registers one serving duty for each worker.
func (f *Fleet) Provision(c *kernel.Context) error {
	for _, m := range f.servers {
		m.listeners = ring.New[net.Listener]("worker."+m.worker.Name(), 1, c.Scope)
		c.AddDuty("worker."+m.worker.Name(), m.serve)
	}
	return nil
}

func (m *workerServer) serve(ctx context.Context) {
	l, err := m.listeners.Take(ctx)
	if err != nil {
		return
	}
	// Serve returns when Stop closes the server.
	_ = m.server.Serve(l)
}

// Start opens one listener for each worker.
func (f *Fleet) Start(context.Context) error {
	for _, m := range f.servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Error.New("listen for %s: %v", m.worker.Name(), err)
		}
		m.address = "http://" + l.Addr().String()
		m.listeners.Offer(l)
	}
	return nil
}

// Addresses returns the URL of each worker by name, once started.
func (f *Fleet) Addresses() map[string]string {
	out := make(map[string]string, len(f.servers))
	for _, m := range f.servers {
		out[m.worker.Name()] = m.address
	}
	return out
}

// Stop closes all listeners and connections.
func (f *Fleet) Stop(context.Context) error {
	for _, m := range f.servers {
		_ = m.server.Close()
	}
	return nil
}
