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

// testWithFakes runs a test in virtual time with dispatch among fakes.
func testWithFakes(t *testing.T, servers int, test func(t *testing.T, s *Service, w *fakeServices)) {
	synctest.Test(t, func(t *testing.T) {
		s, w, stop := startWithFakes(t, servers)
		defer stop()
		test(t, s, w)
	})
}

// Guards against a first byte before the claim, a claim without a right, and a
// claim whose outcome is not recorded (G4, G7).
func TestClaimComesBetweenRightAndSend(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, w *fakeServices) {
		r := request("id", "t", time.Second)
		r.CallerChoseID = true
		_, err := s.Submit(t.Context(), r)
		assert.NilError(t, err)
		assert.NilError(t, s.Drain(t.Context()))
		assert.DeepEqual(t, w.recordedEvents(), []string{"acquire t", "claim id", "send id a", "release t", "outcome id"})
	})
}

// Guards against starting a request whose claim is another's or in doubt.
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
		testWithFakes(t, 1, func(t *testing.T, s *Service, w *fakeServices) {
			w.claim = func(*services.Request) (services.ClaimRecord, error) { return c.record, c.err }
			r := request("id", "t", time.Second)
			r.CallerChoseID = true
			_, err := s.Submit(t.Context(), r)
			assert.Equal(t, fault.ReasonOf(err), c.reason)
			assert.Assert(t, fault.IsNotRun(err), "this attempt was not started")
			assert.Equal(t, w.rightsUsed("t"), 0)
			assert.NilError(t, s.Drain(t.Context()))
			released, recorded := w.outcomes["id"]
			assert.Equal(t, recorded, c.err != nil && !fault.IsNotRun(c.err), "a claim in doubt is to be released")
			assert.Assert(t, !recorded || fault.IsNotRun(released))
			assert.Assert(t, !strings.Contains(fmt.Sprint(w.recordedEvents()), "send"))
		})
	}
}

// Guards against a queue that stands still while the platform is slow.
func TestSlowClaimHoldsUpNobody(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, w *fakeServices) {
		w.claim = func(*services.Request) (services.ClaimRecord, error) {
			time.Sleep(2 * time.Second)
			return services.ClaimRecord{State: services.ClaimHeld}, nil
		}
		slow := request("slow", "t", 10*time.Second)
		slow.CallerChoseID = true
		var wg sync.WaitGroup
		wg.Go(func() { s.Submit(t.Context(), slow) })
		synctest.Wait()
		begun := time.Now()
		_, err := s.Submit(t.Context(), request("quick", "t", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begun), 10*time.Millisecond)
		wg.Wait()
	})
}

// Guards against a second run of a request that may have run, and against a
// right that is free while the request may still be running.
func TestUnknownOutcomeIsNotRepeatedAndKeepsItsRight(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, w *fakeServices) {
		w.answer = func(services.BackendAttempt) services.BackendResult {
			return resultAfter(time.Millisecond, unknownFault(fault.ReasonConnectionLost))
		}
		_, err := s.Submit(t.Context(), request("id", "t", 5*time.Second))
		assert.Assert(t, !fault.IsNotRun(err))
		assert.Equal(t, strings.Count(fmt.Sprint(w.recordedEvents()), "send"), 1)
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, w.rightsUsed("t"), 1)
		time.Sleep(time.Second)
		assert.Equal(t, w.rightsUsed("t"), 0)
	})
}

// Guards against a retry at the same server, and against one right for two
// runs at once.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, w *fakeServices) {
		var servers []string
		w.answer = func(b services.BackendAttempt) services.BackendResult {
			if servers = append(servers, b.Server.Name); len(servers)%2 == 1 {
				return resultAfter(time.Millisecond, unknownFault(fault.ReasonConnectionLost))
			}
			assert.Assert(t, w.rightsUsed("t") >= 2)
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
		assert.Equal(t, w.retried[fault.ReasonConnectionLost], 6)
	})
}

// Guards against a request that is put back for ever.
func TestPutBacksAreBounded(t *testing.T) {
	testWithFakes(t, 3, func(t *testing.T, s *Service, w *fakeServices) {
		w.answer = func(services.BackendAttempt) services.BackendResult {
			r := resultAfter(time.Millisecond, notRunFault(fault.ReasonNoSlots))
			r.SlotsFree = 0
			return r
		}
		_, err := s.Submit(t.Context(), request("id", "t", time.Hour))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonNoSlots)
		assert.Assert(t, fault.IsNotRun(err))
	})
}

// Guards against failing a request that found all slots taken.
func TestSlotsExhausted(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, w *fakeServices) {
		var refused int
		w.answer = func(services.BackendAttempt) services.BackendResult {
			if refused++; refused <= 5 {
				r := resultAfter(time.Millisecond, notRunFault(fault.ReasonNoSlots))
				r.SlotsFree = 0
				return r
			}
			return resultAfter(time.Millisecond, nil)
		}
		_, err := s.Submit(t.Context(), request("id", "t", 20*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, w.retried[fault.ReasonNoSlots], 5)
		assert.Equal(t, w.rightsUsed("t"), 0)
	})
}

