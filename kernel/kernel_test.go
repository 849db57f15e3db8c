package kernel_test

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/kernel"
)

type recorder struct {
	name         string
	dependencies []string
	events       *[]string
}

func (r *recorder) Provision(c *kernel.Context) error {
	for _, need := range r.dependencies {
		if _, err := kernel.Lookup[*recorder](c, need); err != nil {
			return err
		}
	}
	c.AddDuty(r.name, func(ctx context.Context) {
		<-ctx.Done()
		*r.events = append(*r.events, "duty end "+r.name)
	})
	return nil
}

func (r *recorder) Start(context.Context) error {
	*r.events = append(*r.events, "start "+r.name)
	return nil
}

func (r *recorder) Drain(context.Context) error {
	*r.events = append(*r.events, "drain "+r.name)
	return nil
}

func newKernel() *kernel.Kernel { return kernel.New(zerolog.Nop(), nil) }

// Guards against a service that starts before, or drains after, one that it
// depends on.
func TestLifeCycleFollowsDependencies(t *testing.T) {
	var events []string
	k := newKernel()
	k.Register("a-front", &recorder{name: "front", dependencies: []string{"b-store"}, events: &events})
	k.Register("b-store", &recorder{name: "store", events: &events})
	assert.NilError(t, k.Start(t.Context()))
	assert.NilError(t, k.Drain(t.Context()))
	assert.NilError(t, k.Stop(t.Context()))
	assert.DeepEqual(t, events, []string{
		"start store", "start front",
		"drain front", "drain store",
		"duty end front", "duty end store",
	})
}

// Guards against start-up errors that hide what is registered, or that report
// only the first of several faults.
func TestProvisionReportsAllFaults(t *testing.T) {
	var events []string
	k := newKernel()
	k.Register("x", &recorder{name: "x", dependencies: []string{"missing"}, events: &events})
	k.Register("y", &recorder{name: "y", dependencies: []string{"z"}, events: &events})
	k.Register("z", &recorder{name: "z", dependencies: []string{"y"}, events: &events})
	err := k.Provision()
	assert.ErrorContains(t, err, `no service "missing"; registered: x, y, z`)
	assert.ErrorContains(t, err, "dependency cycle: y -> z -> y")
}

type wrongType struct{ recorder }

// Guards against a service that is handed a dependency of another type.
func TestLookupChecksType(t *testing.T) {
	var events []string
	k := newKernel()
	k.Register("a", &recorder{name: "a", dependencies: []string{"b"}, events: &events})
	k.Register("b", &wrongType{})
	assert.ErrorContains(t, k.Provision(), `service "b" is a *kernel_test.wrongType`)
}
