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

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// readHeaderTimeout is how long a sender may take for its request header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long keep-alive connections stay open without a request.
	idleTimeout = 2 * time.Minute
	// closeTimeout is how long a server waits for open connections after the drain.
	closeTimeout = 2 * time.Second
)

type listener struct {
	name        string
	netListener net.Listener
	handler     http.Handler
}

// listen opens all listeners. If one fails, it closes the others.
func (i *Instance) listen() ([]listener, error) {
	interfaces := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"caller", i.settings.CallerListen, i.callerMux},
		{"operator", i.settings.OperatorListen, i.operatorMux},
		{"peer", i.settings.PeerListen, peer.NewHandler(peerServer{i}, nil, nil, nil, i.settings.PeerSecret, i.scope("peer"))},
	}
	var listeners []listener
	for _, iface := range interfaces {
		l, err := net.Listen("tcp", iface.address.String())
		if err != nil {
			for _, open := range listeners {
				_ = open.netListener.Close()
			}
			return nil, fmt.Errorf("%s listener: %w", iface.name, err)
		}
		if iface.name == "peer" {
			l = peer.NewCountingListener(l, i.scope("peer"))
		}
		listeners = append(listeners, listener{iface.name, l, iface.handler})
	}
	return listeners, nil
}

func (i *Instance) addServer(group *run.Group, l listener) {
	server := &http.Server{
		Handler:           httpapi.RequireResponse(l.handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    i.settings.MaxHeaderBytes,
	}
	execute := func() error {
		i.log.Info("listening", "interface", l.name, "address", l.netListener.Addr().String())
		if err := server.Serve(l.netListener); !errors.Is(err, http.ErrServerClosed) {
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
