// Command store runs the stand-in for the platform's object store and list of
// instances.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
	"github.com/hibiscusstair/hibiscusstair/standins/store"
)

func main() {
	command := &cli.Command{
		Name:  "store",
		Usage: "stand-in for the platform's object store and list of instances",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "listen address"},
			&cli.FloatFlag{Name: "reads-per-second", Value: 2000, Usage: "read limit of all clients together"},
			&cli.FloatFlag{Name: "writes-per-second", Value: 400, Usage: "write limit of all clients together"},
			&cli.DurationFlag{Name: "list-lag", Value: time.Second, Usage: "delay until a change of the list of instances becomes visible"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			server := store.New(store.Options{
				ReadsPerSecond:  cmd.Float("reads-per-second"),
				WritesPerSecond: cmd.Float("writes-per-second"),
				InstanceListLag: cmd.Duration("list-lag"),
			})
			return process.Serve(ctx, cmd.String("listen"), server, nil)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
