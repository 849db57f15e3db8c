package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// testWithFakes runs a test of dispatch on fake services, in virtual time.
func testWithFakes(t *testing.T, servers int, test func(t *testing.T, s *Service, f *fakeServices)) {
	synctest.Test(t, func(t *testing.T) {
		s, f, stop := startWithFakes(t, servers)
		defer stop()
		test(t, s, f)
	})
}

// TestClaimComesBetweenRightAndSend guards against a first byte before the
// claim, a claim without a right, and a claim whose outcome is not recorded
// (G4, G7).
func TestClaimComesBetweenRightAndSend(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, f *fakeServices) {
		r := request("id", "t", time.Second)
		r.CallerChoseID = true
		_, err := s.Submit(t.Context(), r)
		assert.NilError(t, err)
		assert.NilError(t, s.Drain(t.Context()))
		assert.DeepEqual(t, f.recordedEvents(), []string{"acquire t", "claim id", "send id a", "release t", "outcome id"})
	})
}

// TestNoStartWithoutTheClaim guards against starting a request whose claim is
// held by another attempt or in doubt.
func TestNoStartWithoutTheClaim(t *testing.T) {
	cases := []struct {
		record services.ClaimRecord
		err    error
		reason fault.Reason
	}{
		{services.ClaimRecord{State: services.ClaimUnknown}, nil, fault.ReasonClaimInDoubt},
		{services.ClaimRecord{State: services.ClaimDone, Object: "o"}, nil, fault.ReasonClaimed},
		{services.ClaimRecord{}, notRunFault(fault.ReasonPlatformDown), fault.ReasonPlatformDown},
		{services.ClaimRecord{}, unknownFault(fault.ReasonClaimInDoubt), fault.ReasonClaimInDoubt},
	}
	for _, c := range cases {
		testWithFakes(t, 1, func(t *testing.T, s *Service, f *fakeServices) {
			f.claim = func(*services.Request) (services.ClaimRecord, error) { return c.record, c.err }
			r := request("id", "t", time.Second)
			r.CallerChoseID = true
			_, err := s.Submit(t.Context(), r)
			assert.Equal(t, fault.ReasonOf(err), c.reason)
			assert.Assert(t, fault.IsNotRun(err), "this attempt was not started")
			assert.Equal(t, f.rightsUsed("t"), 0)
			assert.NilError(t, s.Drain(t.Context()))
			released, recorded := f.outcomes["id"]
			assert.Equal(t, recorded, c.err != nil && !fault.IsNotRun(c.err), "want an outcome recorded only for a claim in doubt, which must be released")
			assert.Assert(t, !recorded || fault.IsNotRun(released))
			assert.Assert(t, !strings.Contains(fmt.Sprint(f.recordedEvents()), "send"))
		})
	}
}

// TestSlowClaimDoesNotDelayOtherRequests guards against a queue that stalls
// while the platform is slow.
func TestSlowClaimDoesNotDelayOtherRequests(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, f *fakeServices) {
		f.claim = func(*services.Request) (services.ClaimRecord, error) {
			time.Sleep(2 * time.Second)
			return services.ClaimRecord{State: services.ClaimHeld}, nil
		}
		slow := request("slow", "t", 10*time.Second)
		slow.CallerChoseID = true
		var wg sync.WaitGroup
		wg.Go(func() { s.Submit(t.Context(), slow) })
		synctest.Wait()
		started := time.Now()
		_, err := s.Submit(t.Context(), request("quick", "t", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 10*time.Millisecond)
		wg.Wait()
	})
}

// TestUnknownOutcomeIsNotRepeatedAndKeepsItsRight guards against a second run of
// a request that may have run, and against releasing its right while it may
// still be running.
func TestUnknownOutcomeIsNotRepeatedAndKeepsItsRight(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, f *fakeServices) {
		f.answer = func(services.BackendAttempt) services.BackendResult {
			return resultAfter(time.Millisecond, unknownFault(fault.ReasonConnectionLost))
		}
		_, err := s.Submit(t.Context(), request("id", "t", 5*time.Second))
		assert.Assert(t, !fault.IsNotRun(err))
		assert.Equal(t, strings.Count(fmt.Sprint(f.recordedEvents()), "send"), 1)
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, f.rightsUsed("t"), 1)
		time.Sleep(time.Second)
		assert.Equal(t, f.rightsUsed("t"), 0)
	})
}

