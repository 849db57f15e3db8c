// Package kernel is a registry of named services that runs their life cycle.
//
// It contains no domain logic. A program registers its services by name and
// calls Run. Each service looks up its dependencies by name while it is
// provisioned; the kernel provisions those first. Services start in
// provision order, and drain and stop in reverse, so that a service is always
// drained before the services it depends on.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
)

// Error is the class of all errors that the kernel returns.
var Error = errs.Class("kernel")

// Service is implemented by every service. Provision looks up dependencies,
// creates the service's rings and registers its duties. It performs no I/O.
type Service interface {
	Provision(*Context) error
}

// Starter is implemented by services that open listeners or connections.
// The duties of the service start just before Start is called.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is implemented by services that must finish accepted work before
// they stop. Drain returns when the work is done or ctx is done.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper is implemented by services that hold resources other than duties.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel owns the registered services. Its methods must be called from one
// goroutine; the functions passed to Context.AddDuty run in goroutines of their
// own.
type Kernel struct {
	log             zerolog.Logger
	scope           tally.Scope
	services        map[string]*entry
	provisionOrder  []*entry
	provisioning    []string
	provisionErrors []error
	// failingUntil is the time until which the process counts as failing; nil if no
	// duty has failed often.
	failingUntil atomic.Pointer[time.Time]
}

type entry struct {
	name        string
	service     Service
	provisioned bool
	err         error
	duties      []duty
	cancel      context.CancelFunc
	dutyGroup   sync.WaitGroup
	started     bool
}

type duty struct {
	name string
	run  func(context.Context)
	// restartable duties run again after a panic.
	restartable bool
}

// Context is passed to a service while it is provisioned.
type Context struct {
	// Name is the name under which the service is registered.
	Name string
	// Log adds the field service=Name to each line.
	Log zerolog.Logger
	// Scope is the root metrics scope of the process.
	Scope tally.Scope

	kernel *Kernel
	entry  *entry
}

// New returns an empty kernel.
func New(log zerolog.Logger, scope tally.Scope) *Kernel {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Kernel{log: log, scope: scope, services: make(map[string]*entry)}
}

// Register adds a service under a name. Provision reports a name that is
// already in use, together with all other errors.
func (k *Kernel) Register(name string, s Service) {
	if _, taken := k.services[name]; taken {
		k.provisionErrors = append(k.provisionErrors, Error.New("service %q is registered twice", name))
		return
	}
	k.services[name] = &entry{name: name, service: s}
}

// Names returns the registered names in alphabetical order.
func (k *Kernel) Names() []string {
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Provision provisions every service, dependencies first, and returns all
// errors joined.
func (k *Kernel) Provision() error {
	for _, name := range k.Names() {
		e := k.services[name]
		if e.provisioned || e.err != nil {
			continue
		}
		if err := k.provision(e); err != nil {
			k.provisionErrors = append(k.provisionErrors, err)
		}
	}
	return errors.Join(k.provisionErrors...)
}

func (k *Kernel) provision(e *entry) error {
	if slices.Contains(k.provisioning, e.name) {
		cycle := append(slices.Clone(k.provisioning), e.name)
		return Error.New("dependency cycle: %s", strings.Join(cycle, " -> "))
	}
	k.provisioning = append(k.provisioning, e.name)
	defer func() { k.provisioning = k.provisioning[:len(k.provisioning)-1] }()

	c := &Context{
		Name:   e.name,
		Log:    k.log.With().Str("service", e.name).Logger(),
		Scope:  k.scope,
		kernel: k,
		entry:  e,
	}
	if err := e.service.Provision(c); err != nil {
		e.err = Error.New("provision %s: %v", e.name, err)
		return e.err
	}
	e.provisioned = true
	k.provisionOrder = append(k.provisionOrder, e)
	return nil
}

// Lookup returns the service registered under name as a T and provisions it
// first if necessary. It may be called only while c's service is being
// provisioned. The error for a missing service or a wrong type lists the
// registered names.
func Lookup[T any](c *Context, name string) (T, error) {
	var zero T
	e, ok := c.kernel.services[name]
	if !ok {
		return zero, Error.New("no service %q; registered: %s", name, strings.Join(c.kernel.Names(), ", "))
	}
	typed, ok := e.service.(T)
	if !ok {
		return zero, Error.New("service %q is a %T, not a %s; registered: %s",
			name, e.service, typeName[T](), strings.Join(c.kernel.Names(), ", "))
	}
	if e.provisioned {
		return typed, nil
	}
	if e.err != nil {
		return zero, Error.New("service %q failed to provision", name)
	}
	if err := c.kernel.provision(e); err != nil {
		return zero, err
	}
	return typed, nil
}

func typeName[T any]() string {
	return strings.TrimPrefix(fmt.Sprintf("%T", (*T)(nil)), "*")
}

// AddDuty registers a long-lived goroutine of the service. run must return
// when its context is cancelled. The duties of a service start before its Start
// method is called and end after its Stop method has returned.
func (c *Context) AddDuty(name string, run func(context.Context)) {
	c.entry.duties = append(c.entry.duties, duty{name: name, run: run})
}

// Start provisions the services that are not yet provisioned and starts all of
// them. On an error it stops the services that it has started.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.Provision(); err != nil {
		return err
	}
	for _, e := range k.provisionOrder {
		if err := k.start(ctx, e); err != nil {
			k.Stop(ctx)
			return Error.New("start %s: %v", e.name, err)
		}
	}
	return nil
}

