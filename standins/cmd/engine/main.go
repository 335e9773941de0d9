// Command engine runs the stand-in for an inference engine.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/engine"
	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// crashExitCode is the exit code of a simulated crash.
const crashExitCode = 3

func main() {
	command := &cli.Command{
		Name:  "engine",
		Usage: "stand-in for an inference engine with continuous batching",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "listen address"},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "maximum number of running streams, which form the batch"},
			&cli.IntFlag{Name: "max-waiting", Value: 64, Usage: "maximum number of streams that wait for a slot"},
			&cli.DurationFlag{Name: "prefill-per-token", Value: 50 * time.Microsecond, Usage: "prefill time of each prompt token that is not cached"},
			&cli.DurationFlag{Name: "token-interval", Value: 20 * time.Millisecond, Usage: "time between tokens in a batch with one stream"},
			&cli.FloatFlag{Name: "batch-slowdown", Value: 0.02, Usage: "fraction of the token interval that each additional stream adds"},
			&cli.IntFlag{Name: "cache-blocks", Value: 1024, Usage: "capacity of the prefix cache in prompt blocks of 1024 bytes"},
			&cli.DurationFlag{Name: "cache-event-delay", Value: 500 * time.Millisecond, Usage: "delay until a cache event becomes visible"},
			&cli.FloatFlag{Name: "cache-event-loss", Value: 0.05, Usage: "probability that a cache event is lost"},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "delay until a load report becomes visible"},
			&cli.DurationFlag{Name: "load-weights", Value: 500 * time.Millisecond, Usage: "duration of a load command"},
			&cli.DurationFlag{Name: "keep-broken", Value: 10 * time.Second, Usage: "how long a stream is kept after its connection is lost"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse control commands with a stale fencing token"},
			&cli.StringSliceFlag{Name: "model", Usage: "loaded model as MODEL[/VERSION[/ADAPTER]] (repeatable)"},
			&cli.StringFlag{Name: "role", Usage: "role at the start"},
			&cli.StringFlag{Name: "poison", Usage: "text that crashes the engine when a prompt contains it"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the choice of lost cache events"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	server := engine.New(options(cmd))
	go server.Run()
	return process.Serve(ctx, cmd.String("listen"), server.Handler(), server.Drain)
}

func options(cmd *cli.Command) engine.Options {
	return engine.Options{
		Slots:              cmd.Int("slots"),
		MaxWaiting:         cmd.Int("max-waiting"),
		PrefillPerToken:    cmd.Duration("prefill-per-token"),
		TokenInterval:      cmd.Duration("token-interval"),
		BatchSlowdown:      cmd.Float("batch-slowdown"),
		CacheBlocks:        cmd.Int("cache-blocks"),
		CacheEventDelay:    cmd.Duration("cache-event-delay"),
		CacheEventLossRate: cmd.Float("cache-event-loss"),
		LoadReportLag:      cmd.Duration("load-lag"),
		WeightLoadTime:     cmd.Duration("load-weights"),
		DisconnectTimeout:  cmd.Duration("keep-broken"),
		ChecksFence:        cmd.Bool("checks-fence"),
		Models:             parseModels(cmd.StringSlice("model")),
		Role:               cmd.String("role"),
		PoisonText:         cmd.String("poison"),
		Seed:               cmd.Uint64("seed"),
		Exit:               func() { os.Exit(crashExitCode) },
	}
}

// parseModels parses the values of --model.
func parseModels(texts []string) []engine.Model {
	var all []engine.Model
	for _, text := range texts {
		parts := append(strings.SplitN(text, "/", 3), "", "")
		all = append(all, engine.Model{Model: parts[0], Version: parts[1], Adapter: parts[2]})
	}
	return all
}