// TestIdempotentRequestIsRetriedElsewhere guards against a retry at the same
// server, and against two concurrent runs that share one right.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, f *fakeServices) {
		var servers []string
		f.answer = func(b services.BackendAttempt) services.BackendResult {
			if servers = append(servers, b.Server.Name); len(servers)%2 == 1 {
				return resultAfter(time.Millisecond, unknownFault(fault.ReasonConnectionLost))
			}
			assert.Assert(t, f.rightsUsed("t") >= 2)
			return resultAfter(time.Millisecond, nil)
		}
		for i := range 6 {
			r := request(fmt.Sprint(i), "t", 5*time.Second)
			r.Idempotent = true
			_, err := s.Submit(t.Context(), r)
			assert.NilError(t, err)
			assert.Assert(t, servers[2*i] != servers[2*i+1], "%v", servers)
			time.Sleep(time.Second)
		}
		assert.Equal(t, f.retried[fault.ReasonConnectionLost], 6)
	})
}

// TestRequeuesAreBounded guards against a request that is requeued forever.
func TestRequeuesAreBounded(t *testing.T) {
	testWithFakes(t, 3, func(t *testing.T, s *Service, f *fakeServices) {
		f.answer = func(services.BackendAttempt) services.BackendResult {
			r := resultAfter(time.Millisecond, notRunFault(fault.ReasonNoSlots))
			r.SlotsFree = 0
			return r
		}
		_, err := s.Submit(t.Context(), request("id", "t", time.Hour))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonNoSlots)
		assert.Assert(t, fault.IsNotRun(err))
	})
}

// TestSlotsExhausted guards against failing a request that finds all slots in
// use.
func TestSlotsExhausted(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, f *fakeServices) {
		var attempts int
		f.answer = func(services.BackendAttempt) services.BackendResult {
			if attempts++; attempts <= 5 {
				r := resultAfter(time.Millisecond, notRunFault(fault.ReasonNoSlots))
				r.SlotsFree = 0
				return r
			}
			return resultAfter(time.Millisecond, nil)
		}
		_, err := s.Submit(t.Context(), request("id", "t", 20*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, f.retried[fault.ReasonNoSlots], 5)
		assert.Equal(t, f.rightsUsed("t"), 0)
	})
}

// TestTeamAtItsLimit guards against a team at its limit that delays other teams,
// or whose requests do not start when a right becomes free.
func TestTeamAtItsLimit(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, f *fakeServices) {
		f.limits["full"] = 0
		var wg sync.WaitGroup
		var refusal error
		wg.Go(func() { _, refusal = s.Submit(t.Context(), request("waits", "full", time.Second)) })
		synctest.Wait()
		_, err := s.Submit(t.Context(), request("other", "t", 100*time.Millisecond))
		assert.NilError(t, err)
		wg.Wait()
		assert.Equal(t, fault.ReasonOf(refusal), fault.ReasonTeamLimit)
		assert.Assert(t, fault.IsNotRun(refusal))

		wg.Go(func() { _, refusal = s.Submit(t.Context(), request("later", "full", time.Second)) })
		time.Sleep(251 * time.Millisecond)
		f.mu.Lock()
		f.limits["full"] = 1
		f.mu.Unlock()
		// A tick has just passed, so that the start cannot be due to the next.
		started := time.Now()
		f.freed.Offer("full")
		wg.Wait()
		assert.NilError(t, refusal)
		assert.Equal(t, time.Since(started), 10*time.Millisecond)
	})
}

// TestGoneCallerLeavesTheQueue guards against running a request whose caller
// left while it waited.
func TestGoneCallerLeavesTheQueue(t *testing.T) {
	testWithFakes(t, 0, func(t *testing.T, s *Service, f *fakeServices) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := s.Submit(ctx, request("id", "t", time.Minute))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonCancelled)
		assert.Assert(t, fault.IsNotRun(err))
		f.setServers(1, fleet.PhaseLive)
		time.Sleep(time.Second)
		assert.Equal(t, len(f.recordedEvents()), 0)
	})
}

