// Command service runs the stand-in for a backend service that books orders and
// responds to lookups.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
	"github.com/hibiscusstair/hibiscusstair/standins/service"
)

// crashExitCode is the exit code of a simulated crash.
const crashExitCode = 3

func main() {
	command := &cli.Command{
		Name:  "service",
		Usage: "stand-in for a service that books orders and responds to lookups",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "listen address"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with a stale fencing token"},
			&cli.BoolFlag{Name: "offers-lookup", Usage: "respond to lookups of orders"},
			&cli.StringFlag{Name: "book", Usage: "file that keeps the bookings after a crash; without it they are in memory only"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			server, err := service.New(service.Options{
				ChecksFence:  cmd.Bool("checks-fence"),
				OffersLookup: cmd.Bool("offers-lookup"),
				BookingLog:   cmd.String("book"),
				Exit:         func() { os.Exit(crashExitCode) },
			})
			if err != nil {
				return err
			}
			return process.Serve(ctx, cmd.String("listen"), server, nil)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
