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

var _ = Describe("HTTP helpers", func() {
	// Guards against requests without a token being accepted because the
	// configured hash of an account or operator is that of an empty token.
	It("return no hash for an empty token", func() {
		Expect(httpapi.CredentialSHA256("")).To(BeEmpty())
		Expect(httpapi.CredentialSHA256("x")).To(HaveLen(64))
	})

	It("refuse a body above the limit and report that the request did not run", func() {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345"))
		_, err := httpapi.ReadBody(recorder, request, 4)
		Expect(reason.From(err).Reason).To(Equal(reason.TooLarge))
		Expect(reason.From(err).Run).To(Equal(reason.RunNo))
	})

	// Guards against Retry-After: 0, after which callers retry at once.
	It("round Retry-After up to whole seconds", func() {
		recorder := httptest.NewRecorder()
		httpapi.WriteError(recorder, reason.New(reason.NoSlot, "full").WithRetryAfter(200*time.Millisecond))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("1"))
		Expect(recorder.Code).To(Equal(http.StatusTooManyRequests))
		Expect(recorder.Body.String()).To(MatchJSON(`{"error":{"reason":"no_slot","run":"no","message":"full"}}`))
	})
})
