package relay

import (
	"slices"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// ParentOf returns the address of the instance that one reads through, "" for the store.
func ParentOf(self api.Member, members []api.Member, excluded func(api.Member) bool) string {
	return readerTree{regionReaders: true}.find(self, members, excluded).parent
}

// ReadersInOrder sorts instances by the order in which they become readers.
func ReadersInOrder(members []api.Member) []api.Member {
	return slices.SortedFunc(slices.Values(members), compareReaders)
}
