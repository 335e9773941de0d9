package relay

import "github.com/hibiscusstair/hibiscusstair/api"

// ParentOf returns the address of the instance that one reads through, "" for the store.
func ParentOf(self api.Member, members []api.Member, excluded func(api.Member) bool) string {
	return readerTree{regionReaders: true}.find(self, members, excluded).parent
}
