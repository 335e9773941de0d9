# All commands set up what they need; only Go is expected on the machine.
GO ?= go
SEED ?= 20261204

.PHONY: build test lint demo bench bench-quick fuzz generate soak emulate

build:
	$(GO) build -o out/ ./cmd/... ./standins/...

lint:
	sh .ci/lint

test: lint
	sh .ci/test $(SEED)

generate:
	$(GO) generate ./...

# Starts a small fleet on loopback, kills an engine and an instance in
# mid-output, and compares the answers with an unbroken engine's.
demo: build
	out/demo

# Full bench, at most 10 minutes; results in out/bench.json and out/*.svg.
bench: build
	out/bench run --out out

# Shortened bench, at most one minute.
bench-quick: build
	out/bench run --quick --out out

# Property tests and fuzzing with a random seed, which is printed.
fuzz:
	sh .ci/fuzz $(FUZZ_SECONDS)

# Fault soak of real instances against the platform's stand-in, with fresh seeds.
SOAK_SEEDS ?= 5
soak: build
	out/soak -seeds $(SOAK_SEEDS)

# Load and faults of a scenario on real instances against the platform's
# stand-in. Two results: out/emulate compare RESULT RESULT
SCENARIO ?= standins/platform/scenarios/overload.toml
emulate: build
	out/emulate run $(SCENARIO)
