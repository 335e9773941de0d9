package order

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
)

var noopScope = tally.NoopScope

const simSteps = 120

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

type seededChooser struct{ *rand.Rand }

func (c seededChooser) intn(n int) int { return c.IntN(n) }

// Guards against an order that is booked twice, that is booked although a
// caller was told that it was not run, that is reported as done without a
// booking, or that never gets an outcome; under lost answers, late writes,
// pauses, deaths, duplicate keys, outages and late delivery.
func TestOrderIsBookedAtMostOnce(t *testing.T) {
	for name, batch := range map[string]bool{"single": false, "batch": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := newWorld(rapidChooser{t}, CoreOptions{}, batch).run(simSteps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Shows that the property notices each fault that it guards against.
func TestOrderPropertyNoticesFaults(t *testing.T) {
	const maxCases = 3000
	for _, fault := range []struct {
		name    string
		variant CoreOptions
		notice  string
	}{
		{"resendUnknown", CoreOptions{resendUnknown: true}, "is booked 2 times"},
		{"trustExpiredClaim", CoreOptions{trustExpiredClaim: true}, "after its claim began"},
		{"trustAbsent", CoreOptions{trustAbsent: true}, "not run"},
		{"trustConflict", CoreOptions{trustConflict: true}, "is booked 2 times"},
		{"dropOnDeadline", CoreOptions{dropOnDeadline: true}, "not run"},
	} {
		t.Run(fault.name, func(t *testing.T) {
			noticed := false
			for seed := uint64(0); seed < maxCases && !noticed; seed++ {
				choose := seededChooser{rand.New(rand.NewPCG(seed, 1))}
				err := newWorld(choose, fault.variant, false).run(simSteps)
				noticed = err != nil && strings.Contains(err.Error(), fault.notice)
			}
			NewWithT(t).Expect(noticed).To(BeTrue(), "the property does not notice %s", fault.name)
		})
	}
}
