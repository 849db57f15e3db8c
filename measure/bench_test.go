package measure

import (
	"fmt"
	"math"
	"testing"
)

// BenchmarkDecisions times each decision of the control path at 1, 10 and 100
// times the sizes of today. The metric growth is the exponent of the time
// between this size and the one before: 1 is linear, 2 quadratic.
func BenchmarkDecisions(b *testing.B) {
	for _, d := range decisions {
		before := 0.0
		for i, size := range d.sizes() {
			b.Run(fmt.Sprintf("%s/%s=%d", d.name, d.sizeName, size), func(b *testing.B) {
				run := d.setup(size)
				b.ReportAllocs()
				for b.Loop() {
					run()
				}
				took := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
				if i > 0 && before > 0 {
					b.ReportMetric(math.Log10(took/before), "growth")
				}
				before = took
			})
		}
	}
}
