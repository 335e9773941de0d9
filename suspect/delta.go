package suspect

import (
	"bytes"
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// Collect returns changed marks for a peer, at most maxBytes, the least often sent
// first, and counts them as sent.
func (c *Core) Collect(now time.Duration, maxBytes int) []*peerpb.CrashMark {
	var due []api.Digest
	for digest, m := range c.marks {
		if m.sendsLeft > 0 {
			due = append(due, digest)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := c.marks[due[i]], c.marks[due[j]]
		if a.sendsLeft != b.sendsLeft {
			return a.sendsLeft > b.sendsLeft
		}
		return bytes.Compare(due[i][:], due[j][:]) < 0
	})
	var list []*peerpb.CrashMark
	left := peer.ByteBudget(maxBytes)
	for _, digest := range due {
		m := c.marks[digest]
		message := &peerpb.CrashMark{
			ContentDigest: bytes.Clone(digest[:]), Deaths: m.crashes, Version: m.version,
			Cleared: m.cleared, AgeMs: uint64((now - m.changedAt).Milliseconds()), LastEndpoint: m.lastEndpoint,
		}
		if !left.Take(message) {
			break
		}
		m.sendsLeft--
		list = append(list, message)
	}
	return list
}

// mergeMark replaces a mark by a peer's mark if that is newer: the higher version
// wins; of equal versions the one that is not cleared, then the one with more
// crashes. The result does not depend on the order of arrival.
func (c *Core) mergeMark(now time.Duration, remote *peerpb.CrashMark) {
	if len(remote.ContentDigest) != len(api.Digest{}) {
		return
	}
	digest := api.Digest(remote.ContentDigest)
	age := time.Duration(min(remote.AgeMs, uint64(maxMarkAge.Milliseconds()))) * time.Millisecond
	m := c.marks[digest]
	if m != nil && !c.isNewer(remote, m) {
		return
	}
	if age >= decayInterval*time.Duration(max(remote.Deaths, 1)) {
		return // the mark has decayed
	}
	m = c.getOrCreateMark(digest)
	m.set(now-age, remote.Deaths, remote.Cleared)
	m.version, m.lastEndpoint = remote.Version, remote.LastEndpoint
	m.sendsLeft = gossipSends
	c.detectSharedCrash(digest, m)
	// The instance that made the change writes it to the store.
	m.persisted = remote.Deaths >= persistThreshold
}

// maxMarkAge bounds the age that a message can claim.
const maxMarkAge = 24 * time.Hour

// isNewer reports whether a peer's mark replaces the one here, by the order that
// mergeMark states.
func (c *Core) isNewer(remote *peerpb.CrashMark, m *mark) bool {
	if c.options.mutation == ignoreVersions {
		return true
	}
	if remote.Version != m.version {
		return remote.Version > m.version
	}
	if remote.Cleared != m.cleared {
		return m.cleared
	}
	return remote.Deaths > m.crashes
}
