package order_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/order"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Orders")
}

// fakeService books orders and responds to lookups. It can close connections and leave
// a lookup without a response.
type fakeService struct {
	mu              sync.Mutex
	bookings        map[string]int
	fences          map[string]bool
	dropConnection  string // "before" or "after" the booking: closes the connection then
	lookups         int    // lookup requests received
	posts           int    // order requests received
	lookupStatus    int    // of the responses to lookups
	hangFirstLookup bool   // the first lookup gets no response
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		s.posts++
	}
	key := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/orders/"), "/fence")
	switch {
	case r.Method == http.MethodPut:
		s.fences[key] = true
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"booked": s.bookings[key] > 0})
	case r.Method == http.MethodPost && s.dropConnection == "before":
		closeConnection(w)
	case r.Method == http.MethodPost:
		s.bookings[r.Header.Get("Order-Key")]++
		if s.dropConnection == "after" {
			closeConnection(w)
			return
		}
		httpapi.WriteJSON(w, http.StatusCreated, map[string]string{"receipt": string(body)})
	case strings.HasPrefix(r.URL.Path, "/lookups/"):
		s.lookups++
		if s.hangFirstLookup && s.lookups == 1 {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
		w.WriteHeader(s.lookupStatus)
	case s.bookings[key] > 0:
		httpapi.WriteJSON(w, http.StatusOK, map[string]string{"receipt": "looked up"})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *fakeService) bookingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.bookings {
		total += n
	}
	return total
}

