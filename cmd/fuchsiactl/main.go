// Command fuchsiactl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiafront.example/fuchsiafront/ctl"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
