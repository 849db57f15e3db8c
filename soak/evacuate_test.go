package soak

import (
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/standin/fleetplatform"
)

const (
	// Between faults, a zone is evacuated after up to maxEvacuationPause for up to
	// maxEvacuationTime.
	maxEvacuationPause = 2 * time.Second
	maxEvacuationTime  = 4 * time.Second
	// observedEvacuation is for how long nothing may start in the zone that is evacuated
	// once all faults are over.
	observedEvacuation = 3 * time.Second
	// returnTimeout is the time within which a zone that was taken back is used again.
	returnTimeout = 5 * time.Second
)

// evacuateZones evacuates zones and takes them back until the faults are over. The zones
// are drawn apart from the faults, which a seed draws as before.
func (s *soakRun) evacuateZones(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	s.restarting.running.Go(func() {
		for {
			s.restarting.wait(draw(maxEvacuationPause))
			select {
			case <-s.restarting.faultsOver:
				return
			default:
			}
			zone := []string{fleetplatform.FirstZone, fleetplatform.SecondZone}[random.IntN(2)]
			s.fleet.Evacuate(zone)
			s.restarting.wait(draw(maxEvacuationTime))
			s.fleet.TakeBack(zone)
		}
	})
}

// checkEvacuation evacuates a zone while jobs are submitted, and checks that nothing starts
// there from the bound until the zone is taken back, and something does afterwards, when
// the other zone is evacuated.
func (s *soakRun) checkEvacuation() {
	s.t.Helper()
	zone := fleetplatform.SecondZone
	confirmed := s.fleet.Evacuate(zone)
	time.Sleep(fleetplatform.EvacuateLimit + observedEvacuation)
	takenBack := time.Now()
	s.fleet.TakeBack(zone)
	// Without the other zone, all that is submitted has to start in this one.
	s.fleet.Evacuate(fleetplatform.FirstZone)
	defer s.fleet.TakeBack(fleetplatform.FirstZone)
	starts := fleetplatform.StartsIn(s.fleet.Recorder.Runs(), zone, confirmed.Add(fleetplatform.EvacuateLimit), takenBack)
	assert.Equal(s.t, len(starts), 0, "seed %d: starts in the evacuated zone: %v", *seed, starts)
	elsewhere := fleetplatform.StartsIn(s.fleet.Recorder.Runs(), fleetplatform.FirstZone, confirmed.Add(fleetplatform.EvacuateLimit), takenBack)
	assert.Assert(s.t, len(elsewhere) > 0, "seed %d: nothing started in the other zone", *seed)
	for len(fleetplatform.StartsIn(s.fleet.Recorder.Runs(), zone, takenBack, time.Now())) == 0 {
		assert.Assert(s.t, time.Since(takenBack) < returnTimeout, "seed %d: the zone that was taken back is not used", *seed)
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Logf("seed %d: %d starts elsewhere while zone %s was evacuated; it was used again after %v", *seed, len(elsewhere), zone, time.Since(takenBack))
}
