# All commands set up what they need; only Go is expected on the machine.
GO ?= go
SEED ?= 20261204

.PHONY: build test lint demo bench bench-quick fuzz generate

build:
	$(GO) build -o out/ ./cmd/... ./standins/...

lint:
	sh .ci/lint

test: lint
	sh .ci/test $(SEED)

generate:
	$(GO) generate ./...
