package upkeep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Guards against a process that is paused while it gives orders for machines, and
// gives the rest after another process has taken the machines over. The platform
// may not check fencing tokens.
func TestPausedOwnerOrdersNoMachine(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Settings{Host: "h"}, func() time.Time { return now })
	s.poolOwnership = services.PoolOwnership{Pool: services.MachineManagementPool, RenewedAt: now}
	s.workers = ring.NewWorkers("calls", 4, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.workers.Run(ctx)
	ordered := 0
	order := func(context.Context, services.MachineOrder, string) error {
		ordered++
		now = now.Add(maxRenewalAge + time.Millisecond)
		return nil
	}
	errs, done := orderEach(ctx, s, []string{"m1", "m2"}, func(m string) string { return m }, order)
	assert.Assert(t, done)
	assert.Equal(t, ordered, 1)
	assert.NilError(t, errs[0])
	assert.Equal(t, fault.ReasonOf(errs[1]), fault.ReasonOwnershipExpired)
	assert.Assert(t, fault.IsNotRun(errs[1]))
}
