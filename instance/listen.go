package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// readHeaderTimeout bounds how long a slow sender may take for its headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes kept-alive connections that nobody uses.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the wait for connections after the drain.
	closeTimeout = 2 * time.Second
)

type listener struct {
	name    string
	net     net.Listener
	handler http.Handler
}

// listen opens all listeners, or none.
func (i *Instance) listen() ([]listener, error) {
	interfaces := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"caller", i.settings.CallerListen, i.callerMux},
		{"operator", i.settings.OperatorListen, i.operatorMux},
		{"peer", i.settings.PeerListen, peer.NewHandler(peerServer{i}, nil, i.settings.PeerSecret, i.scope("peer"))},
	}
	var listeners []listener
	for _, part := range interfaces {
		l, err := net.Listen("tcp", part.address.String())
		if err != nil {
			for _, open := range listeners {
				_ = open.net.Close()
			}
			return nil, fmt.Errorf("%s listener: %w", part.name, err)
		}
		if part.name == "peer" {
			l = peer.NewCountingListener(l, i.scope("peer"))
		}
		listeners = append(listeners, listener{part.name, l, part.handler})
	}
	return listeners, nil
}

func (i *Instance) addServer(group *run.Group, l listener) {
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    i.settings.MaxHeaderBytes,
	}
	execute := func() error {
		i.log.Info("listening", "interface", l.name, "address", l.net.Addr().String())
		if err := server.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	interrupt := func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	group.Add(execute, interrupt)
}
