package httpapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpapi")
}

var _ = Describe("the shared HTTP parts", func() {
	// Guards against an account or operator whose configured hash was made from
	// an empty token.
	It("gives an empty token no credential", func() {
		Expect(httpapi.CredentialSHA256("")).To(BeEmpty())
		Expect(httpapi.CredentialSHA256("x")).To(HaveLen(64))
	})

	It("refuses a body above the limit as not run", func() {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345"))
		_, err := httpapi.ReadBody(recorder, request, 4)
		Expect(reason.From(err).Reason).To(Equal(reason.TooLarge))
		Expect(reason.From(err).Run).To(Equal(reason.RunNo))
	})

	// Guards against Retry-After: 0, which callers read as "at once".
	It("rounds Retry-After up to whole seconds", func() {
		recorder := httptest.NewRecorder()
		httpapi.WriteError(recorder, reason.New(reason.NoSlot, "full").WithRetryAfter(200*time.Millisecond))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("1"))
		Expect(recorder.Code).To(Equal(http.StatusTooManyRequests))
		Expect(recorder.Body.String()).To(MatchJSON(`{"error":{"reason":"no_slot","run":"no","message":"full"}}`))
	})
})
