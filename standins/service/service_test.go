package service_test

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/service"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service stand-in")
}

var _ = Describe("Service", func() {
	var (
		server     *httptest.Server
		bookingLog string
	)

	BeforeEach(func() {
		bookingLog = filepath.Join(GinkgoT().TempDir(), "book")
		handler, err := service.New(service.Options{ChecksFence: true, OffersLookup: true, BookingLog: bookingLog})
		Expect(err).NotTo(HaveOccurred())
		server = httptest.NewServer(handler)
		DeferCleanup(server.Close)
	})

	call := func(method, path, fence, body string) (int, error) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Order-Key", "k")
		request.Header.Set("Order-Fence", fence)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	bookings := func() int {
		entries, err := service.ReadBookingLog(bookingLog)
		Expect(err).NotTo(HaveOccurred())
		if entries["k"] == nil {
			return 0
		}
		return entries["k"].Bookings
	}

	// Guards against a stand-in that hides duplicates, so that tests can't detect an
	// order that was sent twice.
	It("books an order twice when it is sent twice", func() {
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusCreated))
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusCreated))
		Expect(bookings()).To(Equal(2))
	})

	// Guards against a delayed order that is booked after its fencing token was
	// raised.
	It("refuses an order with a stale fencing token", func() {
		Expect(call(http.MethodPut, "/orders/k/fence", "", `{"fence":2}`)).To(Equal(http.StatusOK))
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusConflict))
		Expect(call(http.MethodGet, "/orders/k", "", "")).To(Equal(http.StatusNotFound))
		Expect(bookings()).To(Equal(0))
	})

	// Guards against a lost response that also loses the booking.
	It("books an order whose response is lost", func() {
		Expect(call(http.MethodPost, "/admin/faults", "", `{"lose_answer":1}`)).To(Equal(http.StatusNoContent))
		_, err := call(http.MethodPost, "/orders", "1", `{}`)
		Expect(err).To(HaveOccurred())
		Expect(bookings()).To(Equal(1))
	})
})
