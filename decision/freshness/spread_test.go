package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// maxStaleness simulates exchanges of n members in zones during a platform
// outage and returns the largest staleness of any replica.
func maxStaleness(n, zones int, period time.Duration) time.Duration {
	const rounds = 60
	trackers := make([]*Tracker, n)
	selectors := make([]*PeerSelector, n)
	memberAt := func(i int) Member { return Member{fmt.Sprintf("m%03d", i), 1} }
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		trackers[i], selectors[i] = NewTracker(memberAt(i)), NewPeerSelector(rng)
		for j := range n {
			trackers[i].AddMember(memberAt(j), epoch)
		}
		trackers[i].membersComplete = true
	}
	var worst time.Duration
	for round := range rounds {
		for i := range n {
			now := epoch.Add(time.Hour + time.Duration(round)*period + period*time.Duration(i)/time.Duration(n))
			selfReports := trackers[i].SelfReports()
			var sameZone, otherZones []Candidate
			for j := range n {
				c := Candidate{Address: memberAt(j).Name, ReportedAsOf: selfReports[memberAt(j)].AsOf}
				if j != i && j%zones == i%zones {
					sameZone = append(sameZone, c)
				} else if j != i {
					otherZones = append(otherZones, c)
				}
			}
			var asked int
			fmt.Sscanf(selectors[i].Next(now, sameZone, otherZones, "", ReaderNotUrgent), "m%d", &asked)
			r := Report{From: memberAt(asked), SelfReports: trackers[asked].SelfReports()}
			r.SelfReports[memberAt(asked)] = SelfReport{AsOf: now}
			if round > rounds/2 {
				worst = max(worst, now.Sub(trackers[i].UpdateFreshness(SelfReport{AsOf: now})))
			}
			trackers[i].MergeReply(r, now)
		}
	}
	return worst
}

// BenchmarkSpread reports the largest staleness with self-reports alone, for
// the periods between exchanges under consideration.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{6, 3}, {8, 3}, {52, 7}, {104, 13}} {
		for _, period := range []time.Duration{400, 250, 200} {
			b.Run(fmt.Sprintf("members=%d/period=%dms", size.members, period), func(b *testing.B) {
				for b.Loop() {
					worst := maxStaleness(size.members, size.zones, period*time.Millisecond)
					b.ReportMetric(worst.Seconds(), "s-oldest-proof")
				}
			})
		}
	}
}
