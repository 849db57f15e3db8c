package peers

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/freshness"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// fixedState is a replica that stays at one revision.
type fixedState struct{ services.PeerState }

func (fixedState) Head() (revision.Head, bool)       { return revision.Head{Revision: 6900}, false }
func (fixedState) PlatformRead() (uint64, time.Time) { return 6900, time.Unix(100, 0) }

// newTestView returns the view of a host in a cluster of n members, with the
// loads of 110 teams.
func newTestView(n int) *peerView {
	clock := func() time.Time { return time.Unix(101, 0) }
	s := &Service{clock: clock, state: fixedState{}}
	v := &peerView{Service: s, self: memberIdentity(0), identities: map[freshness.Member]services.Identity{}}
	v.tracker = freshness.NewTracker(memberOf(v.self))
	for i := 1; i < n; i++ {
		identity := memberIdentity(i)
		v.identities[memberOf(identity)] = identity
		report := freshness.Report{From: memberOf(identity), SelfReports: map[freshness.Member]freshness.SelfReport{
			memberOf(identity): {Revision: 6900, AsOf: time.Unix(100, int64(i))},
		}}
		v.tracker.MergeReply(report, clock())
	}
	for i := range 110 {
		v.ownLoads = append(v.ownLoads, services.TeamLoad{Team: fmt.Sprintf("team-%03d", i), Running: 20, Waiting: 3})
	}
	return v
}

func memberIdentity(i int) services.Identity {
	return services.Identity{
		Name: fmt.Sprintf("entry-%02d-%02d", i%13, i/13), Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%13)),
		Incarnation: 1_796_000_000_000_000_000 + uint64(i), PeerAddress: fmt.Sprintf("10.0.%d.%d:8082", i%13, i/13),
	}
}

// BenchmarkExchange composes, encodes, decodes and merges a digest.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{8, 52, 104} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			sender, receiver := newTestView(n), newTestView(n)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(sender.composeDigest())
				assert.NilError(b, err)
				size = len(data)
				var d wirev1.Digest
				assert.NilError(b, proto.Unmarshal(data, &d))
				now := receiver.clock()
				receiver.tracker.MergeReply(receiver.report(&d, now), now)
			}
			b.ReportMetric(float64(size), "message-bytes")
		})
	}
}
