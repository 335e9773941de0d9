// Command engine runs the stand-in of a model engine.
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

// crashStatus is the exit code at a poison prompt.
const crashStatus = 3

func main() {
	command := &cli.Command{
		Name:  "engine",
		Usage: "stand-in of a model engine with continuous batching",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "address"},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "streams that run at the same time"},
			&cli.IntFlag{Name: "max-waiting", Value: 64, Usage: "streams that wait for a slot"},
			&cli.DurationFlag{Name: "prefill-per-token", Value: 50 * time.Microsecond, Usage: "time for each prompt token that is not cached"},
			&cli.DurationFlag{Name: "token-interval", Value: 20 * time.Millisecond, Usage: "time between tokens of a batch of one"},
			&cli.FloatFlag{Name: "batch-slowdown", Value: 0.02, Usage: "part of the interval that each further stream adds"},
			&cli.IntFlag{Name: "cache-blocks", Value: 1024, Usage: "prompt blocks of 1024 bytes in the prefix cache"},
			&cli.DurationFlag{Name: "cache-event-delay", Value: 500 * time.Millisecond, Usage: "delay of cache events"},
			&cli.FloatFlag{Name: "cache-event-loss", Value: 0.05, Usage: "part of the cache events that is lost"},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "lag of the load report"},
			&cli.DurationFlag{Name: "load-weights", Value: 500 * time.Millisecond, Usage: "time of a load command"},
			&cli.DurationFlag{Name: "keep-broken", Value: 10 * time.Second, Usage: "how long a stream outlives its connection"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse control commands with an old fencing number"},
			&cli.StringSliceFlag{Name: "model", Usage: "loaded model as MODEL[/VERSION[/ADAPTER]]; may be repeated"},
			&cli.StringFlag{Name: "role", Usage: "role at the start"},
			&cli.StringFlag{Name: "poison", Usage: "text of a prompt that ends the process"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the losses of cache events"},
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
		Models:             models(cmd.StringSlice("model")),
		Role:               cmd.String("role"),
		PoisonText:         cmd.String("poison"),
		Seed:               cmd.Uint64("seed"),
		Exit:               func() { os.Exit(crashStatus) },
	}
}

func models(texts []string) []engine.Model {
	var all []engine.Model
	for _, text := range texts {
		parts := append(strings.SplitN(text, "/", 3), "", "")
		all = append(all, engine.Model{Model: parts[0], Version: parts[1], Adapter: parts[2]})
	}
	return all
}
