package reason_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestReason(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reason")
}

var _ = Describe("reasons", func() {
	// Guards against a reason that an operator cannot look up.
	It("each have a status, a description and a line in the operators' page", func() {
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, r := range reason.All() {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("| `%s` |", r)), string(r))
			Expect(r.HTTPStatus()).To(BeNumerically(">=", 400), string(r))
			Expect(r.Help()).NotTo(BeEmpty(), string(r))
		}
	})

	// Guards against reporting an unclassified error as not run.
	It("are found in wrapped errors, and are internal with unknown run status for any other error", func() {
		typed := reason.From(errors.New("broken"))
		Expect(typed.Reason).To(Equal(reason.Internal))
		Expect(typed.Run).To(Equal(reason.RunUnknown))
		wrapped := fmt.Errorf("call: %w", reason.New(reason.NoSlot, "full"))
		Expect(reason.From(wrapped).Run).To(Equal(reason.RunNo))
	})
})
