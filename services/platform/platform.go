// Package platform is the client of the platform's table service, object store
// and host list.
//
// A fixed number of equal duties carry out the calls that other services post
// to one bounded ring, so that a slow platform holds back callers and never
// grows memory.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

const (
	callDuties       = 16
	callRingCapacity = 256
	// callTimeout is the time after which the platform counts as down for a
	// call.
	callTimeout = 2 * time.Second
)

// Settings of the service.
type Settings struct {
	// URL of the platform, http://IP:port.
	URL string
	// SourceIP is the address that connections start from; empty lets the
	// system choose.
	SourceIP string
}

// Service implements services.Platform.
type Service struct {
	settings Settings
	calls    *ring.Ring[call]
	client   *http.Client
	table    fuchsiafrontv1connect.TableServiceClient
	objects  fuchsiafrontv1connect.ObjectServiceClient
	hosts    fuchsiafrontv1connect.HostServiceClient
}

type call struct {
	ctx context.Context
	run func(context.Context)
}

// New returns the service.
func New(s Settings) *Service { return &Service{settings: s} }

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.calls = ring.New[call]("platform.calls", callRingCapacity, c.Scope)
	s.client = &http.Client{Transport: newTransport(s.settings.SourceIP)}
	s.table = fuchsiafrontv1connect.NewTableServiceClient(s.client, s.settings.URL)
	s.objects = fuchsiafrontv1connect.NewObjectServiceClient(s.client, s.settings.URL)
	s.hosts = fuchsiafrontv1connect.NewHostServiceClient(s.client, s.settings.URL)
	for range callDuties {
		c.AddDuty("platform.table", s.runCalls)
	}
	return nil
}

func newTransport(sourceIP string) *http.Transport {
	dialer := &net.Dialer{Timeout: callTimeout}
	if sourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: callDuties,
		IdleConnTimeout:     time.Minute,
	}
}

// Stop closes idle connections.
func (s *Service) Stop(context.Context) error {
	s.client.CloseIdleConnections()
	return nil
}

func (s *Service) runCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.calls.C():
			c.run(c.ctx)
		}
	}
}

type answer[T any] struct {
	value T
	err   error
}

// submit runs do on one of the call duties and waits for its answer. mutates
// tells whether a call that ends without an answer may have taken effect.
func submit[T any](ctx context.Context, s *Service, step string, mutates bool, do func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := ring.Reply[answer[T]]()
	posted := s.calls.Offer(call{ctx: ctx, run: func(ctx context.Context) {
		if ctx.Err() != nil {
			reply.Offer(answer[T]{err: fault.New(&fault.NotRun, fault.ReasonPlatformDown, step, s.settings.URL, "not sent before the deadline")})
			return
		}
		value, err := do(ctx)
		reply.Offer(answer[T]{value, s.classify(step, mutates, err)})
	}})
	if !posted {
		return zero, fault.New(&fault.NotRun, fault.ReasonPlatformBusy, step, s.settings.URL, "%d calls are waiting", callRingCapacity)
	}
	// The duty answers at the latest when ctx ends, because every call below
	// honours it; waiting for the duty keeps the answer exact.
	a := <-reply.C()
	return a.value, a.err
}

// classify tells apart calls that cannot have taken effect from those that
// may have.
func (s *Service) classify(step string, mutates bool, err error) error {
	if err == nil {
		return nil
	}
	kind := &fault.NotRun
	if mutates && !hadNoEffect(err) {
		kind = &fault.Unknown
	}
	return fault.New(kind, fault.ReasonPlatformDown, step, s.settings.URL, "%w", err)
}

func hadNoEffect(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeUnimplemented,
		connect.CodeNotFound, connect.CodeFailedPrecondition:
		return connect.IsWireError(err)
	}
	return false
}

// Get implements services.Table.
func (s *Service) Get(ctx context.Context, keys ...string) ([]services.Row, error) {
	return submit(ctx, s, "platform get", false, func(ctx context.Context) ([]services.Row, error) {
		resp, err := s.table.Get(ctx, connect.NewRequest(&wirev1.GetRequest{Keys: keys}))
		if err != nil {
			return nil, err
		}
		return rowsFromWire(resp.Msg.Rows), nil
	})
}

