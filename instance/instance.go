// Package instance builds the slices of one instance from its settings and
// joins them in a run group.
package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hibiscusstair/hibiscusstair/settings"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// readHeaderTimeout bounds how long a slow sender may take for its headers.
const readHeaderTimeout = 5 * time.Second

// Instance is one process of the system.
type Instance struct {
	settings *settings.Settings
	log      *slog.Logger
	metrics  *telemetry.Metrics

	callerMux   *http.ServeMux
	operatorMux *http.ServeMux
	peerMux     *http.ServeMux
}

// New builds an instance. Nothing listens before Run.
func New(s *settings.Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings:    s,
		log:         log,
		metrics:     telemetry.NewMetrics(),
		callerMux:   http.NewServeMux(),
		operatorMux: http.NewServeMux(),
		peerMux:     http.NewServeMux(),
	}
	i.operatorMux.Handle("GET /metrics", i.metrics.Handler())
	i.operatorMux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return i, nil
}

// Run serves until the context ends, then drains.
func (i *Instance) Run(ctx context.Context) error {
	var group run.Group
	group.Add(run.ContextHandler(ctx))
	servers := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"caller", i.settings.CallerListen, i.callerMux},
		{"operator", i.settings.OperatorListen, i.operatorMux},
		{"peer", i.settings.PeerListen, i.peerMux},
	}
	for _, s := range servers {
		if err := i.addServer(&group, s.name, s.address, s.handler); err != nil {
			return err
		}
	}
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

func (i *Instance) addServer(group *run.Group, name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("%s listener: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    i.settings.MaxHeaderBytes,
	}
	execute := func() error {
		i.log.Info("listening", "interface", name, "address", listener.Addr().String())
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	interrupt := func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}
	group.Add(execute, interrupt)
	return nil
}