func (k *Kernel) start(ctx context.Context, e *entry) error {
	dutyCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	e.started = true
	for _, d := range e.duties {
		run := d.run
		if d.restartable {
			run = func(ctx context.Context) { k.supervise(ctx, d) }
		}
		e.dutyGroup.Go(func() {
			pprof.Do(dutyCtx, pprof.Labels("duty", d.name), run)
		})
	}
	s, ok := e.service.(Starter)
	if !ok {
		return nil
	}
	return s.Start(ctx)
}

// Drain asks every service, in reverse start order, to finish its work. It
// continues after an error and returns all errors joined.
func (k *Kernel) Drain(ctx context.Context) error {
	var errList []error
	for _, e := range slices.Backward(k.provisionOrder) {
		s, ok := e.service.(Drainer)
		if !ok || !e.started {
			continue
		}
		if err := s.Drain(ctx); err != nil {
			errList = append(errList, Error.New("drain %s: %v", e.name, err))
		}
	}
	return errors.Join(errList...)
}

// dutyTimeout is how long Stop waits for the duties of one service. A call to the
// platform ends within 2 s, but a duty that is blocked writing to a standard
// output that nobody reads cannot be interrupted.
const dutyTimeout = 3 * time.Second

// Stop stops every started service in reverse start order and waits for its
// duties.
func (k *Kernel) Stop(ctx context.Context) error {
	var errList []error
	for _, e := range slices.Backward(k.provisionOrder) {
		if !e.started {
			continue
		}
		if s, ok := e.service.(Stopper); ok {
			if err := s.Stop(ctx); err != nil {
				errList = append(errList, Error.New("stop %s: %v", e.name, err))
			}
		}
		e.cancel()
		if !e.awaitDuties(dutyTimeout) {
			errList = append(errList, Error.New("stop %s: its duties did not end within %v", e.name, dutyTimeout))
		}
		e.started = false
	}
	return errors.Join(errList...)
}

// awaitDuties waits for the duties of the service and reports whether they
// ended within timeout.
func (e *entry) awaitDuties(timeout time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		e.dutyGroup.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Run starts the services, waits until ctx is done, then drains the services within
// drainTimeout and stops them.
func (k *Kernel) Run(ctx context.Context, drainTimeout time.Duration) error {
	if err := k.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	k.log.Info().Dur("timeout", drainTimeout).Msg("draining")
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	drainErr := k.Drain(drainCtx)
	stopErr := k.Stop(drainCtx)
	k.log.Info().Msg("stopped")
	return errors.Join(drainErr, stopErr)
}
