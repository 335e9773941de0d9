package settings_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func validTexts() map[string]string {
	return map[string]string{
		"instance-id": "i1", "half": "kitakyushu", "region": "fukuoka", "failure-domain": "fukuoka-1",
		"caller-listen": "127.0.0.1:8080", "operator-listen": "127.0.0.1:8081", "peer-listen": "127.0.0.1:8082",
		"store-url": "http://127.0.0.1:7000", "store-timeout": "3s", "peers": "127.0.0.1:8083, 127.0.0.1:8084",
		"operator-token-sha256": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
		"peer-secret":           "0123456789abcdef",
		"recovery":              "sparing", "expel": "auto", "link-bits-per-second": "30000000",
		"request-timeout": "10m", "max-timeout": "1h", "drain-timeout": "15m",
		"max-body-bytes": "4194304", "max-header-bytes": "16384", "max-tokens": "65536",
		"slow-caller-bound": "30s", "weight-loads-per-minute": "6", "log-level": "info",
	}
}

var _ = Describe("settings", func() {
	// Guards against checks that refuse valid settings.
	It("are accepted if complete and valid", func() {
		checked, err := settings.Check(validTexts(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(checked.Peers).To(HaveLen(2))
		Expect(checked.Recovery).To(Equal(settings.RecoverySparing))
	})

	// Guards against a hash that was computed from an unset variable, with which
	// the operator interface would accept requests without a token.
	It("are refused with the hash of an empty operator token", func() {
		texts := validTexts()
		texts["operator-token-sha256"] = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
		_, err := settings.Check(texts, nil)
		Expect(err).To(MatchError(ContainSubstring("--operator-token-sha256")))
	})

	// Guards against a check that stops at the first error, so that an operator
	// has to restart the process once per error.
	It("are refused with all errors together, each with name, value and allowed values", func() {
		texts := validTexts()
		texts["recovery"] = "fast"
		texts["half"] = ""
		texts["peer-listen"] = "localhost:80"
		texts["peer-secret"] = "short-secret"
		_, err := settings.Check(texts, []string{"HIBISCUSSTAIR_RECOVRY=eager", "HOME=/root"})
		Expect(err).To(HaveOccurred())
		text := err.Error()
		for _, part := range []string{
			`--recovery="fast": allowed: eager, sparing, start-over or fixed-timeout`,
			`--half: missing`,
			`--peer-listen="localhost:80": allowed: IP:PORT`,
			`HIBISCUSSTAIR_RECOVRY: unknown variable`,
			`--peer-secret=(not shown)`,
		} {
			Expect(text).To(ContainSubstring(part))
		}
		Expect(text).NotTo(ContainSubstring("short-secret"))
	})
})