// TestLeavingServerGetsNothingNew guards against new requests for a server that
// is leaving according to its reply or the host list (G8).
func TestLeavingServerGetsNothingNew(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, f *fakeServices) {
		f.answer = func(b services.BackendAttempt) services.BackendResult {
			r := resultAfter(time.Millisecond, nil)
			r.Leaving = b.Server.Name == "a"
			return r
		}
		for i := range 40 {
			_, err := s.Submit(t.Context(), request(fmt.Sprint(i), "t", time.Second))
			assert.NilError(t, err)
		}
		events := fmt.Sprint(f.recordedEvents())
		assert.Equal(t, strings.Count(events, "leaving a"), 1)
		assert.Equal(t, strings.Count(events, " a]")+strings.Count(events, " a release"), 1, "%s", events)
		f.setServers(2, fleet.PhaseLeaving)
		_, err := s.Submit(t.Context(), request("last", "t", time.Second))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonNoBackendServer)
	})
}

// TestDrainWaitsForEveryOutcome guards against a drain that aborts requests.
func TestDrainWaitsForEveryOutcome(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, f *fakeServices) {
		var wg sync.WaitGroup
		for i := range 6 {
			r := request(fmt.Sprint(i), "t", time.Minute)
			r.CallerChoseID = true
			wg.Go(func() {
				_, err := s.Submit(t.Context(), r)
				assert.Check(t, err)
			})
		}
		synctest.Wait()
		assert.NilError(t, s.Drain(t.Context()))
		assert.Equal(t, strings.Count(fmt.Sprint(f.recordedEvents()), "outcome"), 6)
		wg.Wait()
	})
}

// TestOutcomesAreTrue guards, over random failures, against a second run of a
// non-idempotent request, a "not run" for one that ran, an attempt past the
// deadline, a request without an outcome, and rights that are lost or exceeded.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		plan := rapid.SliceOfN(rapid.IntRange(0, 4), 200, 200).Draw(rt, "plan")
		requests := rapid.SliceOfN(rapid.Custom(drawRequestParams), 1, 20).Draw(rt, "requests")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = submitAll(t, limit, plan, requests) })
		assert.Equal(rt, len(violations), 0, "%v", violations)
	})
}

type requestParams struct {
	timeout              time.Duration
	idempotent, callerID bool
}

func drawRequestParams(t *rapid.T) requestParams {
	ms := rapid.IntRange(1, 2000).Draw(t, "timeout")
	return requestParams{time.Duration(ms) * time.Millisecond, rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "callerID")}
}

// submitAll submits all requests at once; their attempts end as the plan says.
// It returns the violations found.
func submitAll(t *testing.T, limit int, plan []int, requests []requestParams) (violations []string) {
	s, f, stop := startWithFakes(t, 3)
	defer stop()
	f.limits["t"] = limit
	var mu sync.Mutex
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runsByID, sendsByID, indexByID := map[string]int{}, map[string]int{}, map[string]int{}
	f.answer = func(b services.BackendAttempt) services.BackendResult {
		mu.Lock()
		// The attempts of one request follow its own part of the plan, so
		// that the verdict does not depend on the order of goroutines.
		sendsByID[b.Request.ID]++
		kind := plan[(7*indexByID[b.Request.ID]+sendsByID[b.Request.ID])%len(plan)]
		if kind != 1 && kind != 2 {
			runsByID[b.Request.ID]++
		}
		if !time.Now().Before(b.Request.Deadline) {
			addViolation("request %s sent past its deadline", b.Request.ID)
		}
		mu.Unlock()
		switch kind {
		case 1:
			return resultAfter(time.Millisecond, notRunFault(fault.ReasonNoSlots))
		case 2:
			return resultAfter(time.Millisecond, notRunFault(fault.ReasonConnectFailed))
		case 3:
			return resultAfter(time.Millisecond, unknownFault(fault.ReasonConnectionLost))
		}
		return resultAfter(20*time.Millisecond, nil)
	}
	var wg sync.WaitGroup
	for i, params := range requests {
		r := request(fmt.Sprint(i), "t", params.timeout)
		r.Idempotent, r.CallerChoseID = params.idempotent, params.callerID
		mu.Lock()
		indexByID[r.ID] = i
		mu.Unlock()
		wg.Go(func() {
			_, err := s.Submit(context.Background(), r)
			mu.Lock()
			defer mu.Unlock()
			if ran := runsByID[r.ID]; ran > 1 && !r.Idempotent || err != nil && fault.IsNotRun(err) && ran > 0 {
				addViolation("request %s ran %d times, idempotent %v, outcome %v", r.ID, ran, r.Idempotent, err)
			}
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	if used := f.rightsUsed("t"); used != 0 {
		addViolation("%d rights were not released", used)
	}
	return violations
}
