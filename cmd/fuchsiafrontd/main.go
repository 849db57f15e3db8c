// Command fuchsiafrontd is the daemon of an entry host.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/entryhost"
	"fuchsiafront.example/fuchsiafront/fleethost"
)

// exitSettings is the exit status for invalid settings.
const exitSettings = 2

func main() {
	var settings entryhost.Settings
	arg.MustParse(&settings)
	if settings.Boot != "" {
		if err := settings.ValidateBoot(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitSettings)
		}
		exitOnError(runFleetHost(settings))
		return
	}
	if err := settings.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if settings.Check {
		fmt.Println("the settings are valid")
		return
	}
	exitOnError(runEntryHost(settings))
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runFleetHost runs an entry host on the users' platform, which passes its
// settings in a file.
func runFleetHost(settings entryhost.Settings) error {
	level, err := zerolog.ParseLevel(cmp.Or(settings.LogLevel, "info"))
	if err != nil {
		return err
	}
	host, err := fleethost.New(settings.Boot, level, os.Stdout, time.Now, fleethost.WithEarlyRefusal(settings.EarlyRefusal), fleethost.WithDividedMachines(settings.DivideMachines))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if settings.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return host.Run()
}

func runEntryHost(settings entryhost.Settings) error {
	level, err := zerolog.ParseLevel(cmp.Or(settings.LogLevel, "info"))
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return entryhost.Assemble(settings, log, time.Now).Run(ctx, settings.DrainTimeout)
}
