// Command hibiscusctl is the operators' command: it issues change tickets and
// reads back what is in force, against any instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := root()
	if err := command.Run(ctx, os.Args); err != nil {
		printError(os.Stderr, err)
		stop()
		os.Exit(exitCode(err))
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:                  "hibiscusctl",
		Usage:                 "issue change tickets and read back what is in force",
		Version:               version,
		EnableShellCompletion: true,
		Description:           exitCodesHelp,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError{err.Error()}
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "operator address (IP:PORT) of an instance; may be repeated, the first that answers is used", Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("HIBISCUSCTL_SERVER")},
			&cli.StringFlag{Name: "token", Usage: "operators' bearer token", Sources: cli.EnvVars("HIBISCUSCTL_TOKEN")},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text", Sources: cli.EnvVars("HIBISCUSCTL_OUTPUT"), Validator: checkOutput},
		},
		Commands: append(ticketCommands(), viewCommands()...),
	}
}

func checkOutput(value string) error {
	if value != "text" && value != "json" {
		return usageError{fmt.Sprintf("--output=%q: allowed is text or json", value)}
	}
	return nil
}

func ticketCommands() []*cli.Command {
	wait := &cli.DurationFlag{Name: "wait", Usage: "wait this long until the ticket is in force everywhere; 0 does not wait"}
	return []*cli.Command{
		{Name: "apply", Usage: "issue the ticket in FILE", ArgsUsage: "FILE", Flags: []cli.Flag{wait}, Action: apply},
		{Name: "validate", Usage: "check the ticket in FILE and report all errors", ArgsUsage: "FILE", Action: validate},
		{Name: "status", Usage: "show what is in force, what is pending and on whom it waits", Action: view("/v1/status")},
		{Name: "history", Usage: "list the tickets", Action: view("/v1/tickets")},
		{Name: "show", Usage: "show one ticket", ArgsUsage: "NUMBER", Action: viewOne("/v1/tickets/")},
		{Name: "diff", Usage: "show what changed between two tickets", ArgsUsage: "FROM TO", Action: diff},
		{
			Name: "wait", Usage: "wait until the ticket is in force everywhere", ArgsUsage: "NUMBER",
			Flags:  []cli.Flag{&cli.DurationFlag{Name: "timeout", Usage: "longest wait", Value: 30 * time.Second}},
			Action: waitFor,
		},
	}
}

func viewCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "instances", Usage: "list the instances", Action: view("/v1/instances")},
		{Name: "expel", Usage: "declare that a silent instance is gone for good", ArgsUsage: "INSTANCE", Action: expel},
		{Name: "endpoints", Usage: "list the endpoints with state and reason", Action: view("/v1/endpoints")},
		{Name: "streams", Usage: "list the streams that were resumed, and why", Action: view("/v1/streams")},
		{Name: "trace", Usage: "show what happened to one request", ArgsUsage: "REQUEST", Action: viewOne("/v1/requests/")},
		explainCommand(),
		{Name: "reasons", Usage: "list the reasons for refusals, retries and drops", Action: reasons},
	}
}
