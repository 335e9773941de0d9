package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hibiscusctl")
}

func run(args ...string) (string, error) {
	command := rootCommand()
	var out bytes.Buffer
	command.Writer = &out
	command.ErrWriter = &out
	err := command.Run(context.Background(), append([]string{"hibiscusctl"}, args...))
	return out.String(), err
}

func serverAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

var _ = Describe("hibiscusctl", func() {
	var ticketFile string

	BeforeEach(func() {
		ticketFile = filepath.Join(GinkgoT().TempDir(), "ticket.json")
		Expect(os.WriteFile(ticketFile, []byte(`{"number": 7}`), 0o600)).To(Succeed())
	})

	// Guards against a ticket that is not applied because the first instance of the
	// list is draining or has crashed.
	It("calls the next instance if one is unreachable or draining", func() {
		draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			httpapi.WriteError(w, reason.New(reason.ShuttingDown, "the instance is draining"))
		}))
		defer draining.Close()
		var request atomic.Value
		healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request.Store(r.Method + " " + r.URL.Path + " " + httpapi.BearerToken(r))
			httpapi.WriteJSON(w, http.StatusOK, map[string]any{"accepted": 6})
		}))
		defer healthy.Close()
		_, err := run("--server", "127.0.0.1:1", "--server", serverAddress(draining), "--server", serverAddress(healthy),
			"--token", "secret", "apply", ticketFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(request.Load()).To(Equal("PUT /v1/tickets/7 secret"))
	})

	// Guards against a refused ticket that is sent to every instance, so that the
	// last error hides the refusal.
	It("calls no other instance after a refusal of the ticket", func() {
		var calls atomic.Int32
		refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			httpapi.WriteError(w, reason.New(reason.TicketSuperseded, "ticket 9 exists"))
		}))
		defer refusing.Close()
		_, err := run("--server", serverAddress(refusing), "--server", serverAddress(refusing), "apply", ticketFile)
		Expect(exitCode(err)).To(Equal(exitSuperseded))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an apply that fails because all instances have just started
	// and are not ready.
	It("retries apply within the wait while no instance is ready", func() {
		var calls atomic.Int32
		starting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && calls.Add(1) == 1 {
				httpapi.WriteError(w, reason.New(reason.NotReady, "the instance has no tickets yet"))
				return
			}
			httpapi.WriteJSON(w, http.StatusOK, map[string]any{"accepted": 7})
		}))
		defer starting.Close()
		_, err := run("--server", serverAddress(starting), "apply", ticketFile, "--wait", "1m")
		Expect(err).NotTo(HaveOccurred())
		Expect(calls.Load()).To(BeEquivalentTo(2))
		calls.Store(0)
		_, err = run("--server", serverAddress(starting), "apply", ticketFile)
		Expect(exitCode(err)).To(Equal(exitUnreachable))
	})

	// Guards against a refusal that does not show the errors in the ticket.
	It("prints every finding in a refused ticket with its path", func() {
		refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			httpapi.WriteJSON(w, http.StatusUnprocessableEntity, map[string]any{
				"error":    httpapi.ErrorDetail{Reason: reason.TicketInvalid, Run: reason.RunNo, Message: "2 findings"},
				"findings": []any{map[string]any{"path": "$.endpoints[0].slots", "message": "is negative"}},
			})
		}))
		defer refusing.Close()
		_, err := run("--server", serverAddress(refusing), "apply", ticketFile)
		Expect(exitCode(err)).To(Equal(exitInvalid))
		var out bytes.Buffer
		printError(&out, err)
		Expect(out.String()).To(MatchRegexp(`is negative +\$\.endpoints\[0\]\.slots`))
	})

	// Guards against scripts that cannot distinguish failures by the exit code.
	It("maps each kind of failure to its exit code", func() {
		pending := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			httpapi.WriteJSON(w, http.StatusOK, map[string]any{"accepted": 6})
		}))
		defer pending.Close()
		_, err := run("--server", "127.0.0.1:1", "status")
		Expect(exitCode(err)).To(Equal(exitUnreachable))
		_, err = run("apply", filepath.Join(GinkgoT().TempDir(), "missing.json"))
		Expect(exitCode(err)).To(Equal(exitUsage))
		_, err = run("diff", "1")
		Expect(exitCode(err)).To(Equal(exitUsage))
		_, err = run("--server", serverAddress(pending), "wait", "7", "--timeout", "1ms")
		Expect(exitCode(err)).To(Equal(exitPending))
	})

	It("prints lists of objects as tables, or the response as JSON", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			httpapi.WriteJSON(w, http.StatusOK, map[string]any{
				"accepted": 7, "pending": []any{map[string]any{"number": 8, "blocked_by": []string{"i2"}}},
			})
		}))
		defer server.Close()
		text, err := run("--server", serverAddress(server), "status")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchRegexp(`accepted +7`))
		Expect(text).To(MatchRegexp(`\["i2"\] +8`))
		text, err = run("--server", serverAddress(server), "--output", "json", "status")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchJSON(`{"accepted": 7, "pending": [{"number": 8, "blocked_by": ["i2"]}]}`))
	})
})
