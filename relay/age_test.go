package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// silentSince is the contact with a store that last responded at a moment.
type silentSince time.Time

func (c silentSince) Age() time.Duration  { return time.Since(time.Time(c)) }
func (c silentSince) Lost() bool          { return false }
func (c silentSince) ThroughHelper() bool { return false }

// Guards against instances that keep each other's data fresh although none reads the store.
func TestResponseIsAsOldAtTheEndOfItsWaitAsItSays(t *testing.T) {
	for _, wait := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 390 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contact := silentSince(time.Now())
				cache := relay.NewCache(tally.NoopScope)
				cache.SetContacts(contact, contact)
				cache.RecordTable(table(3), at(10))
				cache.RecordList(storesync.EndpointList{Revision: at(10)})
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
