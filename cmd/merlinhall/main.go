// Command merlinhall is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"merlinhall/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