// update runs the change under the lock.
func (s *fakeService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// isClaimWrite reports whether the store call writes a claim.
func isClaimWrite(c storetest.Call) bool {
	return c.Method == storetest.Put && strings.HasPrefix(c.Key, "orders/")
}

func closeConnection(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// fakePlacer grants the first endpoint that is not excluded.
type fakePlacer struct {
	mu         sync.Mutex
	endpoints  []api.Endpoint
	grantsHeld int   // granted and not released
	placeErr   error // if set, Place fails with it
}

func (p *fakePlacer) Place(_ context.Context, request api.PlacementRequest) (api.Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placeErr != nil {
		return api.Grant{}, p.placeErr
	}
	for _, e := range p.endpoints {
		excluded := false
		for _, id := range request.Exclude {
			excluded = excluded || id == e.ID
		}
		if !excluded {
			p.grantsHeld++
			return api.Grant{Endpoint: e}, nil
		}
	}
	return api.Grant{}, reason.New(reason.NoEndpoint, "none")
}

func (p *fakePlacer) ReportProgress(uint64, int) {}

func (p *fakePlacer) Release(uint64, api.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantsHeld--
}

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Admit(context.Context, api.AdmissionRequest) (api.Admission, error) {
	return api.Admission{}, nil
}
func (admitAll) Release(api.Admission)      {}
func (admitAll) TryRetry(api.Priority) bool { return true }

var _ = Describe("the HTTP interface for callers", func() {
	var (
		memStore *storetest.Store
		service  *fakeService
		placer   *fakePlacer
		config   *atomic.Pointer[api.Config]
		url      string
		runner   *order.Runner
	)

	BeforeEach(func() {
		memStore = storetest.New()
		service = &fakeService{bookings: map[string]int{}, fences: map[string]bool{}, lookupStatus: http.StatusOK}
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		endpoint := api.Endpoint{
			ID: "s1", Kind: api.KindService, Address: server.Listener.Addr().String(), Half: "a",
			ChecksFence: true, OffersLookup: true,
		}
		second := endpoint
		second.ID = "s2"
		placer = &fakePlacer{endpoints: []api.Endpoint{endpoint, second}}
		config = &atomic.Pointer[api.Config]{}
		config.Store(&api.Config{
			Ticket:    1,
			Endpoints: map[api.EndpointID]api.Endpoint{"s1": endpoint, "s2": second},
			Accounts:  map[api.AccountID]api.Account{"acct": {ID: "acct", Half: "a", CredentialSHA256: httpapi.CredentialSHA256("token")}},
		})
		var err error
		runner, err = order.New(order.Options{
			Instance: "i1", Half: "a", Config: config.Load, Store: memStore,
			Placer: placer, Admitter: admitAll{}, MaxBodyBytes: 100,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = runner.Run(ctx) }()
		mux := http.NewServeMux()
		runner.Register(mux)
		callers := httptest.NewServer(mux)
		url = callers.URL
		DeferCleanup(func() { callers.Close(); cancel(); <-done })
	})

	call := func(method, path, key, body string, header ...string) (int, string) {
		request, err := http.NewRequest(method, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer token")
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		for i := 0; i+1 < len(header); i += 2 {
			request.Header.Set(header[i], header[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		content, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(content)
	}
	post := func(key, body string) (int, string) { return call("POST", "/v1/orders", key, body) }

	It("books an order once, reports its outcome for the same key and refuses another body", func() {
		status, body := post("k1", `{"n":1}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(body).To(ContainSubstring(`"receipt":{"receipt":"{\"n\":1}"}`))
		Eventually(func() int { s, _ := post("k1", `{"n":1}`); return s }).Should(Equal(http.StatusCreated))
		status, body = post("k1", `{"n":2}`)
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(body).To(ContainSubstring("key_reused"))
		_, body = call("GET", "/v1/orders/k1", "", "")
		Expect(body).To(ContainSubstring(`"state":"done","run":"yes"`))
		Expect(service.bookingCount()).To(Equal(1))
	})

	// Guards against a second send after the service's response was lost.
	It("checks the booking of an order whose response was lost and does not send it again", func() {
		service.update(func() { service.dropConnection = "after" })
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(service.bookingCount()).To(Equal(1))
		Expect(service.posts).To(Equal(1))
	})

	It("reports an order as not run if the service confirms that it will not book it", func() {
		service.update(func() { service.dropConnection = "before" })
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"run":"no"`))
		service.update(func() { service.dropConnection = "" })
		_, body = post("k1", `{}`)
		Expect(body).To(ContainSubstring(`"run":"no"`))
		Expect(service.bookingCount()).To(Equal(0))
		Expect(service.posts).To(Equal(1))
	})

	// Guards against rejecting a valid credential as unauthenticated while no
	// configuration has been loaded.
	It("is not ready before a ticket is accepted", func() {
		config.Store(&api.Config{})
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"reason":"not_ready","run":"no"`))
	})

	It("recognizes its own claim after the store's response was lost", func() {
		lost := false
		memStore.SetFaultHook(func(c storetest.Call) storetest.Fault {
			lose := isClaimWrite(c) && !lost
			lost = lost || lose
			return storetest.Fault{LoseResponse: lose}
		})
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(service.bookingCount()).To(Equal(1))
	})

	// Guards against two instances that each claim the same order, because they store
	// claims in different memStore.
	It("refuses orders if the store holds claims in another format", func() {
		other, err := order.New(order.Options{
			Instance: "i2", Half: "a", Config: config.Load, Store: memStore, BatchClaims: true,
			Placer: placer, Admitter: admitAll{},
		})
		Expect(err).NotTo(HaveOccurred())
		_, _ = post("k1", `{}`) // the first runner has written its format
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = other.Run(ctx) }()
		defer func() { cancel(); <-done }()
		mux := http.NewServeMux()
		other.Register(mux)
		request := httptest.NewRequest("POST", "/v1/orders", strings.NewReader(`{}`))
		request.Header.Set("Authorization", "Bearer token")
		request.Header.Set("Idempotency-Key", "k2")
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, request)
		Expect(recorder.Body.String()).To(ContainSubstring(`"reason":"not_ready","run":"no"`))
		Expect(service.bookingCount()).To(Equal(1))
	})

	It("serves lookups while the store is unavailable and refuses orders as not run", func() {
		memStore.SetUnavailable(true)
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"reason":"store_unavailable","run":"no"`))
		status, _ = call("GET", "/v1/lookups/x", "", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(service.bookingCount()).To(Equal(0))
	})

	// Guards against an order that waits until the deadline of its caller for a store
	// that does not respond.
	It("refuses orders as not run within the dispatch window while the store does not respond", func() {
		_, _ = post("k1", `{}`)
		memStore.SetLatency(time.Hour)
		_, body := call("POST", "/v1/orders", "k2", `{}`, "Request-Timeout-Ms", "60000")
		Expect(body).To(ContainSubstring(`"reason":"store_unavailable","run":"no"`))
		Expect(service.bookingCount()).To(Equal(1))
	})

	It("does not send an order to an endpoint that was removed after the placement", func() {
		ownConfig := config // the hook may still run when the next spec has replaced config
		withoutEndpoints := *ownConfig.Load()
		withoutEndpoints.Endpoints = map[api.EndpointID]api.Endpoint{}
		memStore.SetFaultHook(func(c storetest.Call) storetest.Fault {
			if isClaimWrite(c) {
				ownConfig.Store(&withoutEndpoints)
			}
			return storetest.Fault{}
		})
		_, body := post("k1", `{}`)
		Expect(body).To(ContainSubstring(`"reason":"endpoint_leaving","run":"no"`))
		Expect(service.bookingCount()).To(Equal(0))
	})

	// Guards against a placement error that hides a recorded outcome.
	It("reports a recorded outcome if no endpoint is available", func() {
		_, _ = post("k1", `{}`)
		Eventually(func() string { _, b := call("GET", "/v1/orders/k1", "", ""); return b }).Should(ContainSubstring("done"))
		placer.mu.Lock()
		placer.placeErr = reason.New(reason.NoEndpoint, "none")
		placer.mu.Unlock()
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		_, body := post("k2", `{}`)
		Expect(body).To(ContainSubstring("no_endpoint"))
	})

	It("retries a failed lookup at most three times", func() {
		service.update(func() { service.lookupStatus = http.StatusInternalServerError })
		status, _ := call("GET", "/v1/lookups/x", "", "")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(service.lookups).To(Equal(4))
		Eventually(func() int { placer.mu.Lock(); defer placer.mu.Unlock(); return placer.grantsHeld }).Should(Equal(0))
	})

	It("retries a lookup without a response at another endpoint", func() {
		service.update(func() { service.hangFirstLookup = true })
		status, _ := call("GET", "/v1/lookups/x", "", "", "Request-Timeout-Ms", "1000")
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against a grant that is released twice or never if the caller
	// disconnects between the creation of the claim and the send.
	It("finishes an order whose caller has disconnected", func() {
		ctx, cancel := context.WithCancel(context.Background())
		memStore.SetFaultHook(func(c storetest.Call) storetest.Fault {
			if isClaimWrite(c) {
				cancel()
			}
			return storetest.Fault{Delay: 100 * time.Millisecond}
		})
		request, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/orders", strings.NewReader(`{}`))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer token")
		request.Header.Set("Idempotency-Key", "k1")
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(HaveOccurred())
		Eventually(service.bookingCount).Should(Equal(1))
		grantsHeld := func() int { placer.mu.Lock(); defer placer.mu.Unlock(); return placer.grantsHeld }
		Eventually(grantsHeld).Should(Equal(0))
		Consistently(grantsHeld, "100ms").Should(Equal(0))
	})

	DescribeTable("refuses an invalid request before any store call for it",
		func(key, body string, status int, header ...string) {
			var calls atomic.Int32
			memStore.SetFaultHook(func(c storetest.Call) storetest.Fault {
				if strings.HasPrefix(c.Key, "orders/") {
					calls.Add(1)
				}
				return storetest.Fault{}
			})
			got, _ := call("POST", "/v1/orders", key, body, header...)
			Expect(got).To(Equal(status))
			Expect(calls.Load()).To(BeZero())
		},
		Entry("without a key", "", `{}`, 400),
		Entry("with a slash in the key", "a/b", `{}`, 400),
		Entry("with a key that is too long", strings.Repeat("k", 129), `{}`, 400),
		Entry("with a body that is not JSON", "k", `{`, 400),
		Entry("with a body that is too large", "k", `"`+strings.Repeat("x", 200)+`"`, 413),
		Entry("with a timeout that is not a number", "k", `{}`, 400, "Request-Timeout-Ms", "soon"),
		Entry("with a timeout above the limit", "k", `{}`, 400, "Request-Timeout-Ms", "9999999"),
		Entry("with an unknown credential", "k", `{}`, 401, "Authorization", "Bearer other"),
	)

	It("drains and then refuses new work", func() {
		_, _ = post("k1", `{}`)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(runner.Drain(ctx)).To(Succeed())
		_, body := post("k2", `{}`)
		Expect(body).To(ContainSubstring("shutting_down"))
	})
})
