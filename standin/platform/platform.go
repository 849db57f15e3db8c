// Package platform is the stand-in of the platform: table service, object
// store and host list, with faults that can be switched on.
package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/httpserver"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/faults"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

const opRingCapacity = 1024

// Names of the faults' targets.
const (
	TargetTable   = "table"
	TargetObjects = "objects"
	TargetHosts   = "hosts"
)

// Settings of the stand-in platform.
type Settings struct {
	// Address to listen on; port 0 lets the kernel choose.
	Address string
	// Zones tells which source addresses belong to which zone.
	Zones map[string]netip.Prefix
	// HostListLag is the age of the host list that callers see.
	HostListLag time.Duration
}

// Service is the stand-in platform.
type Service struct {
	settings Settings
	log      zerolog.Logger
	fleet    standin.Fleet
	ops      *ring.Ring[func(*contents)]
	faults   map[string]*faults.Injector
	server   *httpserver.Server
}

// contents is owned by the duty standin.table.
type contents struct {
	table   *table
	objects map[string][]byte
}

// New returns the stand-in platform.
func New(s Settings) *Service { return &Service{settings: s} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	var err error
	if s.fleet, err = kernel.Lookup[standin.Fleet](c, standin.NameFleet); err != nil {
		return err
	}
	s.ops = ring.New[func(*contents)]("standin.table", opRingCapacity, c.Scope)
	s.faults = map[string]*faults.Injector{}
	for _, target := range []string{TargetTable, TargetObjects, TargetHosts} {
		s.faults[target] = faults.New(s.settings.Zones)
	}
	mux := http.NewServeMux()
	mount := func(target, path string, h http.Handler) { mux.Handle(path, s.faults[target].Wrap(h)) }
	path, h := fuchsiafrontv1connect.NewTableServiceHandler(tableHandler{s})
	mount(TargetTable, path, h)
	path, h = fuchsiafrontv1connect.NewObjectServiceHandler(objectHandler{s})
	mount(TargetObjects, path, h)
	path, h = fuchsiafrontv1connect.NewHostServiceHandler(hostHandler{s})
	mount(TargetHosts, path, h)
	path, h = fuchsiafrontv1connect.NewStandinServiceHandler(controlHandler{s})
	mux.Handle(path, h)
	s.server = httpserver.New("platform", &http.Server{Handler: mux, ConnContext: faults.ConnContext}, c.Log)
	c.AddDuty("standin.table", s.runTable)
	return nil
}

func (s *Service) runTable(ctx context.Context) {
	state := &contents{table: newTable(), objects: make(map[string][]byte)}
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-s.ops.C():
			op(state)
		}
	}
}

// Start opens the listener.
func (s *Service) Start(ctx context.Context) error {
	return s.server.Listen(ctx, s.settings.Address)
}

// Stop closes the listener and all connections.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the address that clients use.
func (s *Service) URL() string { return "http://" + s.server.Address() }

// runOnTable runs op on the table's duty and waits for it.
func runOnTable[T any](ctx context.Context, s *Service, op func(*contents) T) (T, error) {
	reply := ring.Reply[T]()
	if err := s.ops.Put(ctx, func(c *contents) { reply.Offer(op(c)) }); err != nil {
		var zero T
		return zero, connect.NewError(connect.CodeUnavailable, err)
	}
	return reply.Take(ctx)
}

type tableHandler struct{ s *Service }

func (h tableHandler) Get(ctx context.Context, r *connect.Request[wirev1.GetRequest]) (*connect.Response[wirev1.GetResponse], error) {
	rows, err := runOnTable(ctx, h.s, func(c *contents) []*wirev1.Row { return c.table.getAll(r.Msg.Keys) })
	return connect.NewResponse(&wirev1.GetResponse{Rows: rows}), err
}

func (h tableHandler) Scan(ctx context.Context, r *connect.Request[wirev1.ScanRequest]) (*connect.Response[wirev1.ScanResponse], error) {
	resp, err := runOnTable(ctx, h.s, func(c *contents) *wirev1.ScanResponse {
		rows, more := c.table.scan(r.Msg.Prefix, r.Msg.After, int(r.Msg.Limit))
		return &wirev1.ScanResponse{Rows: rows, More: more}
	})
	return connect.NewResponse(resp), err
}

func (h tableHandler) Commit(ctx context.Context, r *connect.Request[wirev1.CommitRequest]) (*connect.Response[wirev1.CommitResponse], error) {
	resp, err := runOnTable(ctx, h.s, func(c *contents) *wirev1.CommitResponse { return c.table.commit(r.Msg) })
	return connect.NewResponse(resp), err
}

type objectHandler struct{ s *Service }

func (h objectHandler) PutObject(ctx context.Context, r *connect.Request[wirev1.PutObjectRequest]) (*connect.Response[wirev1.PutObjectResponse], error) {
	_, err := runOnTable(ctx, h.s, func(c *contents) struct{} {
		c.objects[r.Msg.Name] = r.Msg.Data
		return struct{}{}
	})
	return connect.NewResponse(&wirev1.PutObjectResponse{}), err
}

func (h objectHandler) GetObject(ctx context.Context, r *connect.Request[wirev1.GetObjectRequest]) (*connect.Response[wirev1.GetObjectResponse], error) {
	resp, err := runOnTable(ctx, h.s, func(c *contents) *wirev1.GetObjectResponse {
		data, found := c.objects[r.Msg.Name]
		return &wirev1.GetObjectResponse{Found: found, Data: data}
	})
	return connect.NewResponse(resp), err
}
