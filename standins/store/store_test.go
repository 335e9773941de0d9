package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	client "github.com/hibiscusstair/hibiscusstair/store"

	"github.com/hibiscusstair/hibiscusstair/standins/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store stand-in")
}

// The specs use the store client of the instance, so that a difference between
// client and stand-in is found here and not in a test with processes.
var _ = Describe("Store", func() {
	var (
		server      *httptest.Server
		storeClient *client.Client
		ctx         = context.Background()
	)

	BeforeEach(func() {
		server = httptest.NewServer(store.New(store.Options{ReadsPerSecond: 1000, WritesPerSecond: 1000, InstanceListLag: time.Hour}))
		var err error
		storeClient, err = client.New(client.Options{URL: server.URL, Timeout: time.Second, Scope: tally.NoopScope})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
	})

	admin := func(path, body string) {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
		Expect(response.Body.Close()).To(Succeed())
	}

	// Guards against lost updates: if two writers start from the same version, one of
	// them has to fail.
	It("refuses a write or delete with an outdated version", func() {
		first, err := storeClient.Put(ctx, "a/b", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = storeClient.Put(ctx, "a/b", []byte("x"), 0)
		Expect(errors.Is(err, client.ErrConflict)).To(BeTrue())
		second, err := storeClient.Put(ctx, "a/b", []byte("2"), first)
		Expect(err).NotTo(HaveOccurred())
		Expect(errors.Is(storeClient.Delete(ctx, "a/b", first), client.ErrConflict)).To(BeTrue())
		Expect(storeClient.Delete(ctx, "a/b", second)).To(Succeed())
		_, err = storeClient.Get(ctx, "a/b")
		Expect(errors.Is(err, client.ErrNotFound)).To(BeTrue())
	})

	// Guards against changes that are missed between a list and the watch that
	// follows.
	It("reports the changes since the revision of a list", func() {
		_, err := storeClient.Put(ctx, "a/1", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		objects, revision, err := storeClient.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(HaveLen(1))
		_, err = storeClient.Put(ctx, "b/1", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = storeClient.Put(ctx, "a/2", []byte("2"), 0)
		Expect(err).NotTo(HaveOccurred())
		changes, _, err := storeClient.Watch(ctx, "a/", revision, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal("a/2"))
	})

	// Guards against a lost response that also loses the write.
	It("applies a write whose response is lost", func() {
		admin("/admin/faults", `{"lose_write_answer":1}`)
		_, err := storeClient.Put(ctx, "k", []byte("v"), 0)
		Expect(errors.Is(err, client.ErrUnknown)).To(BeTrue())
		admin("/admin/faults", `{}`)
		object, err := storeClient.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(object.Value).To(Equal([]byte("v")))
	})

	// Guards against a client that reports an unknown outcome for a write that was
	// refused during an outage.
	It("refuses writes during an outage", func() {
		admin("/admin/faults", `{"outage":true}`)
		_, err := storeClient.Put(ctx, "k", []byte("v"), 0)
		Expect(errors.Is(err, client.ErrUnavailable)).To(BeTrue())
	})

	// Guards against a list without lag, which would hide errors in the handling of
	// outdated lists. No platform offers such a list.
	It("shows a change of the list of instances late", func() {
		admin("/admin/instances", `{"instances":[{"id":"i1"}]}`)
		admin("/admin/instances", `{"remove":["i1"]}`)
		Expect(storeClient.Instances(ctx)).To(HaveLen(1))
	})
})
