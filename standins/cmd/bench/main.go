// Command bench measures the instance on real processes and compares results.
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

// Bounds of a run.
const (
	fullBound  = 10 * time.Minute
	quickBound = time.Minute
)

func main() {
	command := &cli.Command{
		Name:  "bench",
		Usage: "measure on real processes",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run the scenarios; write bench.json and plots",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "quick", Usage: "at most one minute"},
					&cli.StringFlag{Name: "out", Value: "out", Usage: "directory of the results"},
					&cli.StringSliceFlag{Name: "only", Usage: "run only this scenario; may be repeated"},
				},
				Action: run,
			},
			{
				Name:      "compare",
				Usage:     "compare two results",
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
	bound := fullBound
	if cmd.Bool("quick") {
		bound = quickBound
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	results, failed := bench.Run(ctx, os.Stderr, cmd.Bool("quick"), cmd.StringSlice("only"))
	return errors.Join(
		failed,
		bench.Print(os.Stdout, results),
		bench.Write(cmd.String("out"), results),
		bench.Plot(cmd.String("out"), results),
	)
}

func compare(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return errors.New("compare needs two files")
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
