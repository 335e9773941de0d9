// Command cutproxy runs a TCP proxy that closes, stalls, delays and throttles
// connections on demand.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

func main() {
	command := &cli.Command{
		Name:  "cutproxy",
		Usage: "TCP proxy with network faults on demand",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "listen address for clients"},
			&cli.StringFlag{Name: "target", Required: true, Usage: "address that connections are forwarded to"},
			&cli.StringFlag{Name: "admin-listen", Value: "127.0.0.1:7301", Usage: "listen address for admin calls"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			proxy, err := cutproxy.New(cmd.String("listen"), cmd.String("target"), cutproxy.NewSources())
			if err != nil {
				return err
			}
			return process.Serve(ctx, cmd.String("admin-listen"), proxy.Handler(), func() { _ = proxy.Close() })
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
