// Command bench runs the benchmark and compares the results of two runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/bench"
)

const (
	fullTimeout  = 10 * time.Minute
	quickTimeout = time.Minute
)

func main() {
	command := &cli.Command{
		Name:  "bench",
		Usage: "measure instances as real processes and models of larger fleets",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run the scenarios; write bench.json and plots",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "quick", Usage: "run a shortened benchmark of at most one minute"},
					&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for the results"},
					&cli.StringSliceFlag{Name: "only", Usage: "run only this scenario (repeatable)"},
				},
				Action: run,
			},
			{
				Name:      "compare",
				Usage:     "compare two result files",
				ArgsUsage: "A B",
				Action:    compare,
			},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	timeout := fullTimeout
	if cmd.Bool("quick") {
		timeout = quickTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results, runErr := bench.Run(ctx, os.Stderr, cmd.Bool("quick"), cmd.StringSlice("only"))
	return errors.Join(
		runErr,
		bench.Print(os.Stdout, results),
		bench.Write(cmd.String("out"), results),
		bench.Plot(cmd.String("out"), results),
	)
}

func compare(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return errors.New("compare needs two result files")
	}
	before, err := bench.Read(cmd.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := bench.Read(cmd.Args().Get(1))
	if err != nil {
		return err
	}
	return bench.Compare(os.Stdout, before, after)
}
