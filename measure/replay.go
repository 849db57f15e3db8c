package measure

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// Settings configures a replay.
type Settings struct {
	Seed       uint64
	Deployment string
	Minutes    int
}

func (s Settings) length() time.Duration { return time.Duration(s.Minutes) * time.Minute }

// Result holds the measurements of one policy in one run.
type Result struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	Minutes    int    `json:"minutes"`
	// BufferHostMinutes is the buffer cost: hosts in the spare pool, and hosts out
	// for maintenance or a move. Failed hosts do not count.
	BufferHostMinutes float64 `json:"bufferHostMinutes"`
	// RollOutWorkers and RollOutService are the seconds from the start of the
	// wave to the return of its last host, or -1 if it had not ended.
	RollOutWorkers float64 `json:"rollOutWorkersSeconds"`
	RollOutService float64 `json:"rollOutServiceSeconds"`
	// WorkersDone is the number of workers that returned from the wave.
	WorkersDone int `json:"workersDone"`
	// Moves is the number of moves of hosts between pools.
	Moves int `json:"moves"`
	// ShareDistance is the mean, over samples of a service that is full and
	// has waiting work, of the mean over the teams of the absolute difference
	// between the team's fraction of the service's running work and its weighted
	// max-min fair fraction, given what it has running and waiting there up to
	// its limit. Zero is a fair division; a service is full when 90% of the slots
	// in service are in use.
	ShareDistance float64 `json:"shareDistance"`
	// SlotUse is the mean fraction of a service's slots in use while the work
	// waiting for it exceeds a quarter of its slots.
	SlotUse float64 `json:"slotUse"`
	// WaitP50 and WaitP99 are quantiles of the seconds from arrival to the start
	// at a backend server for interactive callers; UrgentP99 is that of urgent
	// callers.
	WaitP50   float64 `json:"waitP50Seconds"`
	WaitP99   float64 `json:"waitP99Seconds"`
	UrgentP99 float64 `json:"urgentP99Seconds"`
	// LimitPart is the mean fraction of a team's limit that runs while the team
	// demands at least its limit and no service where it waits is full.
	LimitPart float64 `json:"limitPart"`
	// OverLimit counts samples in which a team ran more than its limit; G4
	// requires zero.
	OverLimit int                  `json:"overLimit"`
	Arrived   int                  `json:"arrived"`
	Done      int                  `json:"done"`
	Refused   map[fault.Reason]int `json:"refused"`
	Retried   map[fault.Reason]int `json:"retried"`
	// RightsReads and RightsWrites are calls per second to the table service.
	RightsReads  float64 `json:"rightsReadsPerSecond"`
	RightsWrites float64 `json:"rightsWritesPerSecond"`
	// RightsMoved is the number of rights sent between hosts per second.
	RightsMoved float64 `json:"rightsMovedPerSecond"`
}

// Policies that Replay compares.
const (
	PolicyDecisions = "decisions"
	PolicyBaseline  = "plain"
)

// Replay runs the decision packages and a first-come-first-served baseline on the
// same demand.
func Replay(s Settings, p Parameters) ([]Result, error) {
	d, err := deploymentByName(s.Deployment)
	if err != nil {
		return nil, err
	}
	if s.Minutes < 1 {
		return nil, fmt.Errorf("replay of %d minutes is too short: the minimum is 1", s.Minutes)
	}
	return []Result{replay(d, p, s, false), replay(d, p, s, true)}, nil
}

