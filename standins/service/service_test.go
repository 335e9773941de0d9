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
		server *httptest.Server
		book   string
	)

	BeforeEach(func() {
		book = filepath.Join(GinkgoT().TempDir(), "book")
		handler, err := service.New(service.Options{ChecksFence: true, OffersLookup: true, BookingLog: book})
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
		entries, err := service.ReadBookingLog(book)
		Expect(err).NotTo(HaveOccurred())
		if entries["k"] == nil {
			return 0
		}
		return entries["k"].Bookings
	}

	// Guards against a service that hides a second send.
	It("books twice what is sent twice", func() {
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusCreated))
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusCreated))
		Expect(bookings()).To(Equal(2))
	})

	// Guards against a late send that is booked after its fencing number was
	// raised.
	It("refuses an order with an old fencing number", func() {
		Expect(call(http.MethodPut, "/orders/k/fence", "", `{"fence":2}`)).To(Equal(http.StatusOK))
		Expect(call(http.MethodPost, "/orders", "1", `{}`)).To(Equal(http.StatusConflict))
		Expect(call(http.MethodGet, "/orders/k", "", "")).To(Equal(http.StatusNotFound))
		Expect(bookings()).To(Equal(0))
	})

	// Guards against a lost answer without the booking.
	It("books an order whose answer is lost", func() {
		Expect(call(http.MethodPost, "/admin/faults", "", `{"lose_answer":1}`)).To(Equal(http.StatusNoContent))
		_, err := call(http.MethodPost, "/orders", "1", `{}`)
		Expect(err).To(HaveOccurred())
		Expect(bookings()).To(Equal(1))
	})
})
