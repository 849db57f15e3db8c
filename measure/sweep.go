package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/wave"
)

// parameter is one of Parameters, with the values that a sweep tries.
type parameter struct {
	name   string
	values []float64
	set    func(p *Parameters, v float64)
}

// setWeight returns a setter of one weight of both waves and moves.
func setWeight(field func(w *wave.Weights) *float64) func(p *Parameters, v float64) {
	return func(p *Parameters, v float64) {
		*field(&p.Parallelism.Weights) = v
		*field(&p.Moves.Weights) = v
	}
}

var parameters = []parameter{
	{"share", []float64{1, 2, 4}, setWeight(func(w *wave.Weights) *float64 { return &w.Share })},
	{"moves", []float64{1, 2, 4}, setWeight(func(w *wave.Weights) *float64 { return &w.Moves })},
	{"roll-out", []float64{1, 2, 4}, setWeight(func(w *wave.Weights) *float64 { return &w.RollOut })},
	{"buffer", []float64{1, 2, 4}, setWeight(func(w *wave.Weights) *float64 { return &w.Buffer })},
	{"spare", []float64{0, 1, 3}, func(p *Parameters, v float64) { p.Parallelism.Spare = int(v) }},
	{"reference-s", []float64{10, 60, 300}, func(p *Parameters, v float64) { p.Parallelism.ReferenceRollOut = seconds(v) }},
	{"slow-factor", []float64{1.5, 2, 4}, func(p *Parameters, v float64) { p.Parallelism.SlowFactor = v }},
	{"hysteresis", []float64{0.5, 1, 2}, func(p *Parameters, v float64) { p.Moves.Hysteresis = v }},
	{"move-cost", []float64{0.25, 0.5, 0.9}, func(p *Parameters, v float64) { p.Moves.MoveCost = v }},
	{"max-moves", []float64{1, 2, 4}, func(p *Parameters, v float64) { p.Moves.MaxMoves = int(v) }},
	{"half-life-s", []float64{20, 60, 180}, func(p *Parameters, v float64) { p.DemandHalfLife = seconds(v) }},
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Sweep replays the decisions with each value of each parameter, leaving the
// other parameters of base unchanged, and prints one line per value. If only is
// not empty, it varies only that parameter.
func Sweep(out io.Writer, s Settings, base Parameters, only string) error {
	d, err := deploymentByName(s.Deployment)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "parameter\tvalue\tbuffer\troll-out workers\troll-out service\tmoves\tshare\twait p99\tdone")
	for _, param := range parameters {
		if only != "" && param.name != only {
			continue
		}
		for _, v := range param.values {
			p := base
			param.set(&p, v)
			r := replay(d, p, s, false)
			fmt.Fprintf(t, "%s\t%g\t%.0f\t%s\t%s\t%d\t%.4f\t%.2f\t%d\n", param.name, v, r.BufferHostMinutes,
				rollOutText(r.RollOutWorkers, r.WorkersDone), rollOutText(r.RollOutService, -1), r.Moves, r.ShareDistance, r.WaitP99, r.Done)
		}
	}
	return t.Flush()
}
