package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/gateway"
	"github.com/hibiscusstair/hibiscusstair/platform"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// Names of the subcommands' flags.
const (
	flagSettings   = "settings"
	flagPeerSecret = "peer-secret"
	flagOverflow   = "zone-overflow"
)

// gatewayCommand returns the command that forwards callers' requests to endpoints by
// the operator's routing table.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "forward callers' requests to endpoints by the operator's routing table",
		Flags:  []cli.Flag{settingsFlag(), peerSecretFlag(), overflowFlag()},
		Action: runGateway,
	}
}

// checkCommand returns the command that checks a settings file of the platform.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file of the platform and report all errors",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			settings, err := settingsFile(cmd).Load()
			if err = errs.Combine(err, settings.CheckMemory()); err != nil {
				return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, "the settings are valid")
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
		Usage:   "shared secret with which instances sign their calls to each other",
		Sources: cli.EnvVars("HIBISCUSSTAIR_PEER_SECRET"),
	}
}

func overflowFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagOverflow,
		Usage:   "whether requests leave the failure domain by need: on or off",
		Sources: cli.EnvVars("HIBISCUSSTAIR_ZONE_OVERFLOW"),
		Value:   string(gateway.OverflowOff),
	}
}

// settingsFile returns the platform's settings file. The secret of the instances comes
// from a flag.
func settingsFile(cmd *cli.Command) gateway.SettingsFile {
	return gateway.SettingsFile{
		Read: func() ([]byte, error) { return os.ReadFile(cmd.String(flagSettings)) },
		Parse: func(content []byte) (gateway.Settings, error) {
			settings, err := platform.ParseSettings(content)
			settings.PeerSecret = cmd.String(flagPeerSecret)
			mode, modeErr := gateway.ParseOverflowMode(cmd.String(flagOverflow))
			settings.ZoneOverflow = mode
			return settings, errs.Combine(err, modeErr)
		},
	}
}

func runGateway(ctx context.Context, cmd *cli.Command) error {
	file := settingsFile(cmd)
	settings, err := file.Load()
	if err != nil {
		return cli.Exit(fmt.Sprintf("%+v", err), exitSettings)
	}
	lines := telemetry.NewLineWriter(os.Stdout)
	defer lines.Close()
	log := telemetry.NewLogger(lines, slog.LevelInfo).With("instance", settings.Instance)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	metrics := telemetry.NewMetrics()
	defer func() { _ = metrics.Close() }()
	lines.SetDropCounter(metrics.Scope.Counter("log_lines_dropped"))
	store := platform.NewStore(settings.Store.String(), platform.NewHTTPClient())
	engines := platform.NewEngineClient(platform.NewHTTPClient())
	g, err := gateway.New(gateway.Options{
		Settings:       settings,
		SettingsFile:   file,
		ReloadSignals:  reloadSignals,
		Protocol:       platform.Headers{},
		Store:          store,
		RolloutStore:   store,
		RefusalStore:   store,
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
	if err := settings.CheckMemory(); err != nil {
		log.Warn("the memory is too small for its bounds", "error", err)
	}
	log.Info("starting", "version", version, "failure_domain", settings.Place.FailureDomain)
	if err := g.Run(ctx); err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}
