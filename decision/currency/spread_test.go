package currency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// worstProofAge simulates exchanges of n members in zones during an outage of the
// platform and returns the largest age of any proof.
func worstProofAge(n, zones int, period time.Duration) time.Duration {
	const rounds = 60
	know := make([]*Tracker, n)
	order := make([]*PeerSelector, n)
	name := func(i int) Member { return Member{fmt.Sprintf("m%03d", i), 1} }
	random := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		know[i], order[i] = NewTracker(name(i)), NewPeerSelector(random)
		for j := range n {
			know[i].AddMember(name(j), epoch)
		}
		know[i].membersComplete = true
	}
	var worst time.Duration
	for round := range rounds {
		for i := range n {
			now := epoch.Add(time.Hour + time.Duration(round)*period + period*time.Duration(i)/time.Duration(n))
			statements := know[i].Statements()
			var near, far []Candidate
			for j := range n {
				c := Candidate{Address: name(j).Name, StatedAt: statements[name(j)].MadeAt}
				if j != i && j%zones == i%zones {
					near = append(near, c)
				} else if j != i {
					far = append(far, c)
				}
			}
			var asked int
			fmt.Sscanf(order[i].Next(now, near, far, "", ReaderNotUrgent), "m%d", &asked)
			r := Report{From: name(asked), Statements: know[asked].Statements()}
			r.Statements[name(asked)] = Statement{MadeAt: now}
			if round > rounds/2 {
				worst = max(worst, now.Sub(know[i].Prove(Statement{MadeAt: now})))
			}
			know[i].MergeReply(r, now)
		}
	}
	return worst
}

// BenchmarkSpread reports the largest age of proof by statements alone, for
// the periods between exchanges that could be set.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{6, 3}, {8, 3}, {52, 7}, {104, 13}} {
		for _, period := range []time.Duration{400, 250, 200} {
			b.Run(fmt.Sprintf("members=%d/period=%dms", size.members, period), func(b *testing.B) {
				for b.Loop() {
					worst := worstProofAge(size.members, size.zones, period*time.Millisecond)
					b.ReportMetric(worst.Seconds(), "s-oldest-proof")
				}
			})
		}
	}
}
