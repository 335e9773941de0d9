package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/gateway"
	"github.com/hibiscusstair/hibiscusstair/platform"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// Flags of the subcommands.
const (
	flagSettings   = "settings"
	flagPeerSecret = "peer-secret"
)

// gatewayCommand serves routed requests on the platform.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "serve routed requests on the platform",
		Flags:  []cli.Flag{settingsFlag(), peerSecretFlag()},
		Action: serveGateway,
	}
}

// checkCommand checks a settings file of the platform.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file of the platform and report all findings",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := platform.LoadSettings(cmd.String(flagSettings)); err != nil {
				return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
			}
			_, err := fmt.Fprintln(cmd.Root().Writer, "the settings are valid")
			return err
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     flagSettings,
		Usage:    "path of the platform's settings file",
		Sources:  cli.EnvVars(platform.SettingsPathVariable),
		Required: true,
	}
}

func peerSecretFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagPeerSecret,
		Usage:   "secret that signs the messages between instances, the same on all of them",
		Sources: cli.EnvVars("HIBISCUSSTAIR_PEER_SECRET"),
	}
}

func serveGateway(ctx context.Context, cmd *cli.Command) error {
	load := func() (gateway.Settings, error) {
		settings, err := platform.LoadSettings(cmd.String(flagSettings))
		settings.PeerSecret = cmd.String(flagPeerSecret)
		return settings, err
	}
	settings, err := load()
	if err != nil {
		return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
	}
	lines := telemetry.NewLineWriter(os.Stdout)
	defer lines.Close()
	log := telemetry.NewLogger(lines, slog.LevelInfo).With("instance", settings.Instance)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	metrics := telemetry.NewMetrics()
	defer func() { _ = metrics.Close() }()
	lines.SetDropCounter(metrics.Scope.Counter("log_lines_dropped"))
	storeClient := newClient()
	engines := platform.NewEngineClient(newClient())
	g, err := gateway.New(gateway.Options{
		Settings:       settings,
		LoadSettings:   load,
		ReloadSignals:  hangup,
		Protocol:       platform.Headers{},
		Store:          platform.NewStore(settings.Store.String(), storeClient),
		PartLister:     engines,
		IdentityClient: engines,
		EngineClient:   engines,
		DecodeTable:    platform.DecodeTable,
		Log:            log,
		Metrics:        metrics,
	})
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	log.Info("starting", "version", version, "failure_domain", settings.Place.FailureDomain)
	if err := g.Run(ctx); err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}

// newClient returns a client whose connections end when their peer is silent.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: upstream.Dialer().DialContext, DisableCompression: true}}
}