// Guards against a team at its limit that holds up others or is forgotten when
// a right becomes free.
func TestTeamAtItsLimit(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, w *fakeServices) {
		w.limits["full"] = 0
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
		w.mu.Lock()
		w.limits["full"] = 1
		w.mu.Unlock()
		// Just after a tick, so that the next tick cannot stand in.
		begun := time.Now()
		w.freed.Offer("full")
		wg.Wait()
		assert.NilError(t, refusal)
		assert.Equal(t, time.Since(begun), 10*time.Millisecond)
	})
}

// Guards against running a request whose caller has gone while it waited.
func TestGoneCallerLeavesTheQueue(t *testing.T) {
	testWithFakes(t, 0, func(t *testing.T, s *Service, w *fakeServices) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := s.Submit(ctx, request("id", "t", time.Minute))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonCancelled)
		assert.Assert(t, fault.IsNotRun(err))
		w.setServers(1, fleet.PhaseLive)
		time.Sleep(time.Second)
		assert.Equal(t, len(w.recordedEvents()), 0)
	})
}

// Guards against new work for a leaving server, by its reply, by the host list
// and by the ledger (G8).
func TestLeavingServerGetsNothingNew(t *testing.T) {
	testWithFakes(t, 2, func(t *testing.T, s *Service, w *fakeServices) {
		w.answer = func(b services.BackendAttempt) services.BackendResult {
			r := resultAfter(time.Millisecond, nil)
			r.Leaving = b.Server.Name == "a"
			return r
		}
		for i := range 40 {
			_, err := s.Submit(t.Context(), request(fmt.Sprint(i), "t", time.Second))
			assert.NilError(t, err)
		}
		events := fmt.Sprint(w.recordedEvents())
		assert.Equal(t, strings.Count(events, "leaving a"), 1)
		assert.Equal(t, strings.Count(events, " a]")+strings.Count(events, " a release"), 1, "%s", events)
		w.setServers(2, fleet.PhaseLeaving)
		_, err := s.Submit(t.Context(), request("last", "t", time.Second))
		assert.Equal(t, fault.ReasonOf(err), fault.ReasonNoBackendServer)
	})
}

// Guards against a drain that cuts requests off.
func TestDrainWaitsForEveryOutcome(t *testing.T) {
	testWithFakes(t, 1, func(t *testing.T, s *Service, w *fakeServices) {
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
		assert.Equal(t, strings.Count(fmt.Sprint(w.recordedEvents()), "outcome"), 6)
		wg.Wait()
	})
}

// Guards, over random failures, against a second run of a non-idempotent
// request, a "not run" for one that ran, an attempt past the deadline, a
// request without an answer, and rights that are lost or exceeded.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		plan := rapid.SliceOfN(rapid.IntRange(0, 4), 200, 200).Draw(rt, "plan")
		requests := rapid.SliceOfN(rapid.Custom(drawRequestParams), 1, 20).Draw(rt, "requests")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = submitAll(t, limit, plan, requests) })
		assert.Equal(rt, len(faults), 0, "%v", faults)
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

// submitAll submits all requests at once; the n-th attempt ends as the plan
// says. It returns what was wrong.
func submitAll(t *testing.T, limit int, plan []int, requests []requestParams) (faults []string) {
	s, w, stop := startWithFakes(t, 3)
	defer stop()
	w.limits["t"] = limit
	var mu sync.Mutex
	wrong := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	runs, sends, number := map[string]int{}, map[string]int{}, map[string]int{}
	w.answer = func(b services.BackendAttempt) services.BackendResult {
		mu.Lock()
		// The attempts of one request follow its own part of the plan, so
		// that the verdict does not depend on the order of goroutines.
		sends[b.Request.ID]++
		kind := plan[(7*number[b.Request.ID]+sends[b.Request.ID])%len(plan)]
		if kind != 1 && kind != 2 {
			runs[b.Request.ID]++
		}
		if !time.Now().Before(b.Request.Deadline) {
			wrong("request %s sent past its deadline", b.Request.ID)
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
	for i, d := range requests {
		r := request(fmt.Sprint(i), "t", d.timeout)
		r.Idempotent, r.CallerChoseID = d.idempotent, d.callerID
		mu.Lock()
		number[r.ID] = i
		mu.Unlock()
		wg.Go(func() {
			_, err := s.Submit(context.Background(), r)
			mu.Lock()
			defer mu.Unlock()
			if ran := runs[r.ID]; ran > 1 && !r.Idempotent || err != nil && fault.IsNotRun(err) && ran > 0 {
				wrong("request %s ran %d times, idempotent %v, told %v", r.ID, ran, r.Idempotent, err)
			}
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	if used := w.rightsUsed("t"); used != 0 {
		wrong("%d rights are lost", used)
	}
	return faults
}
