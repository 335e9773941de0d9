package relay_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// silentSince is the contact with a store that last responded at a moment.
type silentSince time.Time

func (c silentSince) Age() time.Duration  { return time.Since(time.Time(c)) }
func (c silentSince) Lost() bool          { return false }
func (c silentSince) ThroughHelper() bool { return false }

// cacheWith returns a cache with a configuration and a list of registrations.
func cacheWith(contact relay.StoreContact) *relay.Cache {
	cache := relay.NewCache(tally.NoopScope)
	cache.SetContacts(contact, contact)
	cache.RecordTable(table(3), at(10))
	cache.RecordList(storesync.EndpointList{Revision: at(10)})
	return cache
}

// Guards against instances that keep each other's data fresh although none reads the store.
func TestResponseIsAsOldAtTheEndOfItsWaitAsItSays(t *testing.T) {
	for _, wait := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 390 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contact := silentSince(time.Now())
				cache := cacheWith(contact)
				time.Sleep(700*time.Millisecond + 300*time.Microsecond)
				request := &peerpb.WatchRequest{After: 10, WaitMs: uint32(wait.Milliseconds())}
				configuration, err := cache.WatchTable(t.Context(), request)
				if err != nil {
					t.Fatal(err)
				}
				if age := time.Duration(configuration.AgeMs) * time.Millisecond; age < contact.Age() {
					t.Errorf("the configuration has age %v after %v", age, contact.Age())
				}
				registrations, err := cache.WatchEndpoints(t.Context(), request)
				if err != nil {
					t.Fatal(err)
				}
				if age := time.Duration(registrations.AgeMs) * time.Millisecond; age < contact.Age() {
					t.Errorf("the registrations have age %v after %v", age, contact.Age())
				}
			})
		})
	}
}

// delayedRelay is an instance whose responses arrive late.
type delayedRelay struct {
	peerpb.Relay
	delay time.Duration
}

func (r delayedRelay) WatchTable(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	response, err := r.Relay.WatchTable(ctx, request)
	time.Sleep(r.delay)
	return response, err
}

func (r delayedRelay) WatchEndpoints(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.EndpointsAnswer, error) {
	response, err := r.Relay.WatchEndpoints(ctx, request)
	time.Sleep(r.delay)
	return response, err
}

// Guards against contact with the store that looks younger after each hop.
func TestAgeIncludesTheTimeOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contact := silentSince(time.Now())
		cache := cacheWith(contact)
		began := time.Now()
		direct := &fakeStore{}
		direct.down.Store(true)
		source := relay.NewSource(relay.SourceOptions{
			Self: api.Member{ID: "self", Address: "self"}, DirectStore: direct,
			Members: func() []api.Member {
				return []api.Member{{ID: "other", Address: "other", State: api.MemberAlive, LinkMbps: 1}}
			},
			RelayClient: func(string) peerpb.Relay { return delayedRelay{cache, 250 * time.Millisecond} },
			DecodeTable: decode, UntilTableRead: inContact, UntilEndpointsRead: inContact, AcceptStale: func() bool { return false },
			Clock: func() time.Duration { return time.Hour + time.Since(began) },
			Log:   slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		configuration, err := source.WatchTable(t.Context(), at(10), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if configuration.Age < contact.Age() {
			t.Errorf("the configuration has age %v after %v", configuration.Age, contact.Age())
		}
		registrations, err := source.WatchEndpoints(t.Context(), at(10), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if registrations.Age < contact.Age() {
			t.Errorf("the registrations have age %v after %v", registrations.Age, contact.Age())
		}
	})
}