func replay(d deployment, p Parameters, s Settings, baseline bool) Result {
	sim := newSimulation(d, p, s, baseline)
	sim.run()
	r := Result{
		Deployment: s.Deployment, Policy: PolicyDecisions, Seed: s.Seed, Minutes: s.Minutes,
		BufferHostMinutes: sim.sums.bufferHostMinutes,
		RollOutWorkers:    sim.rollOutSeconds(waves[0].id), RollOutService: sim.rollOutSeconds(waves[1].id),
		WorkersDone: len(sim.planner.ledger.Waves[waves[0].id].Done),
		Moves:       sim.counts.moves, ShareDistance: sim.sums.shareDistance / math.Max(1, float64(sim.sums.fullSamples)),
		SlotUse: sim.sums.slotUse / math.Max(1, float64(sim.sums.slotSamples)),
		WaitP50: quantile(sim.interactiveWaits, 0.5).Seconds(), WaitP99: quantile(sim.interactiveWaits, 0.99).Seconds(),
		UrgentP99: quantile(sim.urgentWaits, 0.99).Seconds(),
		LimitPart: sim.sums.limitUse / math.Max(1, float64(sim.sums.limitSamples)), OverLimit: sim.sums.overLimit,
		Arrived: sim.counts.arrived, Done: sim.counts.done, Refused: sim.counts.refused, Retried: sim.counts.retried,
		RightsReads:  float64(sim.counts.rowReads) / sim.length.Seconds(),
		RightsWrites: float64(sim.counts.rowWrites) / sim.length.Seconds(),
		RightsMoved:  float64(sim.counts.rightsSent) / sim.length.Seconds(),
	}
	if baseline {
		r.Policy = PolicyBaseline
	}
	return r
}

func (sim *simulation) rollOutSeconds(id string) float64 {
	if duration, ended := sim.planner.rollOutTimes[id]; ended {
		return duration.Seconds()
	}
	return -1
}

// ResultTable formats results as a table with one column each.
func ResultTable(results []Result) string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	row := func(name string, value func(Result) string) {
		fmt.Fprint(t, name)
		for _, r := range results {
			fmt.Fprint(t, "\t", value(r))
		}
		fmt.Fprintln(t)
	}
	number := func(format string, get func(Result) float64) func(Result) string {
		return func(r Result) string { return fmt.Sprintf(format, get(r)) }
	}
	row("deployment", func(r Result) string { return r.Deployment })
	row("policy", func(r Result) string { return r.Policy })
	row("buffer cost, host-minutes", number("%.0f", func(r Result) float64 { return r.BufferHostMinutes }))
	row("roll-out over the workers, s", func(r Result) string { return rollOutText(r.RollOutWorkers, r.WorkersDone) })
	row("roll-out over service-1, s", func(r Result) string { return rollOutText(r.RollOutService, -1) })
	row("moves", number("%.0f", func(r Result) float64 { return float64(r.Moves) }))
	row("distance from share", number("%.4f", func(r Result) float64 { return r.ShareDistance }))
	row("slots in use while work waits", number("%.3f", func(r Result) float64 { return r.SlotUse }))
	row("interactive wait p50, s", number("%.3f", func(r Result) float64 { return r.WaitP50 }))
	row("interactive wait p99, s", number("%.3f", func(r Result) float64 { return r.WaitP99 }))
	row("urgent wait p99, s", number("%.3f", func(r Result) float64 { return r.UrgentP99 }))
	row("part of limit reached", number("%.3f", func(r Result) float64 { return r.LimitPart }))
	row("samples over a limit", number("%.0f", func(r Result) float64 { return float64(r.OverLimit) }))
	row("requests arrived", number("%.0f", func(r Result) float64 { return float64(r.Arrived) }))
	row("requests done", number("%.0f", func(r Result) float64 { return float64(r.Done) }))
	for _, reason := range reasons(results, func(r Result) map[fault.Reason]int { return r.Refused }) {
		row("refused: "+string(reason), number("%.0f", func(r Result) float64 { return float64(r.Refused[reason]) }))
	}
	for _, reason := range reasons(results, func(r Result) map[fault.Reason]int { return r.Retried }) {
		row("retried: "+string(reason), number("%.0f", func(r Result) float64 { return float64(r.Retried[reason]) }))
	}
	row("rights rows read a second", number("%.1f", func(r Result) float64 { return r.RightsReads }))
	row("rights rows written a second", number("%.1f", func(r Result) float64 { return r.RightsWrites }))
	row("rights moved a second", number("%.1f", func(r Result) float64 { return r.RightsMoved }))
	t.Flush()
	return b.String()
}

func rollOutText(seconds float64, done int) string {
	switch {
	case seconds >= 0:
		return fmt.Sprintf("%.0f", seconds)
	case done >= 0:
		return fmt.Sprintf("not ended, %d back", done)
	}
	return "not ended"
}

func reasons(results []Result, get func(Result) map[fault.Reason]int) []fault.Reason {
	all := make(map[fault.Reason]bool)
	for _, r := range results {
		for reason := range get(r) {
			all[reason] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