type scanResult struct {
	rows []services.Row
	more bool
}

// Scan implements services.Table.
func (s *Service) Scan(ctx context.Context, prefix, after string, limit int) ([]services.Row, bool, error) {
	result, err := submit(ctx, s, "platform scan", false, func(ctx context.Context) (scanResult, error) {
		req := &wirev1.ScanRequest{Prefix: prefix, After: after, Limit: int32(limit)}
		resp, err := s.table.Scan(ctx, connect.NewRequest(req))
		if err != nil {
			return scanResult{}, err
		}
		return scanResult{rowsFromWire(resp.Msg.Rows), resp.Msg.More}, nil
	})
	return result.rows, result.more, err
}

// Commit implements services.Table.
func (s *Service) Commit(ctx context.Context, tx services.Transaction) (services.CommitResult, error) {
	return submit(ctx, s, "platform commit", true, func(ctx context.Context) (services.CommitResult, error) {
		resp, err := s.table.Commit(ctx, connect.NewRequest(transactionToWire(tx)))
		if err != nil {
			return services.CommitResult{}, err
		}
		return services.CommitResult{
			Committed: resp.Msg.Committed,
			Version:   resp.Msg.Version,
			Current:   rowsFromWire(resp.Msg.Current),
		}, nil
	})
}

// PutObject implements services.Objects.
func (s *Service) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := submit(ctx, s, "platform put object", true, func(ctx context.Context) (struct{}, error) {
		_, err := s.objects.PutObject(ctx, connect.NewRequest(&wirev1.PutObjectRequest{Name: name, Data: data}))
		return struct{}{}, err
	})
	return err
}

type objectResult struct {
	data  []byte
	found bool
}

// GetObject implements services.Objects.
func (s *Service) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	o, err := submit(ctx, s, "platform get object", false, func(ctx context.Context) (objectResult, error) {
		resp, err := s.objects.GetObject(ctx, connect.NewRequest(&wirev1.GetObjectRequest{Name: name}))
		if err != nil {
			return objectResult{}, err
		}
		return objectResult{resp.Msg.Data, resp.Msg.Found}, nil
	})
	return o.data, o.found, err
}

// ListHosts implements services.HostLister.
func (s *Service) ListHosts(ctx context.Context) ([]fleet.Host, error) {
	return submit(ctx, s, "platform list hosts", false, func(ctx context.Context) ([]fleet.Host, error) {
		resp, err := s.hosts.ListHosts(ctx, connect.NewRequest(&wirev1.ListHostsRequest{}))
		if err != nil {
			return nil, err
		}
		return hostsFromWire(resp.Msg.Hosts), nil
	})
}

// operate carries out one operation on a host.
func operate[Resp any](ctx context.Context, s *Service, step string, do func(context.Context) (*connect.Response[Resp], error)) error {
	_, err := submit(ctx, s, step, true, func(ctx context.Context) (struct{}, error) {
		_, err := do(ctx)
		return struct{}{}, err
	})
	return err
}

// DrainHost implements services.HostOperations.
func (s *Service) DrainHost(ctx context.Context, host string) error {
	return operate(ctx, s, "platform drain host", func(ctx context.Context) (*connect.Response[wirev1.DrainHostResponse], error) {
		return s.hosts.DrainHost(ctx, connect.NewRequest(&wirev1.DrainHostRequest{Host: host}))
	})
}

// RebootHost implements services.HostOperations.
func (s *Service) RebootHost(ctx context.Context, host string) error {
	return operate(ctx, s, "platform reboot host", func(ctx context.Context) (*connect.Response[wirev1.RebootHostResponse], error) {
		return s.hosts.RebootHost(ctx, connect.NewRequest(&wirev1.RebootHostRequest{Host: host}))
	})
}

// ReturnHost implements services.HostOperations.
func (s *Service) ReturnHost(ctx context.Context, host string) error {
	return operate(ctx, s, "platform return host", func(ctx context.Context) (*connect.Response[wirev1.ReturnHostResponse], error) {
		return s.hosts.ReturnHost(ctx, connect.NewRequest(&wirev1.ReturnHostRequest{Host: host}))
	})
}
