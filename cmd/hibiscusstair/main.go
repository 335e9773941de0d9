// Command hibiscusstair runs one instance of the serving system.
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
	exitSettings = 2 // invalid settings
	exitFailed   = 1 // any other failure
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

func main() {
	command := &cli.Command{
		Name:                  "hibiscusstair",
		Usage:                 "run one instance of a serving system for long generations",
		Version:               version,
		Flags:                 settings.Flags(),
		EnableShellCompletion: true,
		Commands:              []*cli.Command{gatewayCommand(), checkCommand()},
		Action:                runInstance,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func runInstance(ctx context.Context, cmd *cli.Command) error {
	checkedSettings, err := settings.FromCommand(cmd, os.Environ())
	if err != nil {
		return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
	}
	log := telemetry.NewLogger(os.Stderr, checkedSettings.LogLevel).With("instance", checkedSettings.Instance)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// stop restores the default handling of signals, so a second signal ends the
	// process at once.
	context.AfterFunc(ctx, stop)
	i, err := instance.New(checkedSettings, log)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return i.Run(ctx)
}
