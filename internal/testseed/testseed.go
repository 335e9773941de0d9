// Package testseed gives property tests a fixed seed. A test file imports it
// for its side effect. The environment variable RAPID_SEED or the flag
// -rapid.seed choose another seed; RAPID_CHECKS or -rapid.checks the number of
// cases.
package testseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags
)

// defaultSeed makes runs without any setting repeatable.
const defaultSeed = "20261204"

func init() {
	set("rapid.seed", envOr("RAPID_SEED", defaultSeed))
	set("rapid.checks", envOr("RAPID_CHECKS", "100"))
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testseed: " + name + ": " + err.Error())
	}
}
