package measure

import (
	"fmt"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

// Slope describes how a quantity grows with a size.
type Slope struct {
	Quantity string    `json:"quantity"`
	Unit     string    `json:"unit"`
	SizeName string    `json:"of"`
	Sizes    []int     `json:"sizes"`
	Values   []float64 `json:"values"`
	// Base and PerSize are the intercept and slope of the least-squares line
	// through the values.
	Base    float64 `json:"base"`
	PerSize float64 `json:"perSize"`
	// DesignSize is the size of docs/design.md section 1.3. AtDesign is calculated
	// for it: interpolated between the neighbouring measured values where there
	// are two, and otherwise taken from the line.
	DesignSize int     `json:"design"`
	AtDesign   float64 `json:"atDesign"`
}

// Sizes that the software is designed for. There are 8 entry hosts in each of 13
// zones.
const (
	designHosts       = 4900
	designTeams       = 110
	designMembers     = 104
	designSections    = 110
	designParts       = 175
	designPoolServers = 75
)

// timingDuration is how long each operation is timed at each size.
const timingDuration = 60 * time.Millisecond

// CapacitySlopes measures all slopes, which takes several seconds.
func CapacitySlopes() []Slope {
	slopes := []Slope{
		slope("replica and host lists", "B of memory", "hosts", designHosts, []int{500, 1500, 4900}, retainedHeap(replicaWithHosts)),
		slope("replica", "B of memory", "sections", designSections, []int{25, 110, 500}, retainedHeap(replicaWithSections)),
		slope("ledger of rights", "B of memory", "teams", designTeams, []int{50, 110, 500}, retainedHeap(ledgerWithTeams)),
	}
	slopes = append(slopes, messageSlopes()...)
	for _, d := range decisions {
		slopes = append(slopes, slope(d.name, "ns", d.sizeName, d.designSize, d.sizes(), operationTime(d.setup)))
	}
	return append(slopes, tableCallSlopes()...)
}

// decision is a decision of the control path. setup returns the operation to time
// at a given size.
type decision struct {
	name, sizeName string
	currentSize    int
	designSize     int
	setup          func(size int) func()
}

// sizeFactors are the multiples of the current size at which decisions are timed.
var sizeFactors = []int{1, 10, 100}

func (d decision) sizes() []int {
	var sizes []int
	for _, g := range sizeFactors {
		sizes = append(sizes, g*d.currentSize)
	}
	return sizes
}

var decisions = []decision{
	{"admission and start", "teams", currentTeams, designTeams, admissionOperation},
	{"routing", "servers", currentServers, designPoolServers, routingOperation},
	{"placement", "workers", currentHosts / 2, designPoolServers, placementOperation},
	{"grant and wave planning", "hosts", currentHosts, designHosts, wavePlanningOperation},
	{"rights balance", "holders", currentHolders, designMembers, rightsBalanceOperation},
	{"revision propose and advance", "parts", currentParts, designParts, revisionOperation},
}

func slope(quantity, unit, sizeName string, designSize int, sizes []int, value func(int) float64) Slope {
	s := Slope{Quantity: quantity, Unit: unit, SizeName: sizeName, DesignSize: designSize, Sizes: sizes}
	for _, n := range sizes {
		s.Values = append(s.Values, value(n))
	}
	s.Base, s.PerSize = fitLine(sizes, s.Values)
	s.AtDesign = s.valueAt(designSize)
	return s
}

func (s Slope) valueAt(size int) float64 {
	for i := 1; i < len(s.Sizes); i++ {
		low, high := s.Sizes[i-1], s.Sizes[i]
		if size < low || size > high {
			continue
		}
		part := float64(size-low) / float64(high-low)
		return s.Values[i-1] + part*(s.Values[i]-s.Values[i-1])
	}
	return s.Base + s.PerSize*float64(size)
}

// fitLine fits a straight line by least squares.
func fitLine(sizes []int, values []float64) (base, perSize float64) {
	var sx, sy, sxx, sxy float64
	for i, n := range sizes {
		x := float64(n)
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	n := float64(len(sizes))
	perSize = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - perSize*sx) / n, perSize
}

// retainedHeap measures the bytes of heap that the result of build keeps alive.
func retainedHeap(build func(n int) any) func(n int) float64 {
	return func(n int) float64 {
		before := heapInUse()
		retained := build(n)
		after := heapInUse()
		runtime.KeepAlive(retained)
		return float64(after) - float64(before)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// operationTime measures the mean nanoseconds of an operation after a warm-up call.
func operationTime(setup func(size int) func()) func(size int) float64 {
	return func(size int) float64 {
		operation := setup(size)
		operation()
		start, n := time.Now(), 0
		for time.Since(start) < timingDuration {
			for range 8 {
				operation()
			}
			n += 8
		}
		return float64(time.Since(start).Nanoseconds()) / float64(n)
	}
}

// tableCallSlopes replays one minute with different numbers of entry hosts and
// teams, and counts the reads and writes of rights rows at the table service.
func tableCallSlopes() []Slope {
	byHosts := func(get func(Result) float64) func(int) float64 {
		return func(n int) float64 { return get(replayTableCalls(n, currentTeams)) }
	}
	byTeams := func(get func(Result) float64) func(int) float64 {
		return func(n int) float64 { return get(replayTableCalls(currentHolders, n)) }
	}
	reads := func(r Result) float64 { return r.RightsReads }
	writes := func(r Result) float64 { return r.RightsWrites }
	hosts, teams := []int{4, 8, 16}, []int{3, 6, 12}
	return []Slope{
		slope("reads of rights rows, 6 busy teams", "1/s", "entry hosts", designMembers, hosts, byHosts(reads)),
		slope("writes of rights rows, 6 busy teams", "1/s", "entry hosts", designMembers, hosts, byHosts(writes)),
		slope("reads of rights rows, 8 entry hosts", "1/s", "busy teams", designTeams, teams, byTeams(reads)),
		slope("writes of rights rows, 8 entry hosts", "1/s", "busy teams", designTeams, teams, byTeams(writes)),
	}
}

// replayTableCalls replays the demand of one deployment divided among the given
// number of teams. The fleet, and therefore the total work, stays the same.
func replayTableCalls(entryHosts, teams int) Result {
	d, err := deploymentByName(ShareWeighted)
	if err != nil {
		panic(err)
	}
	d.entryHosts = entryHosts
	all := d.teams
	d.teams = nil
	for i := range teams {
		t := all[i%len(all)]
		t.name = fmt.Sprintf("team-%d", i)
		t.demandFraction *= float64(len(all)) / float64(teams)
		t.limit = max(1, t.limit*len(all)/teams)
		d.teams = append(d.teams, t)
	}
	p, _ := ParametersByName(ShareWeighted)
	return replay(d, p, Settings{Seed: 1, Deployment: ShareWeighted, Minutes: 1}, false)
}

// SlopeTable formats slopes as a table with one line each.
func SlopeTable(slopes []Slope) string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tunit\tsizes\tvalues\tslope\tat the design size (calculated)")
	for _, s := range slopes {
		fmt.Fprintf(t, "%s\t%s\t%v %s\t%s\t%.4g a %s\t%.4g at %d\n", s.Quantity, s.Unit, s.Sizes, s.SizeName, numbers(s.Values), s.PerSize, strings.TrimSuffix(s.SizeName, "s"), s.AtDesign, s.DesignSize)
	}
	t.Flush()
	return b.String()
}

func numbers(values []float64) string {
	var list []string
	for _, v := range values {
		list = append(list, fmt.Sprintf("%.4g", v))
	}
	return strings.Join(list, " ")
}
