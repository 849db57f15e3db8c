// Command fuchsiameasure replays the demand of the deployments through the
// decision packages and prints the results, or measures how the cost of decisions,
// state and messages grows with the fleet.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"fuchsiafront.example/fuchsiafront/measure"
)

type capacityCommand struct{}

type sweepCommand struct {
	Parameter string `arg:"--parameter" help:"vary only this parameter; all when not given"`
}

type ceilingCommand struct {
	Sites []string `arg:"positional,required" help:"site files of the users' benchmark"`
}

type options struct {
	Ceiling    *ceilingCommand  `arg:"subcommand:ceiling" help:"print the highest payoff that the demand of each standard day of a site allows"`
	Capacity   *capacityCommand `arg:"subcommand:capacity" help:"measure how memory, messages, processor time and table calls grow with the fleet"`
	Sweep      *sweepCommand    `arg:"subcommand:sweep" help:"replay with several values of each parameter"`
	Seed       uint64           `arg:"--seed" default:"1" help:"seed of the demand and the failures"`
	Deployment string           `arg:"--deployment" help:"share-weighted or buffer-weighted; both when not given"`
	Minutes    int              `arg:"--minutes" default:"30" help:"length of the replay in virtual minutes"`
	JSON       bool             `arg:"--json" help:"print JSON"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Capacity != nil {
		return runCapacity(o)
	}
	if o.Ceiling != nil {
		return runCeiling(o)
	}
	names := measure.DeploymentNames()
	if o.Deployment != "" {
		names = []string{o.Deployment}
	}
	var all []measure.Result
	for _, name := range names {
		settings := measure.Settings{Seed: o.Seed, Deployment: name, Minutes: o.Minutes}
		p, _ := measure.ParametersByName(name)
		if o.Sweep != nil {
			if err := measure.Sweep(os.Stdout, settings, p, o.Sweep.Parameter); err != nil {
				return err
			}
			continue
		}
		results, err := measure.Replay(settings, p)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	switch {
	case o.Sweep != nil:
		return nil
	case o.JSON:
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	_, err := fmt.Print(measure.ResultTable(all))
	return err
}

func runCapacity(o options) error {
	slopes := measure.CapacitySlopes()
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(slopes)
	}
	_, err := fmt.Print(measure.SlopeTable(slopes))
	return err
}

func runCeiling(o options) error {
	var all []measure.DayCeiling
	for _, path := range o.Ceiling.Sites {
		site, err := measure.ReadSite(path)
		if err != nil {
			return err
		}
		all = append(all, site.Ceilings()...)
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	_, err := fmt.Print(measure.CeilingTable(all))
	return err
}
