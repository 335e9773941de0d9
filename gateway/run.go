package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/oklog/run"
	"golang.org/x/sys/unix"

	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	setMemoryLimit(g.settings.Load().MemoryBytes)
	var group run.Group
	g.addTask(&group, "configuration", g.follower.FollowTable)
	g.addTask(&group, "registrations", g.follower.FollowEndpoints)
	g.addTask(&group, "restarted engines", g.restartDetector.Run)
	g.addTask(&group, "quarantine", g.quarantine.Run)
	if keeper := g.quarantine.Keeper(); keeper != nil {
		g.addTask(&group, "stored refusals", keeper.Run)
	}
	g.addTask(&group, "rate limits", g.limiter.Run)
	if g.overflow != nil {
		g.addTask(&group, "zone overflow", g.overflow.Run)
	}
	g.addTask(&group, "newer configurations", g.fetchNewerTables)
	g.addTask(&group, "housekeeping", g.runHousekeeping)
	g.addTask(&group, "settings", g.followSettings)
	g.addTask(&group, "lateness", g.measureLateness)
	if g.rollouts != nil {
		g.addTask(&group, "rollouts", g.rollouts.Run)
	}
	if g.fleet != nil {
		g.addTask(&group, "fleet", g.fleet.Run)
	}
	servers := []struct {
		name        string
		address     netip.AddrPort
		handler     http.Handler
		stopTimeout time.Duration
	}{
		{callerServer, g.o.Settings.CallerListen, g.forwarder, lastRequestsTimeout},
		{"ready", g.o.Settings.ReadyListen, http.HandlerFunc(g.serveReady), 0},
		{"peer", g.o.Settings.PeerListen, g.peerHandler(), 0},
		{"metrics", g.o.Settings.MetricsListen, g.o.Metrics.Handler(), 0},
	}
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		if err := g.addServer(&group, s.name, s.address, s.handler, s.stopTimeout); err != nil {
			return err
		}
	}
	group.Add(g.stopWhenDone(ctx))
	err := group.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the run group after a graceful stop.
var errStopped = errors.New("stopped")

// addTask adds a background task, which ends with its context.
func (g *Gateway) addTask(group *run.Group, name string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := task(ctx); err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	}, func(error) { cancel() })
}

// addServer adds a server that waits for its requests up to the timeout when the group
// ends.
func (g *Gateway) addServer(group *run.Group, name string, address netip.AddrPort, handler http.Handler, stopTimeout time.Duration) error {
	bounded := name == callerServer && g.o.Settings.LoadControl
	var config net.ListenConfig
	if bounded {
		config.Control = boundSendQueues
	}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return fmt.Errorf("%s listener: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(g.o.Log.Handler(), slog.LevelDebug),
	}
	if bounded {
		server.ConnContext = forward.ConnContext
	}
	group.Add(func() error {
		g.o.Log.Info("listening", "interface", name, "address", address.String())
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { shutDown(server, stopTimeout) })
	return nil
}

// callerServer is the name of the server of callers.
const callerServer = "caller"

// undeliveredTimeout is how long the kernel keeps what a caller does not read after its
// connection was closed. It is longer than the time after which the forwarder closes it.
const undeliveredTimeout = 10 * time.Second

// boundSendQueues bounds what the kernel holds for the callers of a listener.
func boundSendQueues(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(undeliveredTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr, upstream.SetSocketBuffers(raw, forward.SocketBufferBytes))
}

func (g *Gateway) peerHandler() http.Handler {
	if g.fleet == nil {
		return http.NotFoundHandler()
	}
	return peer.NewHandler(peerServer{g}, g.relayCache, g.limiter.Server(), g.rolloutServer(), g.o.Settings.PeerSecret, g.o.Metrics.Scope.SubScope("peer"))
}
