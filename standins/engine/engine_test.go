package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

// Guards against a stand-in that hides a wrong prefix: only a continuation of the
// exact prefix yields the expected tokens.
func TestContinuationDependsOnPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			Model:     rapid.String().Draw(t, "model"),
			Prompt:    rapid.String().Draw(t, "prompt"),
			Seed:      rapid.Int64().Draw(t, "seed"),
			MaxTokens: rapid.IntRange(20, 60).Draw(t, "tokens"),
		}
		expected := ExpectedTokens(request)
		prefixLength := rapid.IntRange(1, 19).Draw(t, "cut")
		request.PrefixTokens = append([]int(nil), expected[:prefixLength]...)
		if !equal(ExpectedTokens(request), expected) {
			t.Fatalf("the continuation after %d tokens differs from the complete response", prefixLength)
		}
		request.PrefixTokens[rapid.IntRange(0, prefixLength-1).Draw(t, "wrong")]++
		if equal(ExpectedTokens(request)[prefixLength:], expected[prefixLength:]) {
			t.Fatalf("a wrong prefix yields the same continuation")
		}
	})
}

func equal(a, b []int) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return len(a) == len(b)
}

func testOptions() Options {
	return Options{
		Slots: 1, MaxWaiting: 1, TokenInterval: time.Millisecond, DisconnectTimeout: 10 * time.Second,
		CacheBlocks: 4, ChecksFence: true, Models: []Model{{Model: "m"}}, Exit: func() {},
	}
}

// open posts the body and returns the response and the events of its stream.
func open(ctx context.Context, url string, body any) (*http.Response, <-chan Chunk) {
	GinkgoHelper()
	text, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(text)))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	events := make(chan Chunk, 1000)
	go func() {
		defer close(events)
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			var chunk Chunk
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && json.Unmarshal([]byte(data), &chunk) == nil {
				events <- chunk
			}
		}
	}()
	return response, events
}

// collect returns the tokens and the last event of a stream. A closing event has no
// token.
func collect(events <-chan Chunk) (tokens []int, last Chunk) {
	for event := range events {
		last = event
		if event.FinishReason == "" || event.FinishReason == "length" {
			tokens = append(tokens, event.Token)
		}
	}
	return tokens, last
}

var _ = Describe("Engine", func() {
	var (
		engine *Engine
		server *httptest.Server
		ctx    = context.Background()
	)

	BeforeEach(func() {
		engine = New(testOptions())
		go engine.Run()
		server = httptest.NewServer(engine.Handler())
		DeferCleanup(func() { server.Close(); engine.Stop() })
	})

	// Guards against a resumed stream that repeats or loses tokens.
	It("resumes a stream on a new connection and closes the older one", func() {
		request := Request{RequestID: "r", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 300}
		_, first := open(ctx, server.URL+"/v1/completions", request)
		Expect((<-first).Position).To(Equal(0))
		_, second := open(ctx, server.URL+"/v1/streams/r/resume", map[string]int{"attempt": 2, "from": 1})
		_, last := collect(first)
		Expect(last.FinishReason).To(Equal("superseded"))
		tokens, last := collect(second)
		Expect(tokens).To(Equal(ExpectedTokens(request)[1:]))
		Expect(last.FinishReason).To(Equal("length"))
		Expect(last.Attempt).To(BeEquivalentTo(2))
	})

	// Guards against a stream that is cancelled when its connection is lost.
	It("continues a stream whose connection was lost", func() {
		request := Request{RequestID: "r", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 200}
		disconnectCtx, stop := context.WithCancel(ctx)
		_, first := open(disconnectCtx, server.URL+"/v1/completions", request)
		<-first
		stop()
		Eventually(engine.idle).WithTimeout(10 * time.Second).Should(BeTrue())
		_, second := open(ctx, server.URL+"/v1/streams/r/resume", map[string]int{"attempt": 1, "from": 0})
		tokens, _ := collect(second)
		Expect(tokens).To(Equal(ExpectedTokens(request)))
	})

	// Guards against a batch with more streams than slots, and against a queue
	// that ignores priorities.
	It("runs waiting streams in the order of their priorities", func() {
		engine := New(testOptions())
		for i, priority := range []int{2, 3, 1} {
			request := Request{RequestID: strconv.Itoa(i), Model: "m", MaxTokens: 2, Priority: priority}
			engine.waiting = append(engine.waiting, newStream(request, uint64(i)))
		}
		var endedIDs []string
		now := time.Now()
		for len(engine.waiting)+len(engine.running) > 0 {
			engine.step(now)
			Expect(len(engine.running)).To(BeNumerically("<=", 1))
			for _, s := range engine.running {
				if s.ended {
					endedIDs = append(endedIDs, s.request.RequestID)
				}
			}
		}
		Expect(endedIDs).To(Equal([]string{"2", "0", "1"}))
	})

	// Guards against a refusal after which the client can't tell whether the
	// request was started.
	It("marks a refused request as not started", func() {
		response, _ := open(ctx, server.URL+"/v1/completions", Request{RequestID: "r", Model: "other", MaxTokens: 1})
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(notStartedHeader)).To(Equal("true"))
	})

	// Guards against an instance that no longer holds the write lease and reverts a
	// newer command.
	It("refuses a command with a stale fencing token", func() {
		command := ControlCommand{Fence: 5, Model: Model{Model: "n"}}
		response, _ := open(ctx, server.URL+"/v1/control/load", command)
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
		command.Fence = 4
		response, _ = open(ctx, server.URL+"/v1/control/unload", command)
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
	})
})

// Guards against a cache that exceeds its capacity or evicts the wrong block.
var _ = Describe("Prefix cache", func() {
	It("evicts the least recently used block", func() {
		cache := newPrefixCache(Options{CacheBlocks: 2})
		now := time.Now()
		Expect(cache.lookUpAndStore(now, []uint64{1, 2})).To(Equal(0))
		Expect(cache.lookUpAndStore(now, []uint64{1, 3})).To(Equal(1))
		Expect(cache.lookUpAndStore(now, []uint64{1, 2})).To(Equal(1))
		Expect(cache.blocks).To(HaveLen(2))
	})
})
