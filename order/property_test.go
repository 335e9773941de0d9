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

const stepsPerRun = 120

// rapidChoices lets rapid draw the choices, so that it can shrink a failing run.
type rapidChoices struct{ t *rapid.T }

func (c rapidChoices) intn(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// seededChoices draws the choices from a seeded generator.
type seededChoices struct{ *rand.Rand }

func (c seededChoices) intn(n int) int { return c.IntN(n) }

// Guards against an order that is booked twice, that is booked although a caller
// was told that it was not run, that is reported as done without a booking, or
// that never gets an outcome. The faults are lost responses, deferred writes, paused
// instances, crashes, duplicate keys, store outages and late delivery to the
// service.
func TestOrderInvariants(t *testing.T) {
	for name, batch := range map[string]bool{"single": false, "batch": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := newScenario(rapidChoices{t}, CoreOptions{}, batch).run(stepsPerRun); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Checks that the property detects each mutation of the core by the rule that it
// breaks.
func TestMutationsAreDetected(t *testing.T) {
	const maxSeeds = 3000
	for _, mutation := range []struct {
		name      string
		options   CoreOptions
		violation string
	}{
		{"resendUnknown", CoreOptions{resendUnknown: true}, "is booked 2 times"},
		{"trustExpiredClaim", CoreOptions{trustExpiredClaim: true}, "after the creation of its claim started"},
		{"trustUnfencedAbsence", CoreOptions{trustUnfencedAbsence: true}, "not run"},
		{"trustConflict", CoreOptions{trustConflict: true}, "is booked 2 times"},
		{"sendAfterRefusal", CoreOptions{sendAfterRefusal: true}, "not run"},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			detected := false
			for seed := uint64(0); seed < maxSeeds && !detected; seed++ {
				choices := seededChoices{rand.New(rand.NewPCG(seed, 1))}
				err := newScenario(choices, mutation.options, false).run(stepsPerRun)
				detected = err != nil && strings.Contains(err.Error(), mutation.violation)
			}
			NewWithT(t).Expect(detected).To(BeTrue(), "the property does not detect %s", mutation.name)
		})
	}
}
