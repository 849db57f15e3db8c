// Command fuchsiastandin simulates the platform, backend servers and workers for
// tests and trials. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"fuchsiafront.example/fuchsiafront/standin/assembly"
	"fuchsiafront.example/fuchsiafront/standin/demo"
)

type arguments struct {
	Serve *assembly.Settings `arg:"subcommand:serve" help:"serve until interrupted; the first line of output is the platform's URL"`
	Demo  *demo.Settings     `arg:"subcommand:demo" help:"run the platform, two entry hosts and an example session of operators and callers in one process"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	var err error
	switch {
	case args.Serve != nil:
		err = serve(ctx, *args.Serve)
	case args.Demo != nil:
		err = demo.Run(ctx, *args.Demo)
	default:
		parser.Fail("no subcommand given; want serve or demo")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, s assembly.Settings) error {
	k, platform, err := assembly.Assemble(s, zerolog.New(os.Stderr))
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	fmt.Println(platform.URL())
	<-ctx.Done()
	return k.Stop(context.WithoutCancel(ctx))
}
