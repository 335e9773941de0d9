package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("hibiscusctl check-config", func() {
	const (
		valid   = "../../platform/testdata/check/valid.json"
		invalid = "../../platform/testdata/check/invalid.json"
	)

	// store serves a document as the version in force.
	store := func(path string) *httptest.Server {
		document, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"items": [{"metadata": {"name": "main", "revision": 3}, "spec": %s}], "store-revision": 3}`, document)
		}))
		DeferCleanup(server.Close)
		return server
	}

	It("accepts a valid configuration", func() {
		out, err := run("check-config", valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(BeEmpty())
	})

	// Guards against scripts that cannot tell an invalid configuration from other failures.
	It("reports all errors together, and maps failures to exit codes", func() {
		out, err := run("check-config", invalid)
		Expect(exitCode(err)).To(Equal(exitInvalid))
		Expect(out).To(MatchRegexp(`error +\$\.routes\[1\] +never matches: \$\.routes\[0\]`))
		Expect(out).To(ContainSubstring("$.tenants[1].api-keys[0]"))
		_, err = run("check-config", "none.json")
		Expect(exitCode(err)).To(Equal(exitUsage))
		_, err = run("check-config", valid, "--against", "127.0.0.1:1")
		Expect(exitCode(err)).To(Equal(exitStore))
	})

	It("reports a body limit above what the smallest instance can hold", func() {
		out, err := run("check-config", valid, "--memory-mb", "12")
		Expect(exitCode(err)).To(Equal(exitInvalid))
		Expect(out).To(ContainSubstring("$.limits.max-body-bytes"))
	})

	It("reports what differs from the version in force, which is no failure", func() {
		out, err := run("--output", "json", "check-config", valid, "--against", store(invalid).URL)
		Expect(err).NotTo(HaveOccurred())
		var report configReport
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Errors).To(BeEmpty())
		Expect(report.Differences).NotTo(BeEmpty())
		Expect(out).NotTo(ContainSubstring("secret-"))
	})
})
