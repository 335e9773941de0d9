package prefixcache_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

func TestPrefixCache(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefixcache")
}

// fakeLister returns fixed parts by address and counts the list requests.
type fakeLister struct {
	parts map[string][]prefixcache.PromptPart
	lists atomic.Int32
}

func (l *fakeLister) ListHeldParts(ctx context.Context, address string) ([]prefixcache.PromptPart, error) {
	l.lists.Add(1)
	if address == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	parts, ok := l.parts[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return parts, nil
}

var _ = Describe("Index", func() {
	// l is the lister of the newest index. Each index has its own, since the requests
	// of an earlier one may still run.
	var l *fakeLister
	newIndex := func(addresses ...string) *prefixcache.Index {
		l = &fakeLister{parts: map[string][]prefixcache.PromptPart{
			"a": {{ID: "p", Tokens: 8000}, {ID: "small", Tokens: 100}},
			"b": {{ID: "p", Tokens: 8500}},
		}}
		return prefixcache.New(prefixcache.Options{
			Lister: l,
			Engines: func(string, string) []registry.Endpoint {
				var list []registry.Endpoint
				for _, address := range addresses {
					list = append(list, registry.Endpoint{ID: api.EndpointID(address), Address: address})
				}
				return list
			},
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
	}

	It("returns the engines that hold a part, most tokens first", func() {
		index := newIndex("a", "b", "down")
		Expect(index.FindHolders(context.Background(), "llm", "p")).NotTo(BeEmpty())
		Eventually(func() []prefixcache.Holder { return index.FindHolders(context.Background(), "llm", "p") }).Should(HaveLen(2))
		Expect(index.FindHolders(context.Background(), "llm", "p")[0].Tokens).To(Equal(8500))
		Expect(newIndex("a").FindHolders(context.Background(), "llm", "small")).To(BeEmpty())
	})

	// All callers of a lost instance reconnect at the same time. Guards against
	// one list request per caller, which would delay the engines.
	It("requests one list per engine for many simultaneous callers", func() {
		index := newIndex("a", "b")
		for range 50 {
			Expect(index.FindHolders(context.Background(), "llm", "p")).NotTo(BeEmpty())
		}
		Eventually(func() []prefixcache.Holder { return index.FindHolders(context.Background(), "llm", "p") }).Should(HaveLen(2))
		Expect(l.lists.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a stream whose gap exceeds its target because a distant
	// engine responds last.
	It("does not wait for other engines once one holds the part", func() {
		began := time.Now()
		Expect(newIndex("a", "silent").FindHolders(context.Background(), "llm", "p")).To(HaveLen(1))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})

	// Guards against callers that find no holder for the whole maximum age of a
	// list because the first lookup came before any engine was known.
	It("does not cache the empty result of a lookup without engines", func() {
		var engines []registry.Endpoint
		index := prefixcache.New(prefixcache.Options{
			Lister: l, Engines: func(string, string) []registry.Endpoint { return engines },
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		Expect(index.FindHolders(context.Background(), "llm", "p")).To(BeEmpty())
		engines = []registry.Endpoint{{ID: "a", Address: "a"}}
		Expect(index.FindHolders(context.Background(), "llm", "p")).To(HaveLen(1))
	})

	It("does not wait long for an engine that does not respond", func() {
		began := time.Now()
		Expect(newIndex("a", "silent").FindHolders(context.Background(), "llm", "p")).To(HaveLen(1))
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
	})
})
