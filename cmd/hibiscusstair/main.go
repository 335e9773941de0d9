// Command hibiscusstair is one instance of the serving system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/instance"
	"github.com/hibiscusstair/hibiscusstair/settings"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// Exit codes.
const (
	exitSettings = 2
	exitFailed   = 1
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

func main() {
	command := &cli.Command{
		Name:                  "hibiscusstair",
		Usage:                 "one instance of a serving system for long generations",
		Version:               version,
		Flags:                 settings.Flags(),
		EnableShellCompletion: true,
		Commands:              []*cli.Command{gatewayCommand(), checkCommand()},
		Action:                serve,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	checked, err := settings.FromCommand(cmd, os.Environ())
	if err != nil {
		return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
	}
	log := telemetry.NewLogger(os.Stderr, checked.LogLevel).With("instance", checked.Instance)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	built, err := instance.New(checked, log)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return built.Run(ctx)
}
