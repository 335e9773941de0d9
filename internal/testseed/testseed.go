// Package testseed sets a fixed seed for the property tests. Test files import it
// for its side effect. The environment variable RAPID_SEED or the flag -rapid.seed
// sets another seed, RAPID_CHECKS or -rapid.checks the number of cases per
// property.
package testseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags
)

const (
	// defaultSeed makes test runs without RAPID_SEED repeatable.
	defaultSeed = "20261204"
	// defaultChecks is the number of cases per property.
	defaultChecks = "100"
)

func init() {
	setFlag("rapid.seed", envOr("RAPID_SEED", defaultSeed))
	setFlag("rapid.checks", envOr("RAPID_CHECKS", defaultChecks))
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testseed: setting flag -" + name + ": " + err.Error())
	}
}
