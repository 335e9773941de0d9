// Command hibiscusctl is the operators' command-line client. It submits
// change tickets and shows the active configuration, through any instance.
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
	command := rootCommand()
	if err := command.Run(ctx, os.Args); err != nil {
		printError(os.Stderr, err)
		stop()
		os.Exit(exitCode(err))
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "hibiscusctl",
		Usage:                 "submit change tickets and show the active configuration",
		Version:               version,
		EnableShellCompletion: true,
		Description:           exitCodesHelp,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError{err.Error()}
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "operator address (IP:PORT) of an instance; may be repeated; the first instance that responds is used", Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("HIBISCUSCTL_SERVER")},
			&cli.StringFlag{Name: "token", Usage: "operators' bearer token", Sources: cli.EnvVars("HIBISCUSCTL_TOKEN")},
			&cli.StringFlag{Name: "output", Usage: "output format: text or json", Value: "text", Sources: cli.EnvVars("HIBISCUSCTL_OUTPUT"), Validator: validateOutputFlag},
		},
		Commands: append(ticketCommands(), fleetCommands()...),
	}
}

func validateOutputFlag(value string) error {
	if value != "text" && value != "json" {
		return usageError{fmt.Sprintf("--output=%q: allowed: text or json", value)}
	}
	return nil
}

func ticketCommands() []*cli.Command {
	wait := &cli.DurationFlag{Name: "wait", Usage: "wait this long until the ticket is accepted; 0 does not wait"}
	return []*cli.Command{
		{Name: "apply", Usage: "submit the ticket in FILE", ArgsUsage: "FILE", Flags: []cli.Flag{wait}, Action: applyTicket},
		{Name: "validate", Usage: "check the ticket in FILE and report all errors", ArgsUsage: "FILE", Action: validateTicket},
		{Name: "status", Usage: "show the accepted and pending tickets, and the instances that block pending ones", Action: printGET("/v1/status")},
		{Name: "history", Usage: "list the tickets", Action: printGET("/v1/tickets")},
		{Name: "show", Usage: "show one ticket", ArgsUsage: "NUMBER", Action: printGETWithArgument("/v1/tickets/")},
		{Name: "diff", Usage: "show what changed between two tickets", ArgsUsage: "FROM TO", Action: diffTickets},
		{
			Name: "wait", Usage: "wait until the ticket is accepted", ArgsUsage: "NUMBER",
			Flags:  []cli.Flag{&cli.DurationFlag{Name: "timeout", Usage: "longest time to wait", Value: 30 * time.Second}},
			Action: waitForTicket,
		},
	}
}

func fleetCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "instances", Usage: "list the instances", Action: printGET("/v1/instances")},
		{Name: "expel", Usage: "declare that an unresponsive instance has permanently stopped", ArgsUsage: "INSTANCE", Action: expelInstance},
		{Name: "endpoints", Usage: "list the endpoints with state and reason", Action: printGET("/v1/endpoints")},
		{Name: "streams", Usage: "list the resumed streams and why they were resumed", Action: printGET("/v1/streams")},
		{Name: "trace", Usage: "show what happened to one request", ArgsUsage: "REQUEST", Action: printGETWithArgument("/v1/requests/")},
		explainCommand(),
		checkConfigCommand(),
		{Name: "reasons", Usage: "list the reasons for refusals, retries and drops", Action: listReasons},
	}
}
