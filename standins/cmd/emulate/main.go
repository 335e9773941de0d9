// Command emulate runs scenarios of load and faults with real instances on the
// platform's stand-in.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/emulate"
)

func main() {
	command := &cli.Command{
		Name:                  "emulate",
		Usage:                 "run scenarios of load and faults with real instances on the platform's stand-in",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run a scenario; exits with 1 if the run fails or a guarantee to callers was violated", ArgsUsage: "SCENARIO",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Usage: "seed of the callers; overrides that of the scenario"},
					&cli.StringFlag{Name: "out", Value: "out/emulations", Usage: "directory for the result, the plot and the logs"},
				},
				Action: run,
			},
			{Name: "check", Usage: "validate a scenario file", ArgsUsage: "SCENARIO", Action: check},
			{Name: "compare", Usage: "print two results side by side", ArgsUsage: "RESULT RESULT", Action: compare},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	scenario, err := emulate.ReadScenario(c.Args().First())
	if err != nil {
		return err
	}
	if c.IsSet("seed") {
		scenario.Seed = c.Uint64("seed")
	}
	directory := filepath.Join(c.String("out"), fmt.Sprintf("%s-%d", scenario.Name, scenario.Seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	result, err := emulate.Run(ctx, scenario, directory)
	if err != nil {
		return err
	}
	if err := result.Write(filepath.Join(directory, "result.json")); err != nil {
		return err
	}
	if err := result.Plot(filepath.Join(directory, "seconds.svg")); err != nil {
		return err
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d guarantees to callers violated; logs in %s", len(result.Violations), directory)
	}
	return nil
}

func check(_ context.Context, c *cli.Command) error {
	_, err := emulate.ReadScenario(c.Args().First())
	return err
}

func compare(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("compare needs two result files")
	}
	before, err := emulate.ReadResult(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := emulate.ReadResult(c.Args().Get(1))
	if err != nil {
		return err
	}
	return emulate.WriteComparison(os.Stdout, before, after)
}
