package gateway

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/relay"
)

const (
	// newerTableDelay is how long an instance waits for a configuration that another
	// one has before it asks for it. In steady state it comes through the store.
	newerTableDelay = time.Second
	// newerTableTimeout bounds the call to the other instance.
	newerTableTimeout = 3 * time.Second
)

// newerTable says that an instance has a newer configuration.
type newerTable struct {
	address string
	version uint64
}

// fetchNewerTables fetches configurations that another instance has and the store has
// not: a store that was restored from a copy has lost the newest ones until the
// operator writes them again.
func (g *Gateway) fetchNewerTables(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case newer := <-g.newerTables:
			if !wait.For(ctx, newerTableDelay) {
				return ctx.Err()
			}
			if g.table.Version() < newer.version {
				g.fetchTable(ctx, newer)
			}
		}
	}
}

func (g *Gateway) fetchTable(ctx context.Context, newer newerTable) {
	ctx, cancel := context.WithTimeout(ctx, newerTableTimeout)
	defer cancel()
	table, err := relay.FetchTable(ctx, g.peerClients.Relay(newer.address), g.o.DecodeTable, g.o.Metrics.Scope.SubScope("relay"))
	if err != nil {
		g.o.Log.Warn("cannot fetch a newer configuration from another instance", "address", newer.address,
			"version", newer.version, "error", err)
		return
	}
	g.follower.ApplyPeerTable(table)
}
