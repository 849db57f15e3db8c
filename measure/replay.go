package measure

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/preset"
	"fuchsiafront.example/fuchsiafront/fault"
)

// Settings of a replay.
type Settings struct {
	Seed       uint64
	Deployment string
	Minutes    int
}

func (s Settings) length() time.Duration { return time.Duration(s.Minutes) * time.Minute }

// Result holds the measures of one policy in one run. Times are in seconds.
type Result struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	Minutes    int    `json:"minutes"`
	// BufferHostMinutes counts hosts in the spare pool, and hosts out for
	// maintenance or a move. Failed hosts do not count.
	BufferHostMinutes float64 `json:"bufferHostMinutes"`
	// RollOutWorkers and RollOutService are the times from the start of the
	// wave to the return of its last host; negative when it had not ended.
	RollOutWorkers float64 `json:"rollOutWorkersSeconds"`
	RollOutService float64 `json:"rollOutServiceSeconds"`
	// WorkersDone is the number of workers that came back.
	WorkersDone int `json:"workersDone"`
	// Moves of hosts between pools.
	Moves int `json:"moves"`
	// ShareDistance is the mean, over samples of a service that is full and
	// has waiting work, of the mean over the teams of the absolute difference
	// between the team's part of the service's running work and its weighted
	// max-min fair part, given what it has running and waiting there up to its
	// limit. Zero is a fair division; a service is full when 90% of the slots
	// in service are in use.
	ShareDistance float64 `json:"shareDistance"`
	// SlotUse is the mean part of a service's slots in use while more work
	// waits for it than a quarter of its slots.
	SlotUse float64 `json:"slotUse"`
	// WaitP50 and WaitP99 are interactive callers' times from arrival to the
	// start at a backend server; UrgentP99 is that of urgent callers.
	WaitP50   float64 `json:"waitP50Seconds"`
	WaitP99   float64 `json:"waitP99Seconds"`
	UrgentP99 float64 `json:"urgentP99Seconds"`
	// LimitPart is the mean part of a team's limit that runs while the team
	// asks for at least its limit and no service where it waits is full.
	LimitPart float64 `json:"limitPart"`
	// OverLimit counts samples in which a team ran more than its limit; G4
	// requires zero.
	OverLimit int                  `json:"overLimit"`
	Arrived   int                  `json:"arrived"`
	Done      int                  `json:"done"`
	Refused   map[fault.Reason]int `json:"refused"`
	Retried   map[fault.Reason]int `json:"retried"`
	// RightsReads and RightsWrites are calls a second at the table service.
	RightsReads  float64 `json:"rightsReadsPerSecond"`
	RightsWrites float64 `json:"rightsWritesPerSecond"`
	// RightsMoved is the number of rights sent from host to host a second.
	RightsMoved float64 `json:"rightsMovedPerSecond"`
}

// Policies of a replay.
const (
	PolicyDecisions = "decisions"
	PolicyBaseline  = "plain"
)

// Replay runs the decisions and the plain baseline over the same demand.
func Replay(s Settings, p preset.Preset) ([]Result, error) {
	d, err := deploymentByName(s.Deployment)
	if err != nil {
		return nil, err
	}
	if s.Minutes < 1 {
		return nil, fmt.Errorf("a replay lasts at least 1 minute, not %d", s.Minutes)
	}
	return []Result{replay(d, p, s, false), replay(d, p, s, true)}, nil
}

func replay(d deployment, p preset.Preset, s Settings, plain bool) Result {
	w := newSimulation(d, p, s, plain)
	w.run()
	r := Result{
		Deployment: s.Deployment, Policy: PolicyDecisions, Seed: s.Seed, Minutes: s.Minutes,
		BufferHostMinutes: w.sums.bufferHostMinutes,
		RollOutWorkers:    w.rollOutSeconds(waves[0].id), RollOutService: w.rollOutSeconds(waves[1].id),
		WorkersDone: len(w.planner.ledger.Waves[waves[0].id].Done),
		Moves:       w.counts.moves, ShareDistance: w.sums.shareDistance / math.Max(1, float64(w.sums.fullSamples)),
		SlotUse: w.sums.slotUse / math.Max(1, float64(w.sums.slotSamples)),
		WaitP50: quantile(w.interactiveWaits, 0.5).Seconds(), WaitP99: quantile(w.interactiveWaits, 0.99).Seconds(),
		UrgentP99: quantile(w.urgentWaits, 0.99).Seconds(),
		LimitPart: w.sums.limitUse / math.Max(1, float64(w.sums.limitSamples)), OverLimit: w.sums.overLimit,
		Arrived: w.counts.arrived, Done: w.counts.done, Refused: w.counts.refused, Retried: w.counts.retried,
		RightsReads:  float64(w.counts.rowReads) / w.length.Seconds(),
		RightsWrites: float64(w.counts.rowWrites) / w.length.Seconds(),
		RightsMoved:  float64(w.counts.rightsSent) / w.length.Seconds(),
	}
	if plain {
		r.Policy = PolicyBaseline
	}
	return r
}

func (w *simulation) rollOutSeconds(id string) float64 {
	if took, over := w.planner.rollOutTimes[id]; over {
		return took.Seconds()
	}
	return -1
}

// ResultTable formats results side by side.
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

func reasons(results []Result, of func(Result) map[fault.Reason]int) []fault.Reason {
	all := make(map[fault.Reason]bool)
	for _, r := range results {
		for reason := range of(r) {
			all[reason] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
