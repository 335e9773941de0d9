# Every target sets up what it needs. Go, git and a C compiler have to be installed;
# the race detector and the external linking of the deploy build use the compiler.
GO ?= go
# Seed of the property tests in make test.
SEED ?= 20261204

.PHONY: build test lint demo bench bench-quick fuzz generate soak emulate regress

build:
	$(GO) build -o out/ ./cmd/... ./standins/...

lint:
	sh .ci/lint

test: lint
	sh .ci/test $(SEED)

generate:
	$(GO) generate ./...

# Starts a small fleet on loopback, kills an engine and an instance during a
# generation, and compares the responses with those of an engine without failures.
demo: build
	out/demo

# Full benchmark, at most 10 minutes; writes out/bench.json and out/*.svg.
bench: build
	out/bench run --out out

# Shortened benchmark, at most one minute.
bench-quick: build
	out/bench run --quick --out out

# Property tests with a random seed, which is printed, and fuzz tests for
# FUZZ_SECONDS each (by default 30).
fuzz:
	sh .ci/fuzz $(FUZZ_SECONDS)

# Soak test with faults: real instances on the platform's stand-in. The seeds start at
# the current Unix time.
SOAK_SEEDS ?= 5
soak: build
	out/soak -seeds $(SOAK_SEEDS)

# Runs a scenario of load and faults with real instances on the platform's
# stand-in. To compare two results: out/emulate compare RESULT RESULT
SCENARIO ?= standins/platform/scenarios/overload.toml
emulate: build
	out/emulate run $(SCENARIO)

# Plays the users' large deployments with their bench, from the folder of their kit;
# JOBS are the processors to use. QUICK= plays all standard days instead of a few.
KIT ?= ../given/kit/more/system
JOBS ?= 3
regress:
	sh .ci/regress $(KIT) $(JOBS)
