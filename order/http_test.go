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

// service books orders, and breaks connections on command.
type service struct {
	mu       sync.Mutex
	bookings map[string]int
	fences   map[string]bool
	drop     string // "before" or "after" the booking
	lookups  int
	posts    int
	status   int
	silent   bool // the first lookup gets no answer
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	case r.Method == http.MethodPost && s.drop == "before":
		hangUp(w)
	case r.Method == http.MethodPost:
		s.bookings[r.Header.Get("Order-Key")]++
		if s.drop == "after" {
			hangUp(w)
			return
		}
		httpapi.WriteJSON(w, http.StatusCreated, map[string]string{"receipt": string(body)})
	case strings.HasPrefix(r.URL.Path, "/lookups/"):
		s.lookups++
		if s.silent && s.lookups == 1 {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
		w.WriteHeader(s.status)
	case s.bookings[key] > 0:
		httpapi.WriteJSON(w, http.StatusOK, map[string]string{"receipt": "looked up"})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *service) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.bookings {
		total += n
	}
	return total
}

func (s *service) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// claimWrite selects the writes of claims.
func claimWrite(c storetest.Call) bool {
	return c.Method == storetest.Put && strings.HasPrefix(c.Key, "orders/")
}

func hangUp(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// desk places every call on the first endpoint that is not excluded.
type desk struct {
	mu        sync.Mutex
	endpoints []api.Endpoint
	open      int
	refusal   error
}

func (d *desk) Place(_ context.Context, request api.PlacementRequest) (api.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusal != nil {
		return api.Grant{}, d.refusal
	}
	for _, e := range d.endpoints {
		excluded := false
		for _, id := range request.Exclude {
			excluded = excluded || id == e.ID
		}
		if !excluded {
			d.open++
			return api.Grant{Endpoint: e}, nil
		}
	}
	return api.Grant{}, reason.New(reason.NoEndpoint, "none")
}

func (d *desk) ReportProgress(uint64, int) {}

func (d *desk) Release(uint64, api.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

type openDoor struct{}

func (openDoor) Admit(context.Context, api.AdmissionRequest) (api.Admission, error) {
	return api.Admission{}, nil
}
func (openDoor) Release(api.Admission)      {}
func (openDoor) TryRetry(api.Priority) bool { return true }

var _ = Describe("the callers' interface", func() {
	var (
		objects *storetest.Store
		svc     *service
		desks   *desk
		config  *atomic.Pointer[api.Config]
		url     string
		runner  *order.Runner
	)

	BeforeEach(func() {
		objects = storetest.New()
		svc = &service{bookings: map[string]int{}, fences: map[string]bool{}, status: http.StatusOK}
		server := httptest.NewServer(svc)
		DeferCleanup(server.Close)
		endpoint := api.Endpoint{
			ID: "s1", Kind: api.KindService, Address: server.Listener.Addr().String(), Half: "a",
			ChecksFence: true, OffersLookup: true,
		}
		second := endpoint
		second.ID = "s2"
		desks = &desk{endpoints: []api.Endpoint{endpoint, second}}
		config = &atomic.Pointer[api.Config]{}
		config.Store(&api.Config{
			Ticket:    1,
			Endpoints: map[api.EndpointID]api.Endpoint{"s1": endpoint, "s2": second},
			Accounts:  map[api.AccountID]api.Account{"acct": {ID: "acct", Half: "a", CredentialSHA256: httpapi.CredentialSHA256("token")}},
		})
		var err error
		runner, err = order.New(order.Options{
			Instance: "i1", Half: "a", Config: config.Load, Store: objects,
			Placer: desks, Admitter: openDoor{}, MaxBodyBytes: 100,
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
		answer, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(answer)
	}
	post := func(key, body string) (int, string) { return call("POST", "/v1/orders", key, body) }

	It("books once, reports the outcome again and notices another body", func() {
		status, body := post("k1", `{"n":1}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(body).To(ContainSubstring(`"receipt":{"receipt":"{\"n\":1}"}`))
		Eventually(func() int { s, _ := post("k1", `{"n":1}`); return s }).Should(Equal(http.StatusCreated))
		status, body = post("k1", `{"n":2}`)
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(body).To(ContainSubstring("key_reused"))
		_, body = call("GET", "/v1/orders/k1", "", "")
		Expect(body).To(ContainSubstring(`"state":"done","run":"yes"`))
		Expect(svc.total()).To(Equal(1))
	})

	// Guards against a second send after the service's answer was lost.
	It("looks up an order whose answer was lost and does not send it again", func() {
		svc.set(func() { svc.drop = "after" })
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(svc.total()).To(Equal(1))
		Expect(svc.posts).To(Equal(1))
	})

	It("reports an order as not run after the service was fenced", func() {
		svc.set(func() { svc.drop = "before" })
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"run":"no"`))
		svc.set(func() { svc.drop = "" })
		_, body = post("k1", `{}`)
		Expect(body).To(ContainSubstring(`"run":"no"`))
		Expect(svc.total()).To(Equal(0))
		Expect(svc.posts).To(Equal(1))
	})

	// Guards against "unauthenticated" for a caller of an instance that knows no
	// accounts yet.
	It("is not ready before a ticket is accepted", func() {
		config.Store(&api.Config{})
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"reason":"not_ready","run":"no"`))
	})

	It("recognises its own claim after a lost answer", func() {
		lost := false
		objects.SetFaultHook(func(c storetest.Call) storetest.Fault {
			lose := claimWrite(c) && !lost
			lost = lost || lose
			return storetest.Fault{LoseResponse: lose}
		})
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		Expect(svc.total()).To(Equal(1))
	})

	// Guards against instances that claim the same order in different places.
	It("refuses orders if the store has claims in another format", func() {
		other, err := order.New(order.Options{
			Instance: "i2", Half: "a", Config: config.Load, Store: objects, BatchClaims: true,
			Placer: desks, Admitter: openDoor{},
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
		Expect(svc.total()).To(Equal(1))
	})

	It("refuses orders as not run while the store is unavailable and serves lookups", func() {
		objects.SetUnavailable(true)
		status, body := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(`"reason":"store_unavailable","run":"no"`))
		status, _ = call("GET", "/v1/lookups/x", "", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(svc.total()).To(Equal(0))
	})

	// Guards against a caller that waits for a silent store until its deadline.
	It("refuses orders as not run within the dispatch window while the store is silent", func() {
		_, _ = post("k1", `{}`)
		objects.SetLatency(time.Hour)
		_, body := call("POST", "/v1/orders", "k2", `{}`, "Request-Timeout-Ms", "60000")
		Expect(body).To(ContainSubstring(`"reason":"store_unavailable","run":"no"`))
		Expect(svc.total()).To(Equal(1))
	})

	It("does not send to an endpoint that left after the placement", func() {
		own := config // a late outcome write must not touch the next spec's
		left := *own.Load()
		left.Endpoints = map[api.EndpointID]api.Endpoint{}
		objects.SetFaultHook(func(c storetest.Call) storetest.Fault {
			if claimWrite(c) {
				own.Store(&left)
			}
			return storetest.Fault{}
		})
		_, body := post("k1", `{}`)
		Expect(body).To(ContainSubstring(`"reason":"endpoint_leaving","run":"no"`))
		Expect(svc.total()).To(Equal(0))
	})

	It("reports a recorded outcome without an endpoint", func() {
		_, _ = post("k1", `{}`)
		Eventually(func() string { _, b := call("GET", "/v1/orders/k1", "", ""); return b }).Should(ContainSubstring("done"))
		desks.mu.Lock()
		desks.refusal = reason.New(reason.NoEndpoint, "none")
		desks.mu.Unlock()
		status, _ := post("k1", `{}`)
		Expect(status).To(Equal(http.StatusCreated))
		_, body := post("k2", `{}`)
		Expect(body).To(ContainSubstring("no_endpoint"))
	})

	It("asks another endpoint when a lookup fails, a bounded number of times", func() {
		svc.set(func() { svc.status = http.StatusInternalServerError })
		status, _ := call("GET", "/v1/lookups/x", "", "")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(svc.lookups).To(Equal(4))
		Eventually(func() int { desks.mu.Lock(); defer desks.mu.Unlock(); return desks.open }).Should(Equal(0))
	})

	It("asks another endpoint when a lookup gets no answer", func() {
		svc.set(func() { svc.silent = true })
		status, _ := call("GET", "/v1/lookups/x", "", "", "Request-Timeout-Ms", "1000")
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against a grant that is released twice or never when the caller
	// goes away between the claim and the send.
	It("finishes an order whose caller has gone", func() {
		ctx, cancel := context.WithCancel(context.Background())
		objects.SetFaultHook(func(c storetest.Call) storetest.Fault {
			if claimWrite(c) {
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
		Eventually(svc.total).Should(Equal(1))
		released := func() int { desks.mu.Lock(); defer desks.mu.Unlock(); return desks.open }
		Eventually(released).Should(Equal(0))
		Consistently(released, "100ms").Should(Equal(0))
	})

	DescribeTable("refuses a bad request before any store call for it",
		func(key, body string, status int, header ...string) {
			var calls atomic.Int32
			objects.SetFaultHook(func(c storetest.Call) storetest.Fault {
				if strings.HasPrefix(c.Key, "orders/") {
					calls.Add(1)
				}
				return storetest.Fault{}
			})
			got, _ := call("POST", "/v1/orders", key, body, header...)
			Expect(got).To(Equal(status))
			Expect(calls.Load()).To(BeZero())
		},
		Entry("no key", "", `{}`, 400),
		Entry("key with a slash", "a/b", `{}`, 400),
		Entry("long key", strings.Repeat("k", 129), `{}`, 400),
		Entry("body that is not JSON", "k", `{`, 400),
		Entry("large body", "k", `"`+strings.Repeat("x", 200)+`"`, 413),
		Entry("no number", "k", `{}`, 400, "Request-Timeout-Ms", "soon"),
		Entry("timeout above the limit", "k", `{}`, 400, "Request-Timeout-Ms", "9999999"),
		Entry("unknown credential", "k", `{}`, 401, "Authorization", "Bearer other"),
	)

	It("drains: refuses new work and waits for recorded outcomes", func() {
		_, _ = post("k1", `{}`)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(runner.Drain(ctx)).To(Succeed())
		_, body := post("k2", `{}`)
		Expect(body).To(ContainSubstring("shutting_down"))
	})
})
