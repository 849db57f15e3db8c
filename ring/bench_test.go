package ring_test

import (
	"runtime"
	"testing"

	"fuchsiafront.example/fuchsiafront/ring"
)

// BenchmarkRoundTrip measures one request and its reply, for a duty that is
// locked to an operating system thread and for one that is not.
func BenchmarkRoundTrip(b *testing.B) {
	for _, locked := range []bool{false, true} {
		name := "goroutine"
		if locked {
			name = "locked-thread"
		}
		b.Run(name, func(b *testing.B) {
			requests := ring.New[*ring.Ring[int]]("requests", 16, nil)
			stop := make(chan struct{})
			go func() {
				if locked {
					runtime.LockOSThread()
					defer runtime.UnlockOSThread()
				}
				for {
					select {
					case <-stop:
						return
					case reply := <-requests.C():
						reply.Offer(1)
					}
				}
			}()
			defer close(stop)
			reply := ring.Reply[int]()
			b.ReportAllocs()
			for b.Loop() {
				requests.Offer(reply)
				<-reply.C()
			}
		})
	}
}
